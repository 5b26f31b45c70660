/** @file call_record_type.h What is logged of a call at its end; never its key or prompt. */
#ifndef POLLENSTALL_RELAY_CALL_RECORD_TYPE_H
#define POLLENSTALL_RELAY_CALL_RECORD_TYPE_H

#include "dispatch/dispatch_type.h"

#include <chrono>
#include <optional>
#include <string>

namespace pollenstall {

/// One ended call.
struct call_record {
  std::string RequestId;
  std::string SendName; ///< The caller's own name for it; empty where it gave none.
  std::string Account;  ///< Empty where the key was not known.
  std::string Service;
  std::string Backend; ///< Of the last attempt; empty where there was none.
  std::string Attempt; ///< The last one.
  final_outcome Outcome{final_outcome::NotRun};
  std::string Reason; ///< The error's code, "none" for a complete answer.
  std::string Field;  ///< What was wrong in a refused call.
  tokens Prompt;
  std::chrono::milliseconds Took{0};
  /// From its arrival until the first byte of the last attempt was handed to the kernel; empty
  /// where nothing was sent.
  std::optional<std::chrono::milliseconds> SentAfter;
  std::optional<std::chrono::milliseconds> FirstByteAfter;
  /// Between two events as they were passed on; empty where there were fewer than two.
  std::optional<std::chrono::milliseconds> LongestGap;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_RECORD_TYPE_H
