/** @file core.h Public header of core: strong types, clocks, invariants, results, queues, hashes,
 * random numbers, number parsing. */
#ifndef POLLENSTALL_CORE_CORE_H
#define POLLENSTALL_CORE_CORE_H

#include "core/bounded_ring.h"       // IWYU pragma: export
#include "core/clock_type.h"         // IWYU pragma: export
#include "core/hash_func.h"          // IWYU pragma: export
#include "core/identity_type.h"      // IWYU pragma: export
#include "core/invariant_func.h"     // IWYU pragma: export
#include "core/number_func.h"        // IWYU pragma: export
#include "core/random_type.h"        // IWYU pragma: export
#include "core/result_type.h"        // IWYU pragma: export
#include "core/running_clock_type.h" // IWYU pragma: export
#include "core/strong_type.h"        // IWYU pragma: export
#include "core/unit_type.h"          // IWYU pragma: export

#endif // POLLENSTALL_CORE_CORE_H
