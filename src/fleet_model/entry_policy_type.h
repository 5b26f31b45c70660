/** @file entry_policy_type.h Interface of the placement policies of simulated entries. */
#ifndef POLLENSTALL_FLEET_MODEL_ENTRY_POLICY_TYPE_H
#define POLLENSTALL_FLEET_MODEL_ENTRY_POLICY_TYPE_H

#include "fleet_model/model_load_type.h"
#include "placement/placement.h"
#include "work_exchange/work_exchange_type.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

/// An entry's policy. Its functions correspond to those of placer.
struct model_policy {
  std::function<std::variant<done, work_refusal>(const work_item &, mono_time)> Submit;
  std::function<void(request_number)> Withdraw;
  std::function<poll_outcome(mono_time)> Poll;
  std::function<std::optional<mono_time>()> NextWake;
  std::function<void(const backend_listing &)> UpdateBackend;
  std::function<void(const attempt_id &, const work_item &, const backend_key &, mono_time)>
      AttemptStarted;
  std::function<void(const attempt_id &, mono_time)> AttemptAnswering;
  std::function<void(const attempt_id &, std::uint64_t Events, mono_time)> AttemptAdvanced;
  std::function<void(const attempt_id &, const attempt_report &, mono_time)> AttemptEnded;
  std::function<std::vector<work_load>(mono_time)> OwnLoads;
  std::function<std::vector<waiting_load>(mono_time)> OwnWaiting;
  /// Updates the changed loads of other entries and the facts about the exchange of work reports.
  std::function<void(const peer_work_update &, mono_time)> UpdatePeers;
  /// Returns the number of claims made. If it changes, the entry publishes its loads at once.
  std::function<std::uint64_t()> ClaimsMade;
};

/// Creates the policy of an entry, given its index.
using model_policy_maker =
    std::function<model_policy(const model_load &, std::size_t Entry, std::uint64_t Seed)>;

/// A named policy.
struct named_model_policy {
  std::string Name;
  model_policy_maker Make;
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_ENTRY_POLICY_TYPE_H
