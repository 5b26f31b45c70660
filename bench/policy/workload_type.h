/** @file workload_type.h Requests, engines and disturbances of one simulated run. */
#ifndef POLLENSTALL_BENCH_POLICY_WORKLOAD_TYPE_H
#define POLLENSTALL_BENCH_POLICY_WORKLOAD_TYPE_H

#include "declaration/declaration_type.h"
#include "scheduling/scheduling.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall::bench {

/// One request of a caller.
struct sim_request {
  double Arrived{0};          ///< Seconds from the start of the run.
  double TimeLimitSeconds{0}; ///< Time limit in seconds.
  std::size_t Entry{0};
  std::size_t Account{0};
  length_class Class{length_class::Short};
  std::int64_t Prompt{0};
  std::int64_t Answer{0};
  std::int64_t AnswerLimit{0};
  std::uint64_t Prefix{0}; ///< Requests with the same value share their first PrefixTokens tokens.
  std::int64_t PrefixTokens{0};
};

/// Parameters of the engine model. The values are assumptions, not measurements of a real engine.
struct engine_settings {
  double BaseSeconds{0.010};       ///< Base time of each step.
  double PrefillSeconds{0.0001};   ///< Time per prompt token in a step.
  double DecodeSeconds{0.0002};    ///< Time per decoding sequence in a step.
  std::int64_t ChunkTokens{2'048}; ///< Maximum number of prompt tokens per step.
  std::int64_t MemoryTokens{450'000};
  std::int64_t BlockTokens{16};
  std::size_t MaxRunning{256};
  std::int64_t CacheTokens{150'000}; ///< Size of the prefix cache, in addition to MemoryTokens.
  bool Priorities{true};
};

/// Loss or slowdown of an engine from StartSeconds on.
struct disturbance {
  double StartSeconds{0};
  std::size_t Engine{0};
  bool Lost{false};
  double Slowdown{1.0}; ///< Factor applied to the time of each step.
};

/// Parameters of one run.
struct run_settings {
  std::string Scenario;
  std::uint64_t Seed{1};
  std::size_t Engines{18};
  std::size_t Entries{8};
  double Seconds{300};
  double WarmUp{30};      ///< Requests that arrive before this time are not counted.
  double CountUntil{1e9}; ///< Requests that arrive later only sustain the load and are not counted.
  double Load{0.8};       ///< Fraction of the fleet's capacity for the mix with long prompts.
  bool LongWork{true};
  bool Bursts{false};
  bool EqualAccounts{false};
  double FloodFactor{1.0}; ///< Request rate of account 0 relative to an equal share.
  double ReportLag{0.2};
  double ReportInterval{0.1};
  engine_settings Engine;
  policy_declaration Policy;
  std::vector<disturbance> Disturbances;
};

constexpr std::size_t AccountCount = 10;

/**
 * Returns the engine seconds of a request on an engine that always has prefill work. Decoding then
 * shares steps whose base time is attributed to prefill chunks. Only cache hits can raise
 * throughput above load 1 of this measure.
 */
double engineSeconds(const engine_settings &Engine, std::int64_t Prompt, std::int64_t Answer);

/// Returns the requests of a run in arrival order. They do not depend on the policy.
std::vector<sim_request> makeWorkload(const run_settings &Run);

/// Returns the declaration for the scheduler.
fleet_declaration makeDeclaration(const run_settings &Run);

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_POLICY_WORKLOAD_TYPE_H
