/** @file long_placement_func.h Which engines of a group take long prompts. */
#ifndef POLLENSTALL_SCHEDULING_LONG_PLACEMENT_FUNC_H
#define POLLENSTALL_SCHEDULING_LONG_PLACEMENT_FUNC_H

#include "core/core.h"

#include <vector>

namespace pollenstall {

/// An engine as far as the choice of engines for long work needs it.
struct long_candidate {
  backend_key Backend;
  failure_domain_name Domain;
};

/**
 * Orders engines by a hash of their keys, taking failure domains in turn. Every host gets the same
 * order without talking, so hosts whose estimates differ choose sets that contain one another and
 * the engines outside the largest stay clear of long work; losing a domain loses its part only.
 */
std::vector<backend_key> longWorkOrder(const std::vector<long_candidate> &Candidates);

/**
 * @param Engines Engines of the group that may be given work.
 * @param GreatestShare Largest part of them, as declared.
 * @param LongDemand Part of recent cost that was long work, from 0 to 1.
 * @return How many engines take long work: as the demand asks, at most the share, at least one.
 */
std::size_t longEngineCount(std::size_t Engines, double GreatestShare, double LongDemand);

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_LONG_PLACEMENT_FUNC_H
