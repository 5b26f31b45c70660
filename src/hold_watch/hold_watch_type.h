/** @file hold_watch_type.h Limits of memory holds, and what is known of their use. */
#ifndef POLLENSTALL_HOLD_WATCH_HOLD_WATCH_TYPE_H
#define POLLENSTALL_HOLD_WATCH_HOLD_WATCH_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstdint>

namespace pollenstall {

/// How long engines may hold memory that no request uses.
struct hold_limits {
  std::chrono::milliseconds MaxUnused{9'000};  ///< From the first order until a request uses it.
  std::chrono::milliseconds MaxRelease{4'000}; ///< After the last request that used it has ended.

  /// @return How long one order holds the memory. A hold that is no longer renewed thus ends in
  /// time although its release may be lost.
  [[nodiscard]] std::chrono::milliseconds lifetime() const;
  /// @return Time between two renewals, so short that two in a row may be lost.
  [[nodiscard]] std::chrono::milliseconds renewInterval() const;
  /// @return How long an engine may take to answer a question.
  [[nodiscard]] std::chrono::milliseconds questionTimeout() const;
};

/// What an engine reports of a memory hold.
enum class hold_state : std::uint8_t {
  Unknown, ///< It did not answer, or does not report holds.
  Unused,  ///< No request uses the memory, or the engine does not hold it.
  Used,
};

/// Whether the memory of an attempt is still to be held.
enum class hold_verdict : std::uint8_t {
  Keep,
  Unused,       ///< No request has used the memory for too long.
  ServerSilent, ///< The server that is to answer responds to nothing.
};

} // namespace pollenstall

#endif // POLLENSTALL_HOLD_WATCH_HOLD_WATCH_TYPE_H
