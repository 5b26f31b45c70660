/** @file scheduling_type.h What the dispatcher hands to the scheduler and gets back. */
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

/// Classes of prompt length; the borders are declared by the policy.
enum class length_class : std::uint8_t { Short, Medium, Long };

/// Where a waiting request may go, worked out by the selectors.
struct candidate_group {
  group_name Group;
  std::uint32_t Weight{1};
};

/// One attempt's worth of work that waits for a backend server.
struct work_item {
  request_number Request;
  client_account_name Account;
  service_name Service;
  model_name Model;
  std::vector<candidate_group> Groups;
  tokens Prompt;
  tokens AnswerLimit;
  std::vector<std::uint64_t> PrefixHashes;
  std::vector<backend_key> Avoid; ///< Tried before; used again only where nothing else is left.
  mono_time Arrived;
  mono_time Deadline;
  std::uint32_t Urgency{0}; ///< As in request_facts, with the four below.
  std::chrono::milliseconds Target{0};
  std::chrono::milliseconds LongestGap{0};
  tokens AnswerHint{};
  bool Resumed{false}; ///< Part of the answer is out: the caller waits for the next event.
};

/// Why the scheduler takes no more work, and when it would.
struct work_refusal {
  failure_reason Reason{failure_reason::QueueFull};
  std::optional<std::chrono::seconds> RetryAfter;
};

/// A decision: this request runs there.
struct work_placement {
  request_number Request;
  backend_key Backend;
  std::uint32_t Priority{0};
  mono_duration ExpectedFirstToken{}; ///< From now.
  std::vector<memory_hold> Holds{};   ///< At some of the helpers.
  std::vector<backend_key> Helpers{}; ///< That read parts of the prompt.
};

/// A decision that a waiting request has no way to run in time any more.
struct work_expiry {
  request_number Request;
  work_refusal Refusal;
};

/// What a poll decided.
struct poll_outcome {
  std::vector<work_placement> Placements;
  std::vector<work_expiry> Expiries;
};

/// How an attempt ended, as far as the scheduler learns from it.
struct attempt_report {
  bool Completed{false};
  std::optional<attempt_failure> Failure; ///< Nothing where the server is not to blame.
  std::optional<tokens> PromptTokens;     ///< As the engine counted.
  std::optional<tokens> AnswerTokens;
  std::optional<tokens> CachedTokens;
  backend_address AtFault{}; ///< Another server that is to blame; empty where none is named.
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_SCHEDULING_TYPE_H
