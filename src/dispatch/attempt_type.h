/** @file attempt_type.h States of an attempt and the transitions between them. */
#ifndef POLLENSTALL_DISPATCH_ATTEMPT_TYPE_H
#define POLLENSTALL_DISPATCH_ATTEMPT_TYPE_H

#include <cstdint>

namespace pollenstall {

/// The state of one attempt, as known to this entry.
enum class attempt_state : std::uint8_t {
  Waiting,    ///< Not started.
  Connecting, ///< The start was requested; no byte is known to have been sent.
  Sent,       ///< The first byte of the request may have been sent.
  Answering,  ///< Part of the answer was relayed.
  Resuming,   ///< The answer broke off, and the same server is asked to continue it.
  Completed,  ///< The complete answer was relayed. Final.
  Failed,     ///< The attempt failed, and the backend server holds no resources of it. Final.
  Cancelling, ///< Abandoned by this entry; the backend server may still run it.
  Gone,       ///< The cancel was confirmed, or the server's incarnation ended. Final.
};

/// Events of the attempt's state machine.
enum class attempt_step : std::uint8_t {
  Start,
  Sending,
  Answering,
  Advance,
  Complete,
  Fail, ///< The attempt failed, and the backend server holds no resources of it.
  Resume,
  Cancel,
  Confirm, ///< The backend server confirmed the cancel.
  BackendGone,
};

/// @return Whether the attempt no longer holds resources at its backend server.
constexpr bool isFinal(attempt_state State) {
  return State == attempt_state::Completed || State == attempt_state::Failed ||
         State == attempt_state::Gone;
}

/// @return Whether the attempt is in the middle of its answer: part of the answer was relayed, and
/// the attempt has not ended.
constexpr bool isMidAnswer(attempt_state State) {
  return State == attempt_state::Answering || State == attempt_state::Resuming;
}

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_ATTEMPT_TYPE_H
