/** @file evacuation_refusal.cpp When callers may retry if all servers of a service are out. */
#include "evacuation/evacuation_refusal_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::chrono::seconds MinRetryAfter{1};
/// A caller does not retry after more than this part of its remaining time.
constexpr int RetryDivisor = 3;

} // namespace

std::chrono::seconds evacuationRetryAfter(mono_duration Remaining) {
  return std::max(MinRetryAfter,
                  std::chrono::floor<std::chrono::seconds>(Remaining / RetryDivisor));
}

} // namespace pollenstall
