/** @file call_record_type.h The log records of ended calls, of broken answers and of memory holds;
 * they never contain the key or the prompt. */
#ifndef POLLENSTALL_RELAY_CALL_RECORD_TYPE_H
#define POLLENSTALL_RELAY_CALL_RECORD_TYPE_H

#include "dispatch/dispatch_type.h"
#include "relay/answer_end_type.h"

#include <chrono>
#include <optional>
#include <string>

namespace pollenstall {

/// Why the memory holds of an attempt were released.
enum class hold_end : std::uint8_t {
  NotAcquired,  ///< A holder refused or did not answer, or the attempt ended meanwhile.
  AttemptEnded, ///< The request has its answer, or its attempt failed or was given up.
  Unused,       ///< No request used the memory for too long.
  ServerSilent, ///< The server that was to answer responded to nothing.
};

/// An answer that its server broke off.
struct broken_answer {
  attempt_id Attempt;
  backend_key Backend;
  answer_progress Progress;
  answer_end_reason Reason{answer_end_reason::None};
  std::uint64_t LastEvent{0}; ///< Id of the last event that the caller has.
  bool CallerHasPart{false};  ///< The head or more of the answer was relayed.
};

/// The memory that engines held for one attempt, once it is no longer renewed.
struct hold_record {
  attempt_id Attempt;
  backend_key Backend; ///< The server that was to answer.
  std::size_t Holders{0};
  tokens Amount;                        ///< Held by all holders together.
  std::chrono::milliseconds HeldFor{0}; ///< From the first order to the release.
  /// From the first order until a request was known to use the memory; empty if none was.
  std::optional<std::chrono::milliseconds> UsedAfter;
  /// Until the release, since a request was last known to use the memory.
  std::chrono::milliseconds UnusedFor{0};
  std::size_t Renewals{0};
  std::size_t Questions{0}; ///< To holders, whether a request uses the memory.
  hold_end End{hold_end::AttemptEnded};
};

/// One ended call.
struct call_record {
  std::string RequestId;
  std::string SendName; ///< The caller's own name for this request; empty if it sent none.
  std::string Account;  ///< Empty if the key is unknown.
  std::string Service;
  std::string Backend; ///< Backend server of the last attempt; empty if there was none.
  std::string Attempt; ///< The last attempt.
  std::string Peer;    ///< Entry that carried the last connection; empty if it was direct.
  /// How long the last connection took to be made; empty if none was.
  std::optional<std::chrono::milliseconds> ConnectTook;
  final_outcome Outcome{final_outcome::NotRun};
  std::string Reason; ///< The error code, "none" for a complete answer.
  std::string Field;  ///< The invalid field of a refused call.
  tokens Prompt;
  std::chrono::milliseconds Took{0};
  /// From arrival until the first byte of the last attempt was passed to the kernel; empty if
  /// nothing was sent.
  std::optional<std::chrono::milliseconds> SentAfter;
  std::optional<std::chrono::milliseconds> FirstByteAfter;
  /// Longest gap between two relayed events; empty if there were fewer than two.
  std::optional<std::chrono::milliseconds> LongestGap;
  std::optional<answer_progress> LastAnswer; ///< Of the last attempt whose answer began.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_RECORD_TYPE_H
