/** @file scheduling.h Public header of the scheduler. */
#ifndef POLLENSTALL_SCHEDULING_SCHEDULING_H
#define POLLENSTALL_SCHEDULING_SCHEDULING_H

#include "scheduling/account_queue_base.h"     // IWYU pragma: export
#include "scheduling/concurrency_limit_base.h" // IWYU pragma: export
#include "scheduling/cost_model_base.h"        // IWYU pragma: export
#include "scheduling/long_placement_func.h"    // IWYU pragma: export
#include "scheduling/memory_tracker_base.h"    // IWYU pragma: export
#include "scheduling/outlier_detector_base.h"  // IWYU pragma: export
#include "scheduling/prefill_tracker_base.h"   // IWYU pragma: export
#include "scheduling/prefix_affinity_base.h"   // IWYU pragma: export
#include "scheduling/scheduler_base.h"         // IWYU pragma: export
#include "scheduling/scheduling_type.h"        // IWYU pragma: export
#include "scheduling/token_estimator_base.h"   // IWYU pragma: export

#endif // POLLENSTALL_SCHEDULING_SCHEDULING_H
