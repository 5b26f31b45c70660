/** @file entry_policy_func.h The project's placement, and baselines to beat. */
#ifndef POLLENSTALL_FLEET_MODEL_ENTRY_POLICY_FUNC_H
#define POLLENSTALL_FLEET_MODEL_ENTRY_POLICY_FUNC_H

#include "fleet_model/entry_policy_type.h"

#include <vector>

namespace pollenstall {

/// @return The name of the one service that the model's engines serve.
service_name modelService();

/// @return What the project's entries run.
named_model_policy placementPolicy();

/// @return Least outstanding and power of two choices, by the count of all entries' requests.
std::vector<named_model_policy> baselineModelPolicies();

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_ENTRY_POLICY_FUNC_H
