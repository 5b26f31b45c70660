/** @file measure_func.h Cost of pure code: processor time of this thread and memory of the heap. */
#ifndef POLLENSTALL_BENCH_DECISION_MEASURE_FUNC_H
#define POLLENSTALL_BENCH_DECISION_MEASURE_FUNC_H

#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <ctime>
#include <functional>
#include <vector>

namespace pollenstall::bench {

constexpr int Rounds = 5; ///< Each cost is the least of so many rounds: others use the machine too.

/// @return Processor time of this thread in microseconds.
inline double cpuMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 + static_cast<double>(Time.tv_nsec) / 1e3;
}

/// @return Bytes of the heap in use, also those of large blocks that are mapped apart.
inline double heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/// @return Least processor time of one call in microseconds, over rounds of Count calls each.
inline double cpuOfCall(std::size_t Count, const std::function<void()> &Call) {
  double Least = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    const double Before = cpuMicroseconds();
    for (std::size_t Place = 0; Place < Count; ++Place)
      Call();
    const double Cost = (cpuMicroseconds() - Before) / static_cast<double>(Count);
    Least = Round == 0 ? Cost : std::min(Least, Cost);
  }
  return Least;
}

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_DECISION_MEASURE_FUNC_H
