/** @file evacuation.h Public header of evacuation: which backend servers get no new work because
 * their failure domain is out of service. */
#ifndef POLLENSTALL_EVACUATION_EVACUATION_H
#define POLLENSTALL_EVACUATION_EVACUATION_H

#include "evacuation/evacuation_list_base.h"     // IWYU pragma: export
#include "evacuation/evacuation_refusal_func.h"  // IWYU pragma: export
#include "evacuation/evacuation_reporter_base.h" // IWYU pragma: export
#include "evacuation/evacuation_type.h"          // IWYU pragma: export
#include "evacuation/server_evacuations_base.h"  // IWYU pragma: export

#endif // POLLENSTALL_EVACUATION_EVACUATION_H
