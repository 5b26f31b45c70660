/** @file fault_type.h Faults of the stand-in, switched on by settings or while it runs. */
#ifndef POLLENSTALL_FAKE_BACKEND_FAULT_TYPE_H
#define POLLENSTALL_FAKE_BACKEND_FAULT_TYPE_H

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// Faults still to come; each "next" counts down as it strikes.
struct fault_plan {
  std::optional<std::int64_t> DieAfterEvents; ///< Events of all streams, then the process ends.
  std::string DieOnPrompt; ///< The process ends when it begins a body with this text; empty: none.
  std::optional<std::int64_t> CutAfterEvents; ///< The next stream breaks after so many events.
  std::int64_t FreezeMs{0};                   ///< The process stands still once, as if stopped.
  double SlowFactor{1.0};                     ///< Stretches every step.
  bool RefuseConnections{false};              ///< The port is closed.
  std::int64_t LateMs{0};                     ///< Every answer begins so much later.
  std::int64_t DeclineNext{0};
  std::int64_t ErrorNext{0};        ///< 500 after the work was started.
  std::int64_t WrongAttemptNext{0}; ///< The answer names another attempt.
  std::int64_t HalfAnswerNext{0};   ///< Whole answers that break in the middle.
  std::int64_t NoDoneNext{0};       ///< Streams that end in order, but without [DONE].
  std::int64_t DropCancelNext{0};   ///< Cancels whose connection breaks without effect.
};

/// Why faults were refused.
struct fault_error {
  std::string Message;
};

/// Applies a JSON object of faults; keys that are absent stay as they are, null takes one back.
result<done, fault_error> applyFaults(fault_plan &Plan, std::string_view Json);

/// Counts a fault down. @return Whether it strikes now.
inline bool strikes(std::int64_t &Remaining) {
  if (Remaining <= 0)
    return false;
  --Remaining;
  return true;
}

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_FAULT_TYPE_H
