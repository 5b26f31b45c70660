/** @file event_text_func.h Where server-sent events end, and what their lines say. */
#ifndef POLLENSTALL_RELAY_EVENT_TEXT_FUNC_H
#define POLLENSTALL_RELAY_EVENT_TEXT_FUNC_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pollenstall {

/// The fields of one event that matter here.
struct event_fields {
  std::string_view Id;
  std::string_view Data; ///< The first data line; engines write one.
  bool HasData{false};
};

/// @param From Bytes before it were searched already.
/// @return The end of the event that starts the bytes (behind its blank line), or nothing.
std::optional<std::size_t> endOfEvent(std::string_view Bytes, std::size_t From);

/// @return The fields of one whole event.
event_fields readEvent(std::string_view Event);

/// @return The number that an id is, or nothing.
std::optional<std::uint64_t> eventIdFrom(std::string_view Text);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_EVENT_TEXT_FUNC_H
