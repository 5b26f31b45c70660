/** @file rate_limit.h Public header of rate_limit: limits that backend servers state on the
 * requests of all entries together. */
#ifndef POLLENSTALL_RATE_LIMIT_RATE_LIMIT_H
#define POLLENSTALL_RATE_LIMIT_RATE_LIMIT_H

#include "rate_limit/limited_servers_base.h" // IWYU pragma: export
#include "rate_limit/rate_limit_type.h"      // IWYU pragma: export

#endif // POLLENSTALL_RATE_LIMIT_RATE_LIMIT_H
