/** @file entry_policy_type.h Interface between a simulated entry and its routing policy. */
#ifndef POLLENSTALL_BENCH_POLICY_ENTRY_POLICY_TYPE_H
#define POLLENSTALL_BENCH_POLICY_ENTRY_POLICY_TYPE_H

#include "workload_type.h"

#include <functional>
#include <optional>
#include <string>

namespace pollenstall::bench {

/// Callbacks of one entry's policy; they correspond to the functions of scheduler.
struct entry_policy {
  std::function<std::variant<done, work_refusal>(const work_item &, mono_time)> Submit;
  std::function<poll_outcome(mono_time)> Poll;
  std::function<std::optional<mono_time>()> NextWake;
  std::function<void(const backend_view &, mono_time)> UpdateBackend;
  std::function<void(request_number)> Withdraw;
  std::function<void(const attempt_id &, const work_item &, const backend_key &, mono_time)>
      Started;
  std::function<void(const attempt_id &, mono_time)> AnswerStarted;
  std::function<void(const attempt_id &, std::uint64_t, mono_time)> Progressed;
  std::function<void(const attempt_id &, const attempt_report &, mono_time)> Ended;
};

/// Creates the policy of the entry with the given index.
using policy_maker = std::function<entry_policy(const run_settings &, std::size_t)>;

/// A named policy.
struct routing_policy {
  std::string Name;
  policy_maker Make;
};

/// Returns the policy that uses pollenstall's scheduler.
routing_policy schedulerPolicy();
/// Returns the baselines random, round robin, least outstanding and power of two choices.
std::vector<routing_policy> baselinePolicies();

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_POLICY_ENTRY_POLICY_TYPE_H
