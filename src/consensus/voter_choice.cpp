/** @file voter_choice.cpp Which members vote, so that a majority survives the tolerated losses. */
#include "consensus/voter_choice_func.h"

#include "consensus/member_set_func.h"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

namespace pollenstall {

namespace {

using voter_list = std::vector<voter_candidate>;
using domain_counts = std::map<failure_domain_name, std::size_t>;

/// @return The number of any domains that may be lost while at most Spare of the counted hosts are.
std::size_t survivableDomains(const domain_counts &HostsByDomain, std::size_t Spare) {
  std::vector<std::size_t> Sizes;
  std::size_t Lost = 0;
  for (const auto &[Domain, Hosts] : HostsByDomain) {
    if (Domain.empty())
      Lost += Hosts;
    else
      Sizes.push_back(Hosts);
  }
  std::sort(Sizes.begin(), Sizes.end(), std::greater<>());
  std::size_t Domains = 0;
  while (Domains < Sizes.size() && Lost + Sizes[Domains] <= Spare)
    Lost += Sizes[Domains++];
  return Domains;
}

/// Adds candidates to a list of voters, each from the domain that has the fewest of them.
class voter_spread {
public:
  voter_spread(voter_list NewCandidates, const member_key &Self)
      : Candidates(std::move(NewCandidates)) {
    for (const voter_candidate &Candidate : Candidates)
      PresentVoters[Candidate.Domain] += Candidate.Votes ? 1 : 0;
    take([&Self](const voter_candidate &Candidate) { return Candidate.Key == Self; });
  }

  /// Adds all candidates that vote already.
  void takeVoters() {
    while (take([](const voter_candidate &Candidate) { return Candidate.Votes; }))
      ;
  }

  /// @return The list, filled up to Count voters.
  voter_list fill(std::size_t Count) {
    while (Voters.size() < Count && !Candidates.empty())
      takeAt(std::min_element(Candidates.begin(), Candidates.end(),
                              [this](const auto &A, const auto &B) { return isBefore(A, B); }));
    return Voters;
  }

private:
  /// Among equally small domains, the one with more present voters comes first, so that fewer
  /// members change.
  [[nodiscard]] bool isBefore(const voter_candidate &A, const voter_candidate &B) const {
    const auto Rank = [this](const voter_candidate &Candidate) {
      const auto Present = static_cast<std::ptrdiff_t>(PresentVoters.at(Candidate.Domain));
      return std::tuple(countOf(Candidate.Domain), -Present, Candidate.Domain.empty(),
                        Candidate.Domain, !Candidate.Votes, Candidate.Key);
    };
    return Rank(A) < Rank(B);
  }

  [[nodiscard]] std::size_t countOf(const failure_domain_name &Domain) const {
    const auto Found = Counts.find(Domain);
    return Found == Counts.end() ? 0 : Found->second;
  }

  template <typename Condition> bool take(const Condition &Matches) {
    const auto Found = std::find_if(Candidates.begin(), Candidates.end(), Matches);
    if (Found == Candidates.end())
      return false;
    takeAt(Found);
    return true;
  }

  void takeAt(voter_list::iterator Position) {
    ++Counts[Position->Domain];
    Voters.push_back(std::move(*Position));
    Candidates.erase(Position);
  }

  voter_list Candidates;
  domain_counts PresentVoters;
  domain_counts Counts; ///< Of Voters.
  voter_list Voters;
};

} // namespace

survivable_losses requiredLosses(const loss_tolerance &Tolerance) {
  const std::size_t Domains = std::max(Tolerance.Domains, Tolerance.Regions);
  return {Domains, std::max(Tolerance.Hosts, Domains)};
}

std::size_t minVoters(const loss_tolerance &Tolerance) {
  return 2 * requiredLosses(Tolerance).Hosts + 1;
}

survivable_losses survivedLosses(const std::vector<voter_candidate> &Voters,
                                 const loss_tolerance &Tolerance) {
  domain_counts HostsByDomain;
  std::size_t Present = 0;
  for (const voter_candidate &Voter : Voters) {
    if (Voter.Lost)
      continue;
    ++Present;
    ++HostsByDomain[Voter.Domain];
  }
  const std::size_t Quorum = quorumOf(Voters.size());
  if (Present < Quorum)
    return {};
  const std::size_t Spare = Present - Quorum;
  const survivable_losses Required = requiredLosses(Tolerance);
  return {std::min(survivableDomains(HostsByDomain, Spare), Required.Domains),
          std::min(Spare, Required.Hosts)};
}

std::vector<voter_candidate> chooseVoters(const std::vector<voter_candidate> &Candidates,
                                          const member_key &Self, const loss_tolerance &Tolerance,
                                          std::size_t AtLeast) {
  voter_list Present;
  std::copy_if(Candidates.begin(), Candidates.end(), std::back_inserter(Present),
               [](const voter_candidate &Candidate) { return !Candidate.Lost; });
  voter_list Best;
  survivable_losses BestLosses;
  const auto Consider = [&](voter_list Voters) {
    const survivable_losses Losses = survivedLosses(Voters, Tolerance);
    const bool MayBeFewer = Losses == requiredLosses(Tolerance);
    // Up to the smallest number that may be enough, a further voter is one more copy.
    const bool MoreCopies = Voters.size() > Best.size() && Voters.size() <= minVoters(Tolerance);
    if ((Voters.size() < AtLeast && !MayBeFewer) ||
        (!Best.empty() && (Losses < BestLosses || (Losses == BestLosses && !MoreCopies))))
      return;
    Best = std::move(Voters);
    BestLosses = Losses;
  };
  for (std::size_t Count = 1; Count <= Present.size(); ++Count) {
    voter_spread KeepsVoters(Present, Self);
    KeepsVoters.takeVoters();
    if (voter_list Voters = KeepsVoters.fill(Count); Voters.size() == Count)
      Consider(std::move(Voters));
    Consider(voter_spread(Present, Self).fill(Count));
  }
  return Best;
}

} // namespace pollenstall
