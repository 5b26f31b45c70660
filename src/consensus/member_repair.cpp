/** @file member_repair.cpp Automatic replacement of lost members and choice of the voters. */
#include "consensus/member_repair_func.h"

#include "consensus/member_set_func.h"

#include <algorithm>
#include <tuple>

namespace pollenstall {

namespace {

/// A member as the leader sees it.
struct observed_member {
  voter_candidate Candidate;
  mono_duration SinceLastReply{}; ///< 0 for the leader itself.
  bool IsResponsive{false};
  bool IsCaughtUp{false};
  bool DiskLost{false};
};

using observed_members = std::vector<observed_member>;

observed_members observeMembers(const replica_status &Status,
                                const std::set<member_id> &MembersWithoutDisk,
                                const member_repair_options &Options) {
  observed_members Members;
  for (const log_member &Member : Status.Members.Members) {
    observed_member Observed;
    Observed.Candidate.Key = Member.Key;
    Observed.Candidate.Votes = Member.VotingStatus == voting_status::Voter;
    if (const auto Domain = Status.Domains.find(Member.Key.Member); Domain != Status.Domains.end())
      Observed.Candidate.Domain = Domain->second;
    const auto Progress =
        std::find_if(Status.Progress.begin(), Status.Progress.end(),
                     [&Member](const auto &Other) { return Other.Member.Key == Member.Key; });
    if (Progress != Status.Progress.end()) {
      Observed.SinceLastReply = Progress->SinceLastReply;
      Observed.IsCaughtUp =
          Progress->Match.value() + Options.CaughtUpWithin >= Status.LastIndex.value();
    }
    Observed.IsResponsive = Observed.SinceLastReply < Options.VoterTimeout / 2;
    Observed.DiskLost = MembersWithoutDisk.count(Member.Key.Member) != 0;
    Observed.Candidate.Lost = Observed.DiskLost || Observed.SinceLastReply > Options.VoterTimeout;
    Members.push_back(std::move(Observed));
  }
  return Members;
}

std::vector<voter_candidate> votersAmong(const observed_members &Members) {
  std::vector<voter_candidate> Voters;
  for (const observed_member &Member : Members)
    if (Member.Candidate.Votes)
      Voters.push_back(Member.Candidate);
  return Voters;
}

/// @return The voters to change to; empty if the present ones stay.
std::vector<voter_candidate> chooseNextVoters(const observed_members &Members,
                                              const member_key &Leader,
                                              const loss_tolerance &Tolerance) {
  std::vector<voter_candidate> Candidates;
  std::size_t Voters = 0;
  std::size_t DisksLost = 0;
  bool AnySilent = false;
  for (const observed_member &Member : Members) {
    if (Member.Candidate.Votes || (Member.IsResponsive && Member.IsCaughtUp))
      Candidates.push_back(Member.Candidate);
    if (!Member.Candidate.Votes)
      continue;
    ++Voters;
    DisksLost += Member.DiskLost ? 1 : 0;
    AnySilent |= Member.Candidate.Lost && !Member.DiskLost;
  }
  // A voter that does not answer may return with its disk, so the voters do not become fewer for
  // its absence.
  auto Chosen = chooseVoters(Candidates, Leader, Tolerance, AnySilent ? Voters - DisksLost : 0);
  const bool AnyLearner = std::any_of(Chosen.begin(), Chosen.end(),
                                      [](const auto &Candidate) { return !Candidate.Votes; });
  const bool AnyLost = AnySilent || DisksLost > 0;
  if (AnyLost && !AnyLearner && Voters <= minVoters(Tolerance))
    Chosen.clear();
  return Chosen;
}

/// Finds the next change towards the chosen voters.
class voter_change_planner {
public:
  voter_change_planner(const observed_members &Members, const member_key &Leader,
                       const loss_tolerance &CurrentTolerance)
      : Tolerance(CurrentTolerance), Voters(votersAmong(Members)),
        Losses(survivedLosses(Voters, Tolerance)) {
    for (const observed_member &Member : Members)
      Responsive += Member.Candidate.Votes && Member.IsResponsive ? 1 : 0;
    const std::vector<voter_candidate> Chosen = chooseNextVoters(Members, Leader, Tolerance);
    if (Chosen.empty())
      return;
    std::copy_if(Chosen.begin(), Chosen.end(), std::back_inserter(Promotions),
                 [](const voter_candidate &Candidate) { return !Candidate.Votes; });
    const auto IsChosen = [&Chosen](const member_key &Key) {
      return std::any_of(Chosen.begin(), Chosen.end(),
                         [&Key](const auto &Candidate) { return Candidate.Key == Key; });
    };
    std::copy_if(Members.begin(), Members.end(), std::back_inserter(Removals),
                 [&](const observed_member &Member) {
                   const member_key &Key = Member.Candidate.Key;
                   return Member.Candidate.Votes && Key != Leader && !IsChosen(Key);
                 });
    std::stable_sort(Removals.begin(), Removals.end(), [](const auto &A, const auto &B) {
      return std::tuple(!A.DiskLost, -A.SinceLastReply) <
             std::tuple(!B.DiskLost, -B.SinceLastReply);
    });
  }

