/** @file long_placement_func.h Selects the engines of a group that accept long prompts. */
#ifndef POLLENSTALL_SCHEDULING_LONG_PLACEMENT_FUNC_H
#define POLLENSTALL_SCHEDULING_LONG_PLACEMENT_FUNC_H

#include "core/core.h"

#include <vector>

namespace pollenstall {

/// An engine that may be selected for long prompts.
struct long_work_candidate {
  backend_key Backend;
  failure_domain_name Domain;
};

/**
 * Orders engines by a hash of their keys, alternating between failure domains. All hosts compute
 * the same order without communication. If their estimates differ, the smaller set is part of the
 * larger one, so engines outside the largest set receive no long prompts. The loss of a failure
 * domain affects only its part of the set.
 */
std::vector<backend_key> longWorkOrder(const std::vector<long_work_candidate> &Candidates);

/**
 * Returns the number of engines for long prompts: the number for the demand, at most the maximum
 * share, at least 1 unless there are no engines.
 * @param Engines Number of engines of the group that may receive work.
 * @param MaxShare Declared maximum share of the engines.
 * @param LongCostShare Share of the recent cost that is in the long class, from 0 to 1.
 */
std::size_t longEngineCount(std::size_t Engines, double MaxShare, double LongCostShare);

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_LONG_PLACEMENT_FUNC_H
