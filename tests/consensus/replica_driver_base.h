/** @file replica_driver_base.h One replica with peers, disk and clock simulated by the test. */
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

/// A log that was bootstrapped with three voters in term 1.
inline restored_log bootstrappedLog() {
  restored_log State;
  State.Hard = {term_number(1), {}};
  State.Entries.push_back(
      {log_index(1), term_number(1), entry_kind::Membership, encodeMembers(threeVoters())});
  return State;
}

class ReplicaTest : public testing::Test {
protected:
  void start(restored_log State, replica_options TestOptions = {}) {
    Options = TestOptions;
    replica_builder Builder(MemberA);
    Builder.options(Options)
        .restored(std::move(State))
        .peers({member_id(1), member_id(2), member_id(3)});
    if (MayBootstrap)
      Builder.bootstrapCluster(TestCluster);
    Replica = std::make_unique<replica>(Builder.build(Now));
    collectActions();
  }

  /// Collects the actions. If SyncImmediately is set, all writes are confirmed immediately.
  void collectActions() {
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
      if (SyncImmediately && !Unsynced.empty()) {
        syncWrites();
        Again = true;
      }
    }
  }
  void syncWrites() {
    for (const persist_number Number : Unsynced)
      Replica->persisted(Number, Now);
    Unsynced.clear();
  }
  void syncAndCollect() {
    syncWrites();
    collectActions();
  }

  void advanceTime(mono_duration Duration) {
    const mono_time End = Now + Duration;
    while (Now < End) {
      Now = std::min(End, Now + 50ms);
      Replica->tick(Now);
      collectActions();
    }
  }

  void deliver(const member_key &From, std::uint64_t Term, consensus_body Body,
               const member_key &To = MemberA) {
    Replica->receive({TestCluster, From, To, term_number(Term), std::move(Body)}, Now);
    collectActions();
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
  /// Delivers From's reply to the last append sent to it.
  void acknowledge(const member_key &From, log_index Match) {
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
    Body LastMessage{};
    for (const consensus_message &Message : Sent)
      if (Message.To == To && std::holds_alternative<Body>(Message.Body))
        LastMessage = std::get<Body>(Message.Body);
    return LastMessage;
  }
  template <typename ActionType> std::size_t countActions() const {
    std::size_t Count = 0;
    for (const consensus_action &Action : Actions)
      Count += std::holds_alternative<ActionType>(Action) ? 1 : 0;
    return Count;
  }

  [[nodiscard]] replica_status status() const { return Replica->status(Now); }

  /// Advances the time until A starts a pre-vote and may vote for itself.
  void startPreVoteWithOwnVote() {
    advanceTime(Options.MinElectionTimeout);
    while (status().Role != replica_role::PreCandidate)
      advanceTime(50ms);
  }

  /// Makes A leader with the votes of A and B; its no-op is not committed yet.
  void becomeLeader() {
    startPreVoteWithOwnVote();
    const std::uint64_t NextTerm = status().Term.value() + 1;
    deliver(MemberB, NextTerm - 1, pre_vote_reply{term_number(NextTerm), true});
    deliver(MemberB, NextTerm, vote_reply{true});
    ASSERT_EQ(status().Role, replica_role::Leader);
  }
  /// Makes A leader; B acknowledges all entries.
  void becomeLeaderAndCommit() {
    becomeLeader();
    acknowledge(MemberB, status().LastIndex);
    ASSERT_EQ(status().Commit, status().LastIndex);
  }

  mono_time Now{1h};
  replica_options Options;
  bool SyncImmediately{true};
  bool MayBootstrap{false};
  std::unique_ptr<replica> Replica;
  std::vector<consensus_message> Sent;
  std::vector<consensus_action> Actions;
  std::vector<persist_number> Unsynced;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONSENSUS_REPLICA_DRIVER_BASE_H
