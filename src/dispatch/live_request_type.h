/** @file live_request_type.h What the dispatcher keeps of a request until its final answer. */
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

/// How far the claim on the request's key is.
enum class claim_progress : std::uint8_t {
  NotNeeded, ///< Idempotent, or without a key.
  Needed,    ///< Not asked for yet.
  Asked,
  Granted,
  HeldByOther, ///< Another send has the key; nothing of it is ours to settle.
};

/// The attempt that a request waits for.
struct running_attempt {
  attempt_id Id;
  backend_key Backend;
  attempt_lifecycle Lifecycle;
  mono_time AnswerBy;
  std::uint32_t Resumes{0};
  std::optional<mono_time> ResumeAt; ///< The next resume waits until then.
  bool BackendGone{false};           ///< The backend server's life is over; nothing to cancel.
};

/// One request between admission and its final answer.
struct live_request {
  request_facts Facts;
  request_phase Phase{request_phase::Claiming};
  claim_progress Claim{claim_progress::NotNeeded};
  std::string ClaimKey;
  std::chrono::milliseconds ClaimLifetime{0};
  mono_time ClaimBy;
  std::uint32_t Attempts{0};
  std::uint32_t Unsent{0}; ///< Of these, those of which no byte can have reached a server.
  bool Answered{false};    ///< The caller has part of the answer of an attempt that broke.
  bool MayHaveRun{false};  ///< Some ended attempt is not proved to have never started.
  std::vector<backend_key> Tried;
  std::optional<running_attempt> Current;

  /// @return Whether a backend server may have started the work, the running attempt included.
  [[nodiscard]] bool mayHaveRun() const { return MayHaveRun || Current.has_value(); }
  /// @return Whether sends with this key, this one excepted, may have run: the claim would tell.
  [[nodiscard]] bool standingUnknown() const {
    return Claim != claim_progress::NotNeeded && Claim != claim_progress::Granted;
  }
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_LIVE_REQUEST_TYPE_H
