/** @file replica_core_member.cpp Bootstrap, admission and single-server membership changes. */
#include "consensus/replica_core_base.h"
#include "consensus/voter_choice_func.h"

#include <algorithm>

namespace pollenstall {

namespace {
constexpr term_number BootstrapTerm{1}; ///< No leader is elected in this term.
} // namespace

void replica_core::adoptMembers(log_index Index, member_set Set) {
  History.append(Index, std::move(Set));
  handleMembersChange();
}

void replica_core::handleMembersChange() {
  Actions.emplace_back(members_changed{members()});
  const bool SelfIsVoter = isVoter(members(), Self);
  if (role() == replica_role::Leader) {
    std::erase_if(Followers, [this](const follower_progress &Progress) {
      return findMember(members(), Progress.key()) == nullptr;
    });
    for (const log_member &Member : members().Members)
      if (Member.Key != Self && progressOf(Member.Key) == nullptr)
        Followers.emplace_back(Member.Key, Log.lastIndex().next());
    return;
  }
  if (SelfIsVoter && role() == replica_role::Learner) {
    Role.process(role_event::MadeVoter);
    randomizeElectionDeadline(LastEvent);
  } else if (!SelfIsVoter && role() != replica_role::Learner) {
    Role.process(role_event::MadeLearner);
  }
}

std::optional<proposal_refusal> replica_core::checkMembershipChange(const member_set &Set) const {
  if (role() != replica_role::Leader)
    return proposal_refusal{proposal_error::NotLeader, Leader};
  // Two concurrent changes could lead to two quorums that do not intersect. So could a change that
  // is proposed before the leader knows whether a change of its predecessor is committed (Ongaro's
  // 2015 erratum).
  if (Commit < TermStartIndex)
    return proposal_refusal{proposal_error::NotReady, Leader};
  if (History.currentIndex() > Commit)
    return proposal_refusal{proposal_error::ChangeInProgress, Leader};
  if (voterCount(Set) == 0)
    return proposal_refusal{proposal_error::LastVoter, Leader};
  return std::nullopt;
}

proposal_result replica_core::proposeMembers(member_set Set) {
  const auto Refusal = checkMembershipChange(Set);
  if (Refusal)
    return *Refusal;
  const log_index Index = appendAsLeader(entry_kind::Membership, encodeMembers(Set));
  adoptMembers(Index, std::move(Set));
  return proposal_position{Index, Hard.Term};
}

proposal_result replica_core::admit(const member_key &Key, mono_time Now) {
  beginEvent(Now);
  if (role() != replica_role::Leader)
    return proposal_refusal{proposal_error::NotLeader, Leader};
  const log_member *CurrentMember = findMember(members(), Key.Member);
  if (CurrentMember != nullptr && CurrentMember->Key == Key)
    return proposal_refusal{proposal_error::AlreadyMember, Leader};
  if (CurrentMember != nullptr) {
    // Two processes that run with the same id by mistake must not keep replacing each other.
    const follower_progress *Progress = progressOf(CurrentMember->Key);
    const bool IsActive = Progress == nullptr ||
                          (Progress->lastRepliedSendTime() &&
                           Now - *Progress->lastRepliedSendTime() < Options.MaxElectionTimeout);
    if (IsActive)
      return proposal_refusal{proposal_error::MemberActive, Leader};
  }
  return proposeMembers(withLearner(members(), Key));
}

proposal_result replica_core::expel(member_id Member, mono_time Now) {
  beginEvent(Now);
  if (role() != replica_role::Leader)
    return proposal_refusal{proposal_error::NotLeader, Leader};
  if (findMember(members(), Member) == nullptr)
    return proposal_refusal{proposal_error::UnknownMember, Leader};
  return proposeMembers(withoutMember(members(), Member));
}

proposal_result replica_core::promote(const member_key &Key, mono_time Now) {
  beginEvent(Now);
  if (role() != replica_role::Leader)
    return proposal_refusal{proposal_error::NotLeader, Leader};
  if (findMember(members(), Key) == nullptr)
    return proposal_refusal{proposal_error::UnknownMember, Leader};
  if (isVoter(members(), Key))
    return proposal_refusal{proposal_error::AlreadyMember, Leader};
  return proposeMembers(withVoter(members(), Key));
}

void replica_core::addPeer(member_id Peer) {
  if (Peer != Self.Member && std::find(Peers.begin(), Peers.end(), Peer) == Peers.end())
    Peers.push_back(Peer);
}

void replica_core::setDomain(member_id Member, failure_domain_name Domain) {
  Domains[Member] = std::move(Domain);
}

void replica_core::promoteLearner(mono_time Now) {
  // A voter that the tolerated losses do not require raises the quorum, which might be unreachable
  // after the loss of another host.
  if (Options.Tolerance)
    return;
  for (const follower_progress &Progress : Followers) {
    const bool IsLearner = !isVoter(members(), Progress.key());
    const bool IsResponsive = Progress.lastRepliedSendTime() &&
                              Now - *Progress.lastRepliedSendTime() < Options.MinElectionTimeout;
    // If a lagging learner became voter, the loss of one more host could leave no quorum with the
    // complete log.
    const bool CaughtUp =
        Progress.match().value() + Options.CaughtUpWithin >= Log.lastIndex().value();
    if (!IsLearner || !IsResponsive || !CaughtUp)
      continue;
    proposeMembers(withVoter(members(), Progress.key()));
    return;
  }
}

bool replica_core::shouldRequestAdmission(mono_time Now) const {
  if (isEmpty())
    return true;
  // The entry that admitted this disk may have been truncated by a later leader, which sends
  // nothing to this disk, or the log here may not have reached that entry. A learner that did not
  // ask again would wait forever. An expelled member asks as well; the leader's caller, which gets
  // admission_requested, decides whether to admit it.
  if (role() == replica_role::Learner)
    return Now - LastLeaderContact >= Options.MaxElectionTimeout;
  // A voter that was expelled while it was partitioned is never notified, because no member sends
  // to it any more. It would otherwise request pre-votes forever.
  return role() == replica_role::PreCandidate &&
         Now - LastLeaderContact >= 2 * Options.MaxElectionTimeout;
}

void replica_core::requestAdmission(mono_time Now) {
  if (Now < NextAdmissionRequest || !shouldRequestAdmission(Now))
    return;
  NextAdmissionRequest = Now + Options.AdmissionRequestInterval;
  for (const member_id Peer : Peers)
    if (Peer != Self.Member)
      sendNow({Peer, disk_identity()}, admission_request{});
}

void replica_core::receiveBody(const consensus_message &Message, const admission_request &,
                               mono_time Now) {
  if (role() == replica_role::Leader) {
    const bool OtherCluster = Message.Cluster != cluster_id() && Message.Cluster != cluster();
    if (!OtherCluster && findMember(members(), Message.From) == nullptr)
      Actions.emplace_back(admission_requested{Message.From});
    return;
  }
  if (!isEmpty() || NewCluster == cluster_id() || Message.Cluster != cluster_id())
    return;
  // Only a request that names this disk was certainly sent after this disk was created. An older
  // request could come from a peer that has since joined a cluster which this host bootstrapped
  // before it lost its disk.
  if (Message.To.Disk == Self.Disk)
    EmptyPeers[Message.From.Member] = {Message.From, Now};
  else
    sendNow(Message.From, bootstrap_probe{});
}

void replica_core::receiveBody(const consensus_message &Message, const bootstrap_probe &,
                               mono_time) {
  if (isEmpty())
    sendNow(Message.From, admission_request{});
}

std::optional<member_set> replica_core::allPeersAsVoters() const {
  member_set Set{NewCluster, {{Self, voting_status::Voter}}};
  for (const member_id Peer : Peers) {
    if (Peer == Self.Member)
      continue;
    const auto EmptyPeer = EmptyPeers.find(Peer);
    if (EmptyPeer == EmptyPeers.end())
      return std::nullopt;
    const member_key &Key = EmptyPeer->second.Key;
    Set = withVoter(withLearner(std::move(Set), Key), Key);
  }
  return Set;
}

std::optional<member_set> replica_core::initialMembers(mono_time Now) const {
  if (!Options.Tolerance)
    return allPeersAsVoters();
  /// A host that has missed so many reports is lost.
  constexpr int ReportsMissed = 4;
  std::vector<voter_candidate> Candidates;
  const auto AddCandidate = [&](const member_key &Key) {
    const auto Domain = Domains.find(Key.Member);
    Candidates.push_back({Key, Domain == Domains.end() ? failure_domain_name() : Domain->second});
  };
  AddCandidate(Self);
  for (const auto &[Member, Peer] : EmptyPeers)
    if (Now - Peer.ReportedAt < ReportsMissed * Options.AdmissionRequestInterval)
      AddCandidate(Peer.Key);
  // The hosts are not known in advance. If the first change were accepted by fewer disks, or by
  // disks of fewer failure domains, it would be gone after losses that the cluster must tolerate.
  // After a while, the hosts that have not reported count as lost: no more of them than tolerated.
  const survivable_losses Required = requiredLosses(*Options.Tolerance);
  const bool HasWaited = Now - StartedAt >= Options.BootstrapWait;
  const std::size_t AtLeast =
      minVoters(*Options.Tolerance) - (HasWaited ? Required.Hosts : std::size_t{0});
  const std::vector<voter_candidate> Voters =
      chooseVoters(Candidates, Self, *Options.Tolerance, AtLeast);
  if (Voters.empty() || (!HasWaited && survivedLosses(Voters, *Options.Tolerance) != Required))
    return std::nullopt;
  member_set Set{NewCluster, {}};
  for (const voter_candidate &Voter : Voters)
    Set = withVoter(withLearner(std::move(Set), Voter.Key), Voter.Key);
  return Set;
}

void replica_core::bootstrapWhenReady(mono_time Now) {
  if (!isEmpty() || NewCluster == cluster_id())
    return;
  const std::optional<member_set> Set = initialMembers(Now);
  if (!Set)
    return;
  if (Hard.Term < BootstrapTerm)
    setHardState({BootstrapTerm, {}});
  storeEntry({log_index(1), BootstrapTerm, entry_kind::Membership, encodeMembers(*Set)});
}

} // namespace pollenstall
