/** @file suspect_bench_func.h Benchmark of the handling of requests that are suspected of
 * crashing servers. */
#ifndef POLLENSTALL_BENCH_DECISION_SUSPECT_BENCH_FUNC_H
#define POLLENSTALL_BENCH_DECISION_SUSPECT_BENCH_FUNC_H

namespace pollenstall::bench {

/// Prints a JSON line for each number of suspects, for each body length and for the suspect table.
void measureSuspects();

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_DECISION_SUSPECT_BENCH_FUNC_H
