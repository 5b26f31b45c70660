/** @file replica_core_member.cpp Founding, admission and single-server membership changes. */
#include "consensus/replica_core_base.h"

#include <algorithm>

namespace pollenstall {

namespace {
constexpr term_number FoundingTerm{1}; ///< No election can be won in it.
} // namespace

void replica_core::putMembers(log_index Index, member_set Set) {
  History.append(Index, std::move(Set));
  membersChanged();
}

void replica_core::membersChanged() {
  Actions.emplace_back(members_changed{members()});
  const bool Voter = isVoter(members(), Self);
  if (role() == replica_role::Leader) {
    std::erase_if(Followers, [this](const follower_progress &Progress) {
      return findMember(members(), Progress.key()) == nullptr;
    });
    for (const log_member &Member : members().Members)
      if (Member.Key != Self && progressOf(Member.Key) == nullptr)
        Followers.emplace_back(Member.Key, Log.lastIndex().next());
    return;
  }
  if (Voter && role() == replica_role::Learner) {
    Role.process(role_event::MadeVoter);
    drawElectionDeadline(LastEvent);
  } else if (!Voter && role() != replica_role::Learner) {
    Role.process(role_event::MadeLearner);
  }
}

std::optional<proposal_refusal> replica_core::refuseChange(const member_set &Set) const {
  if (role() != replica_role::Leader)
    return proposal_refusal{proposal_error::NotLeader, Leader};
  // Two changes under way could give two quorums that do not meet; so could one that is proposed
  // before the leader knows whether its predecessor's change is committed (Ongaro's 2015 erratum).
  if (Commit < FirstOwnIndex)
    return proposal_refusal{proposal_error::NotReady, Leader};
  if (History.currentIndex() > Commit)
    return proposal_refusal{proposal_error::ChangeInProgress, Leader};
  if (voterCount(Set) == 0)
    return proposal_refusal{proposal_error::LastVoter, Leader};
  return std::nullopt;
}

proposal_result replica_core::proposeMembers(member_set Set) {
  const auto Refusal = refuseChange(Set);
  if (Refusal)
    return *Refusal;
  const log_index Index = appendOwn(entry_kind::Membership, encodeMembers(Set));
  putMembers(Index, std::move(Set));
  return proposal_place{Index, Hard.Term};
}

proposal_result replica_core::admit(const member_key &Key, mono_time Now) {
  enter(Now);
  if (role() != replica_role::Leader)
    return proposal_refusal{proposal_error::NotLeader, Leader};
  const log_member *Present = findMember(members(), Key.Member);
  if (Present != nullptr && Present->Key == Key)
    return proposal_refusal{proposal_error::AlreadyMember, Leader};
  if (Present != nullptr) {
    // Two processes under one id by mistake must not push each other out in turn.
    const follower_progress *Progress = progressOf(Present->Key);
    const bool Active =
        Progress == nullptr ||
        (Progress->heardAt() && Now - *Progress->heardAt() < Options.MaxElectionTimeout);
    if (Active)
      return proposal_refusal{proposal_error::MemberActive, Leader};
  }
  return proposeMembers(withLearner(members(), Key));
}

proposal_result replica_core::expel(member_id Member, mono_time Now) {
  enter(Now);
  if (role() != replica_role::Leader)
    return proposal_refusal{proposal_error::NotLeader, Leader};
  if (findMember(members(), Member) == nullptr)
    return proposal_refusal{proposal_error::UnknownMember, Leader};
  return proposeMembers(withoutMember(members(), Member));
}

proposal_result replica_core::promote(const member_key &Key, mono_time Now) {
  enter(Now);
  if (role() != replica_role::Leader)
    return proposal_refusal{proposal_error::NotLeader, Leader};
  if (findMember(members(), Key) == nullptr)
    return proposal_refusal{proposal_error::UnknownMember, Leader};
  if (isVoter(members(), Key))
    return proposal_refusal{proposal_error::AlreadyMember, Leader};
  return proposeMembers(withVoter(members(), Key));
}

void replica_core::learnPeer(member_id Peer) {
  if (Peer != Self.Member && std::find(Peers.begin(), Peers.end(), Peer) == Peers.end())
    Peers.push_back(Peer);
}

void replica_core::promoteLearner(mono_time Now) {
  // A voter beyond the target raises the quorum: with one more lost host it could not be reached.
  if (Options.TargetVoters > 0 && voterCount(members()) >= Options.TargetVoters)
    return;
  for (const follower_progress &Progress : Followers) {
    const bool Learns = !isVoter(members(), Progress.key());
    const bool InContact =
        Progress.heardAt() && Now - *Progress.heardAt() < Options.MinElectionTimeout;
    // A voter that lags would leave the next lost host without a quorum that has the whole log.
    const bool CaughtUp =
        Progress.match().value() + Options.CaughtUpWithin >= Log.lastIndex().value();
    if (!Learns || !InContact || !CaughtUp)
      continue;
    proposeMembers(withVoter(members(), Progress.key()));
    return;
  }
}

bool replica_core::mustAskToJoin(mono_time Now) const {
  if (isEmpty())
    return true;
  // The entry that let this disk in may have been truncated by a later leader, who sends nothing
  // here, and the log may not even have reached that entry. Without asking again the learner would
  // wait for good. A member that was taken out asks too; whoever answers knows that it was.
  if (role() == replica_role::Learner)
    return Now - LastHeard >= Options.MaxElectionTimeout;
  // A voter that was expelled while it was cut off never hears of it: nobody sends to it any more,
  // and it would stand for office among the others for good.
  return role() == replica_role::PreCandidate && Now - LastHeard >= 2 * Options.MaxElectionTimeout;
}

void replica_core::askToJoin(mono_time Now) {
  if (Now < NextJoin || !mustAskToJoin(Now))
    return;
  NextJoin = Now + Options.JoinInterval;
  for (const member_id Peer : Peers)
    if (Peer != Self.Member)
      sendNow({Peer, disk_identity()}, admission_request{});
}

void replica_core::receiveBody(const consensus_message &Message, const admission_request &,
                               mono_time) {
  if (role() == replica_role::Leader) {
    const bool Foreign = Message.Cluster != cluster_id() && Message.Cluster != cluster();
    if (!Foreign && findMember(members(), Message.From) == nullptr)
      Actions.emplace_back(admission_requested{Message.From});
    return;
  }
  if (!isEmpty() || Fresh == cluster_id() || Message.Cluster != cluster_id())
    return;
  // Only an answer that names this disk was given after this disk was made. An older one could come
  // from a peer that has since taken part in a log which this host founded and then lost.
  if (Message.To.Disk == Self.Disk)
    Joined[Message.From.Member] = Message.From;
  else
    sendNow(Message.From, founder_probe{});
}

void replica_core::receiveBody(const consensus_message &Message, const founder_probe &, mono_time) {
  if (isEmpty())
    sendNow(Message.From, admission_request{});
}

void replica_core::foundWhenAllAreEmpty() {
  if (!isEmpty() || Fresh == cluster_id())
    return;
  // With a target the others are not known beforehand: so many must have said that they are empty,
  // or the first change could be accepted by too few disks to outlive the loss that is to be borne.
  const std::size_t Needed = Options.TargetVoters;
  if (Needed > 0 && Joined.size() + 1 < Needed)
    return;
  member_set Set{Fresh, {{Self, member_standing::Voter}}};
  for (const member_id Peer : Peers) {
    if (Peer == Self.Member)
      continue;
    const auto Known = Joined.find(Peer);
    if (Known == Joined.end() && Needed == 0)
      return;
    if (Known == Joined.end() || (Needed > 0 && voterCount(Set) >= Needed))
      continue;
    Set = withVoter(withLearner(std::move(Set), Known->second), Known->second);
  }
  if (Hard.Term < FoundingTerm)
    setHardState({FoundingTerm, {}});
  storeEntry({log_index(1), FoundingTerm, entry_kind::Membership, encodeMembers(Set)});
}

} // namespace pollenstall
