/** @file dispatcher_callbacks_type.h Callbacks from the dispatcher to the scheduler, the selectors
 * and membership.
 */
#ifndef POLLENSTALL_DISPATCH_DISPATCHER_CALLBACKS_TYPE_H
#define POLLENSTALL_DISPATCH_DISPATCHER_CALLBACKS_TYPE_H

#include "dispatch/dispatch_type.h"
#include "scheduling/scheduling_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace pollenstall {

/// An attempt that was started at the backend server that the scheduler chose.
struct started_attempt {
  attempt_id Attempt;
  backend_key Backend;
  request_number Request;
};

/// Why an attempt no longer holds resources at its backend server.
enum class attempt_end : std::uint8_t {
  Completed,   ///< The answer was complete.
  Failed,      ///< The attempt failed; see attempt_result::Failure.
  Cancelled,   ///< The backend server confirmed a cancel.
  BackendGone, ///< The backend server's incarnation ended, which freed its memory.
};

/// The end of an attempt, as it is reported to the scheduler and the outlier detection.
struct attempt_result {
  attempt_id Attempt;
  backend_key Backend;
  attempt_end End{attempt_end::Completed};
  std::optional<attempt_failure> Failure; ///< Set if the attempt failed, now or before a cancel.
  std::optional<tokens> PromptTokens;
  std::optional<tokens> AnswerTokens;
  std::optional<tokens> CachedTokens;
  backend_address AtFault{}; ///< As in attempt_failed.
  bool ServerError{false};   ///< As in attempt_completed.
};

/// Whether a further attempt of a request may start.
enum class retry_verdict : std::uint8_t {
  Started, ///< The budget paid for it.
  Unsent,  ///< No earlier attempt was sent, so nothing was withdrawn.
  Refused, ///< The budget has no retry left.
};

/// @return "started", "unsent" or "refused", for logs and metrics.
constexpr const char *retryVerdictText(retry_verdict Verdict) {
  switch (Verdict) {
  case retry_verdict::Started:
    return "started";
  case retry_verdict::Unsent:
    return "unsent";
  case retry_verdict::Refused:
    break;
  }
  return "refused";
}

/// A decision on a further attempt of a request.
struct retry_decision {
  attempt_id After;     ///< The last attempt before it.
  service_name Service; ///< Whose budget pays for the attempt.
  retry_verdict Verdict{retry_verdict::Refused};
  double Left{0}; ///< Retries that may still start, as of this decision.
};

/**
 * Callbacks from the dispatcher to the other components of the entry. All of them run on the
 * dispatcher's thread. Submit and GroupsFor are required; the others need not be set.
 */
struct dispatcher_callbacks {
  /// Queues the work of one attempt, or returns why it is refused.
  std::function<result<done, work_refusal>(const work_item &, mono_time)> Submit;
  /// Removes work that is queued, or that was placed although its attempt was not started.
  std::function<void(request_number)> Withdraw;
  std::function<void(const started_attempt &, mono_time)> AttemptStarted;
  std::function<void(const attempt_id &, mono_time)> AttemptAnswering;
  std::function<void(const attempt_id &, std::uint64_t Events, mono_time)> AttemptAdvanced;
  /// The attempt was abandoned; the second argument is its failure, or empty if it did not fail.
  /// Its memory counts as used until AttemptEnded.
  std::function<void(const attempt_id &, std::optional<attempt_failure>, mono_time)>
      AttemptAbandoned;
  /// Called exactly once for each started attempt, when its memory is free.
  std::function<void(const attempt_result &, mono_time)> AttemptEnded;
  std::function<void(const retry_decision &)> RetryDecided;
  /// Returns the groups that the selectors choose for a request; empty if no group serves it.
  std::function<std::vector<candidate_group>(const request_facts &)> GroupsFor;
  /// Returns whether the backend server can continue a broken stream at an event id. If this is not
  /// set, no backend server can.
  std::function<bool(const backend_key &)> SupportsResume;
  /// Returns after which time the queue may accept such a request again. If this is not set, 1 s is
  /// used.
  std::function<std::chrono::seconds(const request_facts &, mono_time)> RetryAfter;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_DISPATCHER_CALLBACKS_TYPE_H
