/** @file send_limiter_base.h Limits the declarations in flight to entries. */
#ifndef POLLENSTALL_CONTROL_SEND_LIMITER_BASE_H
#define POLLENSTALL_CONTROL_SEND_LIMITER_BASE_H

#include "core/core.h"
#include "entry_listener_base.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace pollenstall {

/**
 * Texts for all entries share the link with heartbeats and leases. If all were sent at once, they
 * would delay heartbeats until followers start an election, and each text would be complete only
 * when all are. So only a few are in flight, and the next is sent when one has arrived: the first
 * entries act on a change while the last still wait for it, and heartbeats find the link free.
 */
class send_limiter {
public:
  /// @param MaxBytes No text is sent while this many bytes are in flight. A larger text is sent if
  /// nothing is in flight.
  explicit send_limiter(std::size_t MaxBytes) : MaxTextBytesInFlight(MaxBytes) {}

  [[nodiscard]] bool hasRoom() const { return Bytes < MaxTextBytesInFlight; }

  void sendStarted(connection_number To, std::size_t Size, mono_time Now) {
    sendFinished(To);
    InFlight.emplace(To, in_flight_text{Size, Now});
    Bytes += Size;
  }

  /// Records that the text has arrived or that the connection is closed.
  void sendFinished(connection_number To) {
    const auto Found = InFlight.find(To);
    if (Found == InFlight.end())
      return;
    Bytes -= Found->second.Size;
    InFlight.erase(Found);
  }

  /// Removes texts that have timed out, so that a frozen or partitioned entry does not delay
  /// others: the bytes that it does not receive are in its connection's buffers, not on the link.
  void expireOverdue(mono_time Now) {
    std::erase_if(InFlight, [&](const auto &Text) {
      const bool Overdue = Now - Text.second.Since >= SendTimeout;
      Bytes -= Overdue ? Text.second.Size : 0;
      return Overdue;
    });
  }

  void clear() {
    InFlight.clear();
    Bytes = 0;
  }

private:
  /// Several times the transfer time of a compressed text of 3,000 routes at 20 Mbit/s.
  static constexpr std::chrono::milliseconds SendTimeout{500};

  struct in_flight_text {
    std::size_t Size{0};
    mono_time Since;
  };

  std::size_t MaxTextBytesInFlight;
  std::size_t Bytes{0};
  std::map<connection_number, in_flight_text> InFlight;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_SEND_LIMITER_BASE_H
