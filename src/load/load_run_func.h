/** @file load_run_func.h Runs a load. */
#ifndef POLLENSTALL_LOAD_LOAD_RUN_FUNC_H
#define POLLENSTALL_LOAD_LOAD_RUN_FUNC_H

#include "load/load_bound_func.h"
#include "load/load_type.h"

namespace pollenstall {

/// Sends the load and blocks until every request has ended or timed out. @return The metrics.
load_metrics runLoad(const load_settings &Settings);

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_RUN_FUNC_H
