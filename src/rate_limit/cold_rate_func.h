/** @file cold_rate_func.h Rate and saved permits that keep the bound of a cold server. */
#ifndef POLLENSTALL_RATE_LIMIT_COLD_RATE_FUNC_H
#define POLLENSTALL_RATE_LIMIT_COLD_RATE_FUNC_H

#include "rate_limit/permit_type.h"

namespace pollenstall {

/// How an issuer issues the permits of a cold server.
struct cold_rate {
  double PerSecond{0}; ///< At most the declared rate.
  double Saved{1};     ///< Permits saved up while nobody asks; a whole number.
  /// At most so many permits are issued in any Interval; 0: PerSecond and Saved keep the bound.
  std::size_t PerInterval{0};
  mono_duration Interval{0}; ///< The server's window and the longest use of a permit.
};

/**
 * Derives how permits are issued so that at most `cold_per_s` x overshoot + tolerance requests
 * arrive at the server in any window of one second. If less than one request is allowed, one
 * arrives.
 *
 * Requests that arrive within one window used permits that were issued within the window plus the
 * time U from the issue of a permit to the arrival of its request. In any such interval, an issuer
 * with S saved permits and the rate R issues at most S + floor(R x (window + U)) permits. Where the
 * declared rate leaves no saved permit, the permits of each interval are counted instead, since
 * issues that come late by a few milliseconds would lower the rate.
 * @param PerSecond The declared `cold_per_s`, more than 0.
 */
cold_rate coldRate(requests_per_second PerSecond, const permit_tuning &Tuning);

} // namespace pollenstall

#endif // POLLENSTALL_RATE_LIMIT_COLD_RATE_FUNC_H
