/** @file receive_idle_monitor_base.h Detects a control host that sends nothing. */
#ifndef POLLENSTALL_CONTROL_LINK_RECEIVE_IDLE_MONITOR_BASE_H
#define POLLENSTALL_CONTROL_LINK_RECEIVE_IDLE_MONITOR_BASE_H

#include "core/core.h"

#include <chrono>
#include <cstdint>

namespace pollenstall {

/**
 * Tracks when bytes and complete messages arrived on one connection.
 * The idle time counts from the last bytes, not from the last complete message: over a
 * network link that many entries share, a declaration may take longer than the answer timeout. If
 * entries closed the connection while a declaration arrives, all of them would start over, the
 * network link would stay full, and none of them would ever receive it. A host that is down or
 * partitioned sends no bytes, so it is detected equally fast.
 */
class receive_idle_monitor {
public:
  /// Starts over, when a connection is attempted or has opened.
  void reset(mono_time Now) {
    LastBytesAt = Now;
    LastMessageAt = Now;
    PartialBytes = 0;
  }
  /// Records received bytes, which may be part of a message only.
  void recordBytes(std::size_t Bytes, mono_time Now) {
    LastBytesAt = Now;
    PartialBytes += Bytes;
  }
  /// Records that a message is complete.
  void recordMessage(mono_time Now) { reset(Now); }

  /// @return Whether no bytes have arrived for longer than Limit.
  [[nodiscard]] bool isIdleLongerThan(mono_time Now, mono_duration Limit) const {
    return Now - LastBytesAt > Limit;
  }
  /// @return Bytes received of an incomplete message.
  [[nodiscard]] std::uint64_t partialMessageBytes() const { return PartialBytes; }
  [[nodiscard]] std::chrono::milliseconds sinceLastMessage(mono_time Now) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Now - LastMessageAt);
  }

private:
  mono_time LastBytesAt{};
  mono_time LastMessageAt{};
  std::uint64_t PartialBytes{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_RECEIVE_IDLE_MONITOR_BASE_H
