/** @file placement.h Public header of placement on engines with declared performance figures. */
#ifndef POLLENSTALL_PLACEMENT_PLACEMENT_H
#define POLLENSTALL_PLACEMENT_PLACEMENT_H

#include "placement/millis_func.h"     // IWYU pragma: export
#include "placement/pass_model_func.h" // IWYU pragma: export
#include "placement/placement_type.h"  // IWYU pragma: export
#include "placement/placer_base.h"     // IWYU pragma: export

#endif // POLLENSTALL_PLACEMENT_PLACEMENT_H
