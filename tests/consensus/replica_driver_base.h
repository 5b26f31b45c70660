/** @file replica_driver_base.h One replica whose peers, disk and clock are played by the test. */
#ifndef POLLENSTALL_TESTS_CONSENSUS_REPLICA_DRIVER_BASE_H
#define POLLENSTALL_TESTS_CONSENSUS_REPLICA_DRIVER_BASE_H

#include "consensus/consensus.h"
#include "consensus/fake_disk_base.h"

#include <gtest/gtest.h>

namespace pollenstall {

using namespace std::chrono_literals;

inline const member_key MemberA{member_id(1), disk_identity(11)};
inline const member_key MemberB{member_id(2), disk_identity(12)};
inline const member_key MemberC{member_id(3), disk_identity(13)};
inline const cluster_id TestCluster{77};

inline member_set threeVoters() {
  return {TestCluster,
          {{MemberA, voting_status::Voter},
           {MemberB, voting_status::Voter},
           {MemberC, voting_status::Voter}}};
}

inline log_entry commandAt(std::uint64_t Index, std::uint64_t Term) {
  return {log_index(Index), term_number(Term), entry_kind::Command, "c" + std::to_string(Index)};
}

/// A disk on which the log was founded by three voters, in term 1.
inline restored_log foundedLog() {
  restored_log State;
  State.Hard = {term_number(1), {}};
  State.Entries.push_back(
      {log_index(1), term_number(1), entry_kind::Membership, encodeMembers(threeVoters())});
  return State;
}

class ReplicaTest : public testing::Test {
protected:
  void start(restored_log State, replica_options Bounds = {}) {
    Options = Bounds;
    replica_builder Builder(MemberA);
    Builder.options(Options)
        .restored(std::move(State))
        .peers({member_id(1), member_id(2), member_id(3)});
    if (Founds)
      Builder.bootstrapCluster(TestCluster);
    Replica = std::make_unique<replica>(Builder.build(Now));
    collect();
  }

  /// Takes the actions; while SyncsAtOnce everything to be written is durable at once.
  void collect() {
    bool Again = true;
    while (Again) {
      Again = false;
      for (consensus_action &Action : Replica->takeActions(Now)) {
        if (auto *Send = std::get_if<send_to_member>(&Action))
          Sent.push_back(std::move(Send->Message));
        else if (auto *Write = std::get_if<persist_log>(&Action))
          Unsynced.push_back(Write->Number);
        else
          Actions.push_back(std::move(Action));
      }
      if (SyncsAtOnce && !Unsynced.empty()) {
        sync();
        Again = true;
      }
    }
  }
  void sync() {
    for (const persist_number Number : Unsynced)
      Replica->persisted(Number, Now);
    Unsynced.clear();
  }
  void syncAndCollect() {
    sync();
    collect();
  }

  void pass(mono_duration Span) {
    const mono_time End = Now + Span;
    while (Now < End) {
      Now = std::min(End, Now + 50ms);
      Replica->tick(Now);
      collect();
    }
  }

  void deliver(const member_key &From, std::uint64_t Term, consensus_body Body,
               const member_key &To = MemberA) {
    Replica->receive({TestCluster, From, To, term_number(Term), std::move(Body)}, Now);
    collect();
  }
  void heartbeatFrom(const member_key &From, std::uint64_t Term) {
    append_request Request;
    Request.Round = 1;
    deliver(From, Term, Request);
  }
  void entriesFrom(const member_key &From, std::uint64_t Term, log_index Prev,
                   std::uint64_t PrevTerm, std::vector<log_entry> Entries) {
    deliver(From, Term, append_request{Prev, term_number(PrevTerm), {}, 1, 0, std::move(Entries)});
  }
  /// The peer answers the last message with a round that it was sent.
  void ack(const member_key &From, log_index Match) {
    const append_request Last = lastSent<append_request>(From);
    deliver(From, status().Term.value(),
            append_reply{true, Match, {}, {}, {}, Last.Round, Last.SentAt});
  }

  template <typename Body> std::size_t countSent() const {
    std::size_t Count = 0;
    for (const consensus_message &Message : Sent)
      Count += std::holds_alternative<Body>(Message.Body) ? 1 : 0;
    return Count;
  }
  template <typename Body> Body lastSent(const member_key &To) const {
    Body Found{};
    for (const consensus_message &Message : Sent)
      if (Message.To == To && std::holds_alternative<Body>(Message.Body))
        Found = std::get<Body>(Message.Body);
    return Found;
  }
  template <typename Kind> std::size_t countActions() const {
    std::size_t Count = 0;
    for (const consensus_action &Action : Actions)
      Count += std::holds_alternative<Kind>(Action) ? 1 : 0;
    return Count;
  }

  [[nodiscard]] replica_status status() const { return Replica->status(Now); }

  /// Time passes until A stands and may vote for itself.
  void standWithItsOwnVote() {
    pass(Options.MinElectionTimeout);
    while (status().Role != replica_role::PreCandidate)
      pass(50ms);
  }

  /// Time passes, B grants everything, and A leads; its no-op is not committed yet.
  void lead() {
    standWithItsOwnVote();
    const std::uint64_t Next = status().Term.value() + 1;
    deliver(MemberB, Next - 1, pre_vote_reply{term_number(Next), true});
    deliver(MemberB, Next, vote_reply{true});
    ASSERT_EQ(status().Role, replica_role::Leader);
  }
  /// The same, and B has acknowledged everything.
  void leadAndCommit() {
    lead();
    ack(MemberB, status().LastIndex);
    ASSERT_EQ(status().Commit, status().LastIndex);
  }

  mono_time Now{1h};
  replica_options Options;
  bool SyncsAtOnce{true};
  bool Founds{false};
  std::unique_ptr<replica> Replica;
  std::vector<consensus_message> Sent;
  std::vector<consensus_action> Actions;
  std::vector<persist_number> Unsynced;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONSENSUS_REPLICA_DRIVER_BASE_H
