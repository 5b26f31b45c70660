/** @file scheduling_type.h Work items, placements and reports between dispatcher and scheduler. */
#ifndef POLLENSTALL_SCHEDULING_SCHEDULING_TYPE_H
#define POLLENSTALL_SCHEDULING_SCHEDULING_TYPE_H

#include "dispatch/dispatch_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

/// Classes of prompt length; the declared policy sets their bounds.
enum class length_class : std::uint8_t { Short, Medium, Long };

/// A group that may serve a waiting request, as determined by the selectors. For placer, Group is
/// the name of a service.
struct candidate_group {
  group_name Group;
  std::uint32_t Weight{1};
};

/// Work of one attempt that waits for a backend server.
struct work_item {
  request_number Request;
  client_account_name Account;
  service_name Service;
  model_name Model;
  std::vector<candidate_group> Groups;
  tokens Prompt;
  tokens AnswerLimit;
  std::vector<std::uint64_t> PrefixHashes;
  std::vector<backend_key> Avoid; ///< Servers tried before; used again only if there is no other.
  mono_time Arrived;
  mono_time Deadline;
  std::uint32_t Urgency{0};                ///< Declared priority; lower values are placed first.
  std::chrono::milliseconds Target{0};     ///< Time to the first event; 0 if none is declared.
  std::chrono::milliseconds LongestGap{0}; ///< Maximum between two events; 0 if none is declared.
  /// Time without an event after which the caller leaves; 0 if only its deadline counts.
  std::chrono::milliseconds Patience{0};
  /// Time limit of the route. A caller that states a shorter one may have been refused before.
  std::chrono::milliseconds TimeLimit{0};
  tokens AnswerHint{}; ///< The caller's estimate of the answer; 0 if it sent none.
  bool Resumed{false}; ///< The caller has received a part of the answer and waits for the rest.
};

/// Why the scheduler refuses work, and when the caller may retry.
struct work_refusal {
  failure_reason Reason{failure_reason::QueueFull};
  std::optional<std::chrono::seconds> RetryAfter;
};

/// Decision to run a request on a backend server.
struct work_placement {
  request_number Request;
  backend_key Backend;
  std::uint32_t Priority{0};
  mono_duration ExpectedFirstToken{}; ///< Expected time from now to the first token.
  std::vector<memory_hold> Holds{};   ///< Memory to reserve on some of the helpers.
  std::vector<backend_key> Helpers{}; ///< Other servers that prefill parts of the prompt.
  permit_stamp Permit{};              ///< Set if Backend states a rate limit.
  service_name Service{}; ///< Of the backend server; empty if the policy does not know services.
  mono_duration VisibleAfter{}; ///< Time until the other entries know of it; 0 if none is told.
};

/// Decision that a waiting request can no longer run in time.
struct work_expiry {
  request_number Request;
  work_refusal Refusal;
};

/// Decisions of one poll.
struct poll_outcome {
  std::vector<work_placement> Placements;
  std::vector<work_expiry> Expiries;
};

/// Result of an attempt, as the scheduler learns it.
struct attempt_report {
  bool Completed{false};
  /// Empty if the attempt completed or was cancelled. Not every failure is the server's fault.
  std::optional<attempt_failure> Failure;
  std::optional<tokens> PromptTokens; ///< Count of the engine.
  std::optional<tokens> AnswerTokens;
  std::optional<tokens> CachedTokens;
  backend_address AtFault{}; ///< Another server at fault; empty if none is named.
  bool ServerError{false};   ///< It completed with a 5xx status, which went to the caller.
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_SCHEDULING_TYPE_H
