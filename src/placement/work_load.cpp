/** @file work_load.cpp Work of several entries together, and after some time. */
#include "placement/millis_func.h"
#include "placement/placement_type.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// @return The lower of two where 0 stands for none.
std::uint32_t lowerGiven(std::uint32_t A, std::uint32_t B) {
  if (A == 0 || B == 0)
    return std::max(A, B);
  return std::min(A, B);
}

} // namespace

bool isEmpty(const work_load &Load) {
  return Load.Requests == 0 && Load.ReadMs == 0 && Load.Tokens == 0;
}

work_load operator+(work_load A, const work_load &B) {
  A.Requests += B.Requests;
  A.Writers += B.Writers;
  A.ReadMs += B.ReadMs;
  A.Tokens += B.Tokens;
  A.GapMs = lowerGiven(A.GapMs, B.GapMs);
  A.FirstReader = lowerGiven(A.FirstReader, B.FirstReader);
  return A;
}

work_load after(work_load Load, mono_duration Passed) {
  const double Left = Load.ReadMs - millisUntil(mono_time(Passed), mono_time());
  Load.ReadMs = static_cast<std::uint32_t>(std::max(0.0, Left));
  return Load;
}

} // namespace pollenstall
