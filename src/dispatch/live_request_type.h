/** @file live_request_type.h The dispatcher's state of a request until its final answer. */
#ifndef POLLENSTALL_DISPATCH_LIVE_REQUEST_TYPE_H
#define POLLENSTALL_DISPATCH_LIVE_REQUEST_TYPE_H

#include "dispatch/attempt_base.h"
#include "dispatch/dispatch_dump_type.h"
#include "dispatch/dispatch_type.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// Progress of the claim on the request's key.
enum class claim_progress : std::uint8_t {
  NotNeeded, ///< The request is idempotent or has no key.
  Needed,    ///< Not requested yet.
  Requested,
  Granted,
  OwnedByOther, ///< The claim belongs to another request, running or complete; do not settle it.
};

/// The attempt that a request is waiting for.
struct running_attempt {
  attempt_id Id;
  backend_key Backend;
  attempt_lifecycle Lifecycle;
  mono_time FirstByteBy;             ///< When the attempt counts as slow if no byte was received.
  std::uint32_t Resumes{0};          ///< How many times the attempt was resumed.
  std::optional<mono_time> ResumeAt; ///< Time of the next resume, if one is scheduled.
  bool BackendGone{false};           ///< The backend server's incarnation ended; no cancel needed.
  attempt_failure SilenceCause{attempt_failure::TimedOut}; ///< As in attempt_silent.
  std::optional<service_name> PaidBy{}; ///< The service whose budget paid for a retry.
};

/// @return The service whose budget is to pay for the next retry of a request.
inline const service_name &budgetService(const request_facts &Facts) {
  return Facts.Services.empty() ? Facts.Service : Facts.Services.front().first;
}

/// A request from its arrival to its final answer.
struct live_request {
  request_facts Facts;
  request_phase Phase{request_phase::Claiming};
  claim_progress Claim{claim_progress::NotNeeded};
  std::string ClaimKey;
  std::chrono::milliseconds ClaimLifetime{0};
  mono_time ClaimDeadline;
  std::uint32_t Attempts{0};
  std::uint32_t UnsentAttempts{0}; ///< Attempts of which no byte can have reached a server.
  bool PartlyAnswered{false};      ///< The caller has part of the answer of a broken attempt.
  mono_time RetryBy{};             ///< How long to wait for a loan in phase AwaitingRetry.
  bool RetryQueued{false};         ///< A retry is queued; the budget pays when it starts.
  bool MayHaveRun{false};          ///< An ended attempt may have started the work.
  std::vector<backend_key> TriedBackends;
  std::optional<running_attempt> CurrentAttempt;
  /// Earlier attempts that fell silent and are still connected. The first attempt that goes on
  /// answering is kept, and the others are abandoned.
  std::vector<running_attempt> SilentAttempts{};

  /// @return Whether any attempt, including those still running, may have started the work.
  [[nodiscard]] bool mayHaveRun() const {
    return MayHaveRun || CurrentAttempt.has_value() || !SilentAttempts.empty();
  }
  /// @return Whether another request with the same key may have run; only a granted claim rules
  /// this out.
  [[nodiscard]] bool earlierRequestMayHaveRun() const {
    return Claim != claim_progress::NotNeeded && Claim != claim_progress::Granted;
  }
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_LIVE_REQUEST_TYPE_H
