/** @file open_event_scanner_base.h Finds complete events in a stream that ends with its HTTP
 * message. */
#ifndef POLLENSTALL_RELAY_OPEN_EVENT_SCANNER_BASE_H
#define POLLENSTALL_RELAY_OPEN_EVENT_SCANNER_BASE_H

#include "core/core.h"
#include "relay/event_scanner_base.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstall {

/// What a scan found at the start of its input.
struct open_event_scan {
  std::string Ready;       ///< Complete events that the caller does not have yet.
  std::size_t Consumed{0}; ///< Bytes consumed; they must not be passed again.
  std::uint64_t Events{0}; ///< Number of events with data in Ready, with or without an id.
};

/**
 * Ids increase by one; the stream has no end marker. Events without an id are relayed unchanged.
 */
class open_event_scanner {
public:
  /// @param LastId The last event that the caller has; 0 at the start.
  explicit open_event_scanner(std::uint64_t LastId) : Last(LastId) {}

  result<open_event_scan, event_stream_error> scan(std::string_view Bytes);
  /// Returns the id of the last complete event.
  [[nodiscard]] std::uint64_t lastId() const { return Last; }
  /// Returns the number of bytes of an unfinished event in the last scan. Line ends alone begin no
  /// event.
  [[nodiscard]] std::size_t unfinishedBytes() const { return Unfinished; }

private:
  result<bool, event_stream_error> isNew(const event_fields &Fields);

  event_end_finder Ends;
  std::uint64_t Last;
  std::size_t Unfinished{0};
  bool HasSeenId{false}; ///< This engine has sent an event with an id.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_OPEN_EVENT_SCANNER_BASE_H
