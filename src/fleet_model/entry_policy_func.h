/** @file entry_policy_func.h The placement policy and the baseline policies. */
#ifndef POLLENSTALL_FLEET_MODEL_ENTRY_POLICY_FUNC_H
#define POLLENSTALL_FLEET_MODEL_ENTRY_POLICY_FUNC_H

#include "fleet_model/entry_policy_type.h"

#include <vector>

namespace pollenstall {

/// @return The name of the service of all simulated engines.
service_name modelService();

/// @return The placement of the real entries.
named_model_policy placementPolicy();

/// @return Least outstanding and power of two choices, by the request counts of all entries.
std::vector<named_model_policy> baselineModelPolicies();

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_ENTRY_POLICY_FUNC_H
