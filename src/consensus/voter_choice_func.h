/** @file voter_choice_func.h Which members vote, so that a majority survives the tolerated losses.
 */
#ifndef POLLENSTALL_CONSENSUS_VOTER_CHOICE_FUNC_H
#define POLLENSTALL_CONSENSUS_VOTER_CHOICE_FUNC_H

#include "consensus/consensus_type.h"

#include <compare>
#include <cstddef>
#include <vector>

namespace pollenstall {

/// A disk that votes or may be made a voter.
struct voter_candidate {
  member_key Key;
  failure_domain_name Domain; ///< Empty if its host has not reported one.
  bool Votes{false};
  bool Lost{false}; ///< It does not answer, or its disk is known to be lost.

  bool operator==(const voter_candidate &) const = default;
};

/// Further losses after which a quorum of the voters remains. Ordered by failure domains first,
/// because the loss of a domain is one event and that of several hosts is several.
struct survivable_losses {
  std::size_t Domains{0}; ///< Any failure domains, with all their hosts.
  std::size_t Hosts{0};   ///< Any hosts.

  auto operator<=>(const survivable_losses &) const = default;
};

/// @return What the log must survive in domains and hosts. The hosts of a region are in domains of
/// that region, so the loss of a region is at least that of a domain, and that of a domain at least
/// that of a host.
survivable_losses requiredLosses(const loss_tolerance &Tolerance);

/// @return The smallest number of voters that may survive the tolerated losses.
std::size_t minVoters(const loss_tolerance &Tolerance);

/**
 * @return What the voters survive beyond those that are already lost, up to the required losses.
 * A host of unknown domain counts as a host of every lost domain.
 */
survivable_losses survivedLosses(const std::vector<voter_candidate> &Voters,
                                 const loss_tolerance &Tolerance);

/**
 * Chooses the voters that survive most of the tolerated losses.
 * @param Candidates With distinct keys; lost ones are not chosen. @param Self Always chosen, if it
 * is a candidate. @param AtLeast Fewer voters are chosen only if they survive all tolerated losses.
 * @return As few voters as survive the losses, with as many of the present voters as possible;
 * empty if there are fewer candidates than AtLeast.
 */
std::vector<voter_candidate> chooseVoters(const std::vector<voter_candidate> &Candidates,
                                          const member_key &Self, const loss_tolerance &Tolerance,
                                          std::size_t AtLeast);

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_VOTER_CHOICE_FUNC_H
