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

/// Finds ends of events in bytes that grow at their end; what was searched is not searched again.
class event_end_finder {
public:
  /// @param Left What follows the last event that was found, as far as it has come.
  /// @return The end of its first event, behind the blank line; nothing where it is not whole.
  std::optional<std::size_t> next(std::string_view Left);

private:
  std::size_t Searched{0};
};

/// @return The fields of one whole event.
event_fields readEvent(std::string_view Event);

/// @return The number that an id is, or nothing.
std::optional<std::uint64_t> eventIdFrom(std::string_view Text);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_EVENT_TEXT_FUNC_H
