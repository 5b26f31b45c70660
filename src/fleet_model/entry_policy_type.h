/** @file entry_policy_type.h The hooks by which a modelled entry asks where its work is to run. */
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

/// One entry's policy; the calls are those of placer.
struct model_policy {
  std::function<std::variant<done, work_refusal>(const work_item &, mono_time)> Submit;
  std::function<void(request_number)> Withdraw;
  std::function<poll_outcome(mono_time)> Poll;
  std::function<std::optional<mono_time>()> NextWake;
  std::function<void(const backend_listing &)> UpdateBackend;
  std::function<void(const attempt_id &, const work_item &, const backend_key &, mono_time)>
      Started;
  std::function<void(const attempt_id &, mono_time)> Answering;
  std::function<void(const attempt_id &, const attempt_report &, mono_time)> Ended;
  std::function<std::vector<work_load>(mono_time)> OwnLoads;
  /// What all other entries have under way, where that changed, and how it is told.
  std::function<void(const peer_work_update &, mono_time)> TakeOthers;
  std::function<std::uint64_t()> ClaimsMade; ///< A new one is told to the others at once.
};

/// Makes the policy of the entry with that number.
using model_policy_maker =
    std::function<model_policy(const model_load &, std::size_t Entry, std::uint64_t Seed)>;

/// A policy by name.
struct named_model_policy {
  std::string Name;
  model_policy_maker Make;
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_ENTRY_POLICY_TYPE_H
