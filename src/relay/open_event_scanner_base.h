/** @file open_event_scanner_base.h Finds whole events in a stream whose end is that of its message.
 */
#ifndef POLLENSTALL_RELAY_OPEN_EVENT_SCANNER_BASE_H
#define POLLENSTALL_RELAY_OPEN_EVENT_SCANNER_BASE_H

#include "core/core.h"
#include "relay/event_scanner_base.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstall {

/// What a scan found at the start of the bytes it was given.
struct open_event_scan {
  std::string Ready;       ///< Whole events that the caller does not have yet.
  std::size_t Taken{0};    ///< Bytes that need not be given again.
  std::uint64_t Events{0}; ///< With an id, in Ready.
};

/**
 * Ids rise by one; there is no mark at the end. Events without an id are passed on as they are.
 */
class open_event_scanner {
public:
  /// @param LastId The event that the caller has; 0 at the start.
  explicit open_event_scanner(std::uint64_t LastId) : Last(LastId) {}

  /// @param AtEnd The message has ended: what is left belongs to it, event or not.
  result<open_event_scan, event_stream_error> scan(std::string_view Bytes, bool AtEnd);
  /// @return Id of the last whole event.
  [[nodiscard]] std::uint64_t lastId() const { return Last; }

private:
  result<bool, event_stream_error> isNew(std::string_view Event);

  event_end_finder Ends;
  std::uint64_t Last;
  bool Seen{false}; ///< An event with an id came from this engine.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_OPEN_EVENT_SCANNER_BASE_H
