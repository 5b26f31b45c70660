/** @file suspect_bench_func.h The part of the bench about requests under which servers crash. */
#ifndef POLLENSTALL_BENCH_DECISION_SUSPECT_BENCH_FUNC_H
#define POLLENSTALL_BENCH_DECISION_SUSPECT_BENCH_FUNC_H

namespace pollenstall::bench {

/// Prints a JSON line for each number of suspects, and one for each length of a body.
void measureSuspects();

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_DECISION_SUSPECT_BENCH_FUNC_H
