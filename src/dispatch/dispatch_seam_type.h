/** @file dispatch_seam_type.h What the dispatcher needs from the scheduler, selectors and
 * membership.
 */
#ifndef POLLENSTALL_DISPATCH_DISPATCH_SEAM_TYPE_H
#define POLLENSTALL_DISPATCH_DISPATCH_SEAM_TYPE_H

#include "dispatch/dispatch_type.h"
#include "scheduling/scheduling_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace pollenstall {

/// An attempt was ordered at the backend server that the scheduler chose.
struct attempt_start {
  attempt_id Attempt;
  backend_key Backend;
  request_number Request;
};

/// Why an attempt holds nothing at its backend server any more.
enum class attempt_end : std::uint8_t {
  Completed,   ///< Whole answer.
  Failed,      ///< Ended by itself; see Failure.
  Cancelled,   ///< The backend server confirmed a cancel.
  BackendGone, ///< The backend server's life is over, and its memory with it.
};

/// The end of an attempt, as the scheduler and the outlier detection learn it.
struct attempt_ending {
  attempt_id Attempt;
  backend_key Backend;
  attempt_end End{attempt_end::Completed};
  std::optional<attempt_failure> Failure; ///< Where the attempt had failed before, or now.
  std::optional<tokens> PromptTokens;
  std::optional<tokens> AnswerTokens;
  std::optional<tokens> CachedTokens;
  backend_address AtFault{}; ///< As in attempt_failed.
};

/**
 * Hooks to what stands around the dispatcher; all run on the dispatcher's thread.
 * Submit, GroupsFor must be set; the rest may stay empty.
 */
struct dispatch_seam {
  /// Puts one attempt's worth of work into the queue, or says why not.
  std::function<result<done, work_refusal>(const work_item &, mono_time)> Submit;
  /// Takes back work that waits, or that was placed and whose attempt was not started.
  std::function<void(request_number)> Withdraw;
  std::function<void(const attempt_start &, mono_time)> AttemptStarted;
  std::function<void(const attempt_id &, mono_time)> AttemptAnswering;
  std::function<void(const attempt_id &, std::uint64_t Events, mono_time)> AttemptAdvanced;
  /// Given up or broken; its memory counts as taken until AttemptEnded.
  std::function<void(const attempt_id &, std::optional<attempt_failure>, mono_time)>
      AttemptAbandoned;
  /// Exactly once for each started attempt, when its memory is free.
  std::function<void(const attempt_ending &, mono_time)> AttemptEnded;
  /// The selectors' answer for a request; empty where no group serves it.
  std::function<std::vector<candidate_group>(const request_facts &)> GroupsFor;
  /// Whether the backend server continues a broken stream at an event id. Empty: none does.
  std::function<bool(const backend_key &)> Resumes;
  /// When the queue may take work like this again. Empty: a second.
  std::function<std::chrono::seconds(const request_facts &, mono_time)> RetryAfter;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_DISPATCH_SEAM_TYPE_H
