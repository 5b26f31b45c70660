/** @file work_load.cpp Sums of loads, and loads after some time. */
#include "placement/millis_func.h"
#include "placement/placement_type.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// Returns the lower of two values, in which 0 means none.
std::uint32_t lowerNonZero(std::uint32_t A, std::uint32_t B) {
  if (A == 0 || B == 0)
    return std::max(A, B);
  return std::min(A, B);
}

} // namespace

bool isEmpty(const work_load &Load) {
  return Load.Requests == 0 && Load.PrefillMs == 0 && Load.Tokens == 0;
}

work_load operator+(work_load A, const work_load &B) {
  A.Requests += B.Requests;
  A.DecodingRequests += B.DecodingRequests;
  A.PrefillMs += B.PrefillMs;
  A.Tokens += B.Tokens;
  A.GapMs = lowerNonZero(A.GapMs, B.GapMs);
  A.LowestClaimRank = lowerNonZero(A.LowestClaimRank, B.LowestClaimRank);
  return A;
}

work_load loadAfter(work_load Load, mono_duration Elapsed) {
  const double RemainingMs = Load.PrefillMs - millisUntil(mono_time(Elapsed), mono_time());
  Load.PrefillMs = static_cast<std::uint32_t>(std::max(0.0, RemainingMs));
  return Load;
}

} // namespace pollenstall
