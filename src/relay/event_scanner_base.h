/** @file event_scanner_base.h Finds whole events in a server-sent event stream, read by read. */
#ifndef POLLENSTALL_RELAY_EVENT_SCANNER_BASE_H
#define POLLENSTALL_RELAY_EVENT_SCANNER_BASE_H

#include "core/core.h"
#include "relay/event_text_func.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstall {

/// Why a stream cannot be relayed further.
enum class event_stream_error : std::uint8_t {
  IdMissing, ///< An event without a usable id.
  IdGap,     ///< An id that does not follow the one before it.
  AfterEnd,  ///< Bytes after "[DONE]".
};

/// What a scan found at the start of the bytes it was given.
struct event_scan {
  std::size_t WholeBytes{0}; ///< These end at the end of an event and may be relayed.
  std::uint64_t Events{0};   ///< Events with a token in WholeBytes; "[DONE]" is not counted.
};

/**
 * Checks that ids count without gaps and notices "[DONE]".
 * Only whole events are handed on: half an event relayed before a break could not be completed by a
 * resume, and the caller would read two halves as one event.
 */
class event_scanner {
public:
  /// @param LastId The event after which the stream goes on; 0 at its start.
  explicit event_scanner(std::uint64_t LastId = 0) : Last(LastId) {}

  /**
   * Scans bytes that start at the start of an event. Bytes behind WholeBytes are to be given again
   * with what follows them; they are not searched twice for the end of an event.
   */
  result<event_scan, event_stream_error> scan(std::string_view Bytes);

  /// @return Id of the last whole event.
  [[nodiscard]] std::uint64_t lastId() const { return Last; }
  /// @return Whether "[DONE]" was seen, so that the answer is whole.
  [[nodiscard]] bool ended() const { return Ended; }
  /// @return The data of the last event that carried "usage", for the engine's token counts.
  [[nodiscard]] const std::string &usageData() const { return Usage; }

private:
  result<bool, event_stream_error> take(std::string_view Event);

  std::uint64_t Last;
  event_end_finder Ends;
  bool Ended{false};
  std::string Usage;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_EVENT_SCANNER_BASE_H
