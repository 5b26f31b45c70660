/** @file work_bench_func.h The part of the bench about entries' work. */
#ifndef POLLENSTALL_BENCH_DECISION_WORK_BENCH_FUNC_H
#define POLLENSTALL_BENCH_DECISION_WORK_BENCH_FUNC_H

namespace pollenstall::bench {

/// Prints a JSON line for each number of entries and engines.
void measureWork();

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_DECISION_WORK_BENCH_FUNC_H
