/** @file event_scanner_base.h Finds complete events in a server-sent event stream that arrives in
 * pieces. */
#ifndef POLLENSTALL_RELAY_EVENT_SCANNER_BASE_H
#define POLLENSTALL_RELAY_EVENT_SCANNER_BASE_H

#include "core/core.h"
#include "relay/event_text_func.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstall {

/// Why a stream cannot be relayed any further.
enum class event_stream_error : std::uint8_t {
  IdMissing, ///< An event without a valid id.
  IdGap,     ///< An id that does not follow the previous one.
  AfterEnd,  ///< Bytes after "[DONE]".
};

/// What a scan found at the start of its input.
struct event_scan {
  std::size_t WholeBytes{0}; ///< Ends at an event boundary; these bytes may be relayed.
  std::uint64_t Events{
      0}; ///< Number of events with a token in WholeBytes; "[DONE]" is not counted.
};

/**
 * Checks that ids are consecutive and detects "[DONE]". Only complete events are relayed: a resume
 * could not complete half an event relayed before a break, and the caller would read two halves as
 * one event.
 */
class event_scanner {
public:
  /// @param LastId The event after which the stream resumes; 0 at its start.
  explicit event_scanner(std::uint64_t LastId = 0) : Last(LastId) {}

  /**
   * Scans bytes that begin at the start of an event. Pass the bytes after WholeBytes again together
   * with the bytes that follow; they are not searched twice for the end of an event.
   */
  result<event_scan, event_stream_error> scan(std::string_view Bytes);

  /// Returns the id of the last complete event.
  [[nodiscard]] std::uint64_t lastId() const { return Last; }
  /// Returns whether "[DONE]" was received, which means that the answer is complete.
  [[nodiscard]] bool ended() const { return Ended; }
  /// Returns the data of the last event with "usage", which has the engine's token counts.
  [[nodiscard]] const std::string &usageData() const { return Usage; }

private:
  result<bool, event_stream_error> addEvent(std::string_view Event);

  std::uint64_t Last;
  event_end_finder Ends;
  bool Ended{false};
  std::string Usage;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_EVENT_SCANNER_BASE_H
