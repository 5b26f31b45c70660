/** @file load_run_func.h Runs the load that the settings describe. */
#ifndef POLLENSTALL_LOAD_LOAD_RUN_FUNC_H
#define POLLENSTALL_LOAD_LOAD_RUN_FUNC_H

#include "load/load_bound_func.h"
#include "load/load_type.h"

namespace pollenstall {

/// Blocks until every request has ended or met its timeout. @return The figures.
load_metrics runLoad(const load_settings &Settings);

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_RUN_FUNC_H
