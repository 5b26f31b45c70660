/** @file event_text_func.h Splits server-sent events and reads their fields. */
#ifndef POLLENSTALL_RELAY_EVENT_TEXT_FUNC_H
#define POLLENSTALL_RELAY_EVENT_TEXT_FUNC_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pollenstall {

/// The fields of one event that the relay uses.
struct event_fields {
  std::string_view Id;
  std::string_view Data; ///< The first data line; engines write only one.
  bool HasData{false};
};

/// Finds the ends of events in bytes that grow at the end, without searching any byte twice.
class event_end_finder {
public:
  /// @param Remaining The bytes received after the last event that was found.
  /// Returns the offset after the blank line of the first event; nothing if the event is
  /// incomplete.
  std::optional<std::size_t> next(std::string_view Remaining);

private:
  std::size_t Searched{0};
};

/// Returns the fields of one complete event.
event_fields readEvent(std::string_view Event);

/// Returns the id as a number, or nothing if it is not one.
std::optional<std::uint64_t> eventIdFrom(std::string_view Text);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_EVENT_TEXT_FUNC_H
