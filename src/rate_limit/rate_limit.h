/** @file rate_limit.h Public header of rate_limit: entries together keep the rate limits that
 * backend servers state. */
#ifndef POLLENSTALL_RATE_LIMIT_RATE_LIMIT_H
#define POLLENSTALL_RATE_LIMIT_RATE_LIMIT_H

#include "rate_limit/permit_client_base.h"   // IWYU pragma: export
#include "rate_limit/permit_exchange_base.h" // IWYU pragma: export
#include "rate_limit/permit_type.h"          // IWYU pragma: export
#include "rate_limit/rate_limit_type.h"      // IWYU pragma: export

#endif // POLLENSTALL_RATE_LIMIT_RATE_LIMIT_H
