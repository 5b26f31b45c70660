/** @file fault_type.h Faults injected into the fake backend by its settings or at run time. */
#ifndef POLLENSTALL_FAKE_BACKEND_FAULT_TYPE_H
#define POLLENSTALL_FAKE_BACKEND_FAULT_TYPE_H

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// Faults to inject. Each field that ends in Next counts the injections that remain.
struct fault_plan {
  /// The process kills itself after this many events of all streams.
  std::optional<std::int64_t> DieAfterEvents;
  std::string DieOnPrompt; ///< Kills the process at a body that contains this text; empty: off.
  std::optional<std::int64_t> CutAfterEvents; ///< The next stream breaks after this many events.
  std::int64_t FreezeMs{0};                   ///< Blocks the server thread once, as if stopped.
  double SlowFactor{1.0};                     ///< Factor applied to the time of each step.
  bool RefuseConnections{false};              ///< Closes the listening port.
  std::int64_t LateMs{0};                     ///< Delay of every answer.
  std::int64_t DeclineNext{0};
  std::int64_t PauseSeconds{0};     ///< Stated by answers that decline a request; 0: none is.
  std::int64_t ErrorNext{0};        ///< Responses with status 500 after the work has started.
  std::int64_t WrongAttemptNext{0}; ///< Answers that name another attempt.
  std::int64_t HalfAnswerNext{0};   ///< Unstreamed answers that break in the middle.
  std::int64_t NoDoneNext{0};       ///< Streams that end cleanly, but without [DONE].
  std::int64_t DropCancelNext{0};   ///< Cancels that have no effect and whose connection breaks.
};

/// The reason why a fault plan was rejected.
struct fault_error {
  std::string Message;
};

/// Applies a JSON object of faults. Absent keys stay unchanged; null clears an optional fault. If a
/// key or a value is invalid, the plan stays unchanged.
result<done, fault_error> applyFaults(fault_plan &Plan, std::string_view Json);

/// Decrements a fault's counter if it is above 0. @return Whether to inject the fault now.
inline bool consumeFault(std::int64_t &Remaining) {
  if (Remaining <= 0)
    return false;
  --Remaining;
  return true;
}

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_FAULT_TYPE_H
