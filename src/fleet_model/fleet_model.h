/** @file fleet_model.h Public header of fleet_model, a discrete-event simulation of a fleet. */
#ifndef POLLENSTALL_FLEET_MODEL_FLEET_MODEL_H
#define POLLENSTALL_FLEET_MODEL_FLEET_MODEL_H

#include "fleet_model/engine_model_base.h" // IWYU pragma: export
#include "fleet_model/entry_policy_func.h" // IWYU pragma: export
#include "fleet_model/fleet_run_base.h"    // IWYU pragma: export
#include "fleet_model/model_load_func.h"   // IWYU pragma: export
#include "fleet_model/model_load_type.h"   // IWYU pragma: export
#include "fleet_model/run_summary_func.h"  // IWYU pragma: export

#endif // POLLENSTALL_FLEET_MODEL_FLEET_MODEL_H
