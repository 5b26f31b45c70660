/** @file measure_func.h Measures thread CPU time and heap memory of code without I/O. */
#ifndef POLLENSTALL_BENCH_DECISION_MEASURE_FUNC_H
#define POLLENSTALL_BENCH_DECISION_MEASURE_FUNC_H

#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <ctime>
#include <functional>
#include <vector>

namespace pollenstall::bench {

/// Each cost is the minimum over these rounds, as other processes share the CPU.
constexpr int Rounds = 5;

/// Returns the CPU time of the calling thread in microseconds.
inline double cpuMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 + static_cast<double>(Time.tv_nsec) / 1e3;
}

/// Returns the heap bytes in use, including large blocks that are allocated with mmap.
inline double heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/// Returns the minimum CPU time per call in microseconds over Rounds rounds of Count calls each.
inline double cpuPerCall(std::size_t Count, const std::function<void()> &Call) {
  double LowestCost = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    const double Before = cpuMicroseconds();
    for (std::size_t CallIndex = 0; CallIndex < Count; ++CallIndex)
      Call();
    const double Cost = (cpuMicroseconds() - Before) / static_cast<double>(Count);
    LowestCost = Round == 0 ? Cost : std::min(LowestCost, Cost);
  }
  return LowestCost;
}

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_DECISION_MEASURE_FUNC_H
