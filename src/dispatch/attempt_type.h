/** @file attempt_type.h States of an attempt and the steps between them. */
#ifndef POLLENSTALL_DISPATCH_ATTEMPT_TYPE_H
#define POLLENSTALL_DISPATCH_ATTEMPT_TYPE_H

#include <cstdint>

namespace pollenstall {

/// Where one attempt stands, as far as this entry knows.
enum class attempt_state : std::uint8_t {
  Waiting,    ///< Not started.
  Connecting, ///< Start was ordered; no byte of the request is known to be out.
  Sent,       ///< The first byte of the request may have left.
  Answering,  ///< Part of the answer was relayed.
  Resuming,   ///< Broke midway; the same server is asked to go on.
  Completed,  ///< The whole answer was relayed. Final.
  Failed,     ///< Ended, and the backend server holds nothing of it. Final.
  Cancelling, ///< Given up here; the backend server may still run it.
  Gone,       ///< Its end is confirmed, or its backend server's life is over. Final.
};

/// What moves an attempt from state to state.
enum class attempt_step : std::uint8_t {
  Start,
  Sending,
  Answering,
  Advance,
  Complete,
  Fail, ///< Ended with nothing left at the backend server.
  Resume,
  Cancel,
  Confirm, ///< The backend server confirmed the cancel.
  BackendGone,
};

/// @return Whether the attempt holds nothing at its backend server any more.
constexpr bool isFinal(attempt_state State) {
  return State == attempt_state::Completed || State == attempt_state::Failed ||
         State == attempt_state::Gone;
}

/// @return Whether part of the answer may have reached the caller.
constexpr bool hasAnswered(attempt_state State) {
  return State == attempt_state::Answering || State == attempt_state::Resuming;
}

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_ATTEMPT_TYPE_H
