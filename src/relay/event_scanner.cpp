/** @file event_scanner.cpp Ids and the end marker of server-sent event streams. */
#include "relay/event_scanner_base.h"

namespace pollenstall {

namespace {

constexpr std::string_view EndMark = "[DONE]";
constexpr std::string_view UsageKey = "\"usage\":{";
constexpr std::string_view SpacedUsageKey = "\"usage\": {";

bool namesUsage(std::string_view Data) {
  return Data.find(UsageKey) != std::string_view::npos ||
         Data.find(SpacedUsageKey) != std::string_view::npos;
}

} // namespace

result<bool, event_stream_error> event_scanner::addEvent(std::string_view Event) {
  const event_fields Fields = readEvent(Event);
  if (!Fields.HasData)
    return false; // A comment; engines send them to keep a connection open.
  const auto Id = eventIdFrom(Fields.Id);
  if (!Id)
    return event_stream_error::IdMissing;
  if (*Id != Last + 1)
    return event_stream_error::IdGap;
  Last = *Id;
  if (Fields.Data == EndMark) {
    Ended = true;
    return false;
  }
  if (namesUsage(Fields.Data))
    Usage = Fields.Data;
  return true;
}

result<event_scan, event_stream_error> event_scanner::scan(std::string_view Bytes) {
  event_scan Found;
  while (Found.WholeBytes < Bytes.size()) {
    if (Ended)
      return event_stream_error::AfterEnd;
    const std::string_view Remaining = Bytes.substr(Found.WholeBytes);
    const auto End = Ends.next(Remaining);
    if (!End)
      break;
    const auto HasToken = addEvent(Remaining.substr(0, *End));
    if (!succeeded(HasToken))
      return errorOf(HasToken);
    Found.Events += valueOf(HasToken) ? 1 : 0;
    Found.WholeBytes += *End;
  }
  return Found;
}

} // namespace pollenstall