  [[nodiscard]] std::optional<member_change> next() const {
    const bool NeedsMoreVoters = Voters.size() < minVoters(Tolerance);
    if (!NeedsMoreVoters)
      if (const auto Removal = removal(true))
        return Removal;
    if (const auto Promotion = promotion())
      return Promotion;
    return removal(false);
  }

private:
  [[nodiscard]] std::vector<voter_candidate> with(const voter_candidate &Learner) const {
    std::vector<voter_candidate> After = Voters;
    After.push_back(Learner);
    return After;
  }

  [[nodiscard]] std::optional<member_change> removal(bool DiskLost) const {
    for (const observed_member &Member : Removals) {
      if (DiskLost && !Member.DiskLost)
        continue;
      std::vector<voter_candidate> After = Voters;
      std::erase_if(After, [&Member](const voter_candidate &Voter) {
        return Voter.Key == Member.Candidate.Key;
      });
      const std::size_t Remaining = Responsive - (Member.IsResponsive ? 1 : 0);
      if (Remaining >= quorumOf(After.size()) && survivedLosses(After, Tolerance) >= Losses)
        return expel_member{Member.Candidate.Key.Member};
    }
    return std::nullopt;
  }

  [[nodiscard]] std::optional<member_change> promotion() const {
    if (Responsive + 1 < quorumOf(Voters.size() + 1))
      return std::nullopt;
    const voter_candidate *Best = nullptr;
    survivable_losses BestLosses = Losses;
    for (const voter_candidate &Learner : Promotions) {
      const survivable_losses After = survivedLosses(with(Learner), Tolerance);
      if (After < Losses || (Best != nullptr && After <= BestLosses))
        continue;
      Best = &Learner;
      BestLosses = After;
    }
    if (Best != nullptr)
      return promote_member{Best->Key};
    return firstOfTwoPromotions();
  }

  /// @return A promotion that lowers the losses survived, before one that raises them above those
  /// survived now.
  [[nodiscard]] std::optional<member_change> firstOfTwoPromotions() const {
    for (const voter_candidate &First : Promotions)
      for (const voter_candidate &Second : Promotions) {
        if (First.Key == Second.Key)
          continue;
        std::vector<voter_candidate> After = with(First);
        After.push_back(Second);
        if (survivedLosses(After, Tolerance) > Losses)
          return promote_member{First.Key};
      }
    return std::nullopt;
  }

  loss_tolerance Tolerance;
  std::vector<voter_candidate> Voters;
  survivable_losses Losses; ///< Survived by Voters.
  std::size_t Responsive{0};
  std::vector<voter_candidate> Promotions;
  observed_members Removals; ///< Lost disks first, then the longest silent.
};

std::optional<member_change> unresponsiveLearnerRemoval(const observed_members &Members,
                                                        const member_repair_options &Options) {
  for (const observed_member &Member : Members)
    if (!Member.Candidate.Votes && Member.SinceLastReply > Options.LearnerTimeout)
      return expel_member{Member.Candidate.Key.Member};
  return std::nullopt;
}

} // namespace

std::vector<voter_candidate> votersOf(const replica_status &Status,
                                      const std::set<member_id> &MembersWithoutDisk,
                                      const member_repair_options &Options) {
  return votersAmong(observeMembers(Status, MembersWithoutDisk, Options));
}

std::optional<member_change> nextMemberRepair(const replica_status &Status,
                                              const std::set<member_id> &MembersWithoutDisk,
                                              const member_repair_options &Options) {
  if (!Options.Tolerance || Status.Role != replica_role::Leader || !Status.LeaseValid)
    return std::nullopt;
  const observed_members Members = observeMembers(Status, MembersWithoutDisk, Options);
  if (const auto Removal = unresponsiveLearnerRemoval(Members, Options))
    return Removal;
  return voter_change_planner(Members, Status.Self, *Options.Tolerance).next();
}

} // namespace pollenstall
