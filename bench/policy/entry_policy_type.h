/** @file entry_policy_type.h The hooks by which a simulated entry asks its routing policy. */
#ifndef POLLENSTALL_BENCH_POLICY_ENTRY_POLICY_TYPE_H
#define POLLENSTALL_BENCH_POLICY_ENTRY_POLICY_TYPE_H

#include "workload_type.h"

#include <functional>
#include <optional>
#include <string>

namespace pollenstall::bench {

/// One entry's policy; the calls are those of scheduler.
struct entry_policy {
  std::function<std::variant<done, work_refusal>(const work_item &, mono_time)> Submit;
  std::function<poll_outcome(mono_time)> Poll;
  std::function<std::optional<mono_time>()> NextWake;
  std::function<void(const backend_view &, mono_time)> View;
  std::function<void(request_number)> Withdraw;
  std::function<void(const attempt_id &, const work_item &, const backend_key &, mono_time)>
      Started;
  std::function<void(const attempt_id &, mono_time)> Answering;
  std::function<void(const attempt_id &, std::uint64_t, mono_time)> Advanced;
  std::function<void(const attempt_id &, const attempt_report &, mono_time)> Ended;
};

/// Makes the policy of the entry with that number.
using policy_maker = std::function<entry_policy(const run_settings &, std::size_t)>;

/// A policy by name.
struct named_policy {
  std::string Name;
  policy_maker Make;
};

/// @return The project's own scheduler.
named_policy ownPolicy();
/// @return Random, round robin, least outstanding, power of two choices.
std::vector<named_policy> baselinePolicies();

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_POLICY_ENTRY_POLICY_TYPE_H
