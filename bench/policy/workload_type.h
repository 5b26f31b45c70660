/** @file workload_type.h Requests, fleets and disturbances of one simulated run. */
#ifndef POLLENSTALL_BENCH_POLICY_WORKLOAD_TYPE_H
#define POLLENSTALL_BENCH_POLICY_WORKLOAD_TYPE_H

#include "declaration/declaration_type.h"
#include "scheduling/scheduling.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall::bench {

/// One caller's request.
struct sim_request {
  double Arrived{0}; ///< Seconds from the start of the run.
  double Allowed{0}; ///< Time limit in seconds.
  std::size_t Entry{0};
  std::size_t Account{0};
  length_class Class{length_class::Short};
  std::int64_t Prompt{0};
  std::int64_t Answer{0};
  std::int64_t AnswerLimit{0};
  std::uint64_t Prefix{0}; ///< Requests with the same number share their first tokens.
  std::int64_t PrefixTokens{0};
};

/// A model of an engine; the figures are assumptions, not measured on a real one.
struct engine_settings {
  double BaseSeconds{0.010};       ///< Of each step.
  double PrefillSeconds{0.0001};   ///< Per prompt token in the step.
  double DecodeSeconds{0.0002};    ///< Per sequence in the step.
  std::int64_t ChunkTokens{2'048}; ///< Prompt tokens in one step at most.
  std::int64_t MemoryTokens{450'000};
  std::int64_t BlockTokens{16};
  std::size_t MostRunning{256};
  std::int64_t CacheTokens{150'000}; ///< Of prefixes, beside the running work's memory.
  bool Priorities{true};
};

/// An engine is lost or slow from some time on.
struct disturbance {
  double At{0};
  std::size_t Engine{0};
  bool Lost{false};
  double Slowdown{1.0}; ///< Of each step, from then on.
};

/// What a run is made of.
struct run_settings {
  std::string Scenario;
  std::uint64_t Seed{1};
  std::size_t Engines{18};
  std::size_t Entries{8};
  double Seconds{300};
  double WarmUp{30};      ///< Requests that arrive earlier are not counted.
  double CountUntil{1e9}; ///< Nor those that arrive later; they keep the load up.
  double Load{0.8};       ///< Of the fleet's capacity with the whole mix.
  bool LongWork{true};
  bool Bursts{false};
  bool EqualAccounts{false};
  double FloodFactor{1.0}; ///< What account 0 sends, against an equal share.
  double ReportLag{0.2};
  double ReportInterval{0.1};
  engine_settings Engine;
  policy_declaration Policy;
  std::vector<disturbance> Disturbances;
};

constexpr std::size_t Accounts = 10;

/**
 * @return Engine seconds that a request takes on an engine that always has prefill to do: decoding
 * then shares the steps that chunks pay for. Load 1 by this measure can't be exceeded but by cache
 * hits.
 */
double engineSeconds(const engine_settings &Engine, std::int64_t Prompt, std::int64_t Answer);

/// @return The requests of a run in order of arrival; the same for every policy.
std::vector<sim_request> makeWorkload(const run_settings &Run);

/// @return The declaration that the scheduler runs under.
fleet_declaration makeDeclaration(const run_settings &Run);

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_POLICY_WORKLOAD_TYPE_H
