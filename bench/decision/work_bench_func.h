/** @file work_bench_func.h Benchmark of the exchange of work reports between entries. */
#ifndef POLLENSTALL_BENCH_DECISION_WORK_BENCH_FUNC_H
#define POLLENSTALL_BENCH_DECISION_WORK_BENCH_FUNC_H

namespace pollenstall::bench {

/// Prints a JSON line for each number of entries and engines.
void measureWorkExchange();

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_DECISION_WORK_BENCH_FUNC_H
