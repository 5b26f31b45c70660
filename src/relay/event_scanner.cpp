/** @file event_scanner.cpp Server-sent events: lines, ids, the end mark. */
#include "relay/event_scanner_base.h"

#include <charconv>
#include <optional>

namespace pollenstall {

namespace {

constexpr std::string_view EndMark = "[DONE]";
constexpr std::string_view UsageKey = "\"usage\":{";
constexpr std::string_view SpacedUsageKey = "\"usage\": {";

/// The fields of one event that matter here.
struct event_fields {
  std::string_view Id;
  std::string_view Data; ///< The first data line; engines write one.
  bool HasData{false};
};

/// @return The end of the event that starts the bytes (behind its blank line), or nothing.
std::optional<std::size_t> endOfEvent(std::string_view Bytes, std::size_t From) {
  for (std::size_t At = Bytes.find('\n', From); At != std::string_view::npos;
       At = Bytes.find('\n', At + 1)) {
    if (At + 1 < Bytes.size() && Bytes[At + 1] == '\n')
      return At + 2;
    if (At + 2 < Bytes.size() && Bytes[At + 1] == '\r' && Bytes[At + 2] == '\n')
      return At + 3;
  }
  return std::nullopt;
}

std::string_view valueAfter(std::string_view Line, std::size_t Colon) {
  Line.remove_prefix(Colon + 1);
  if (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  return Line;
}

void readLine(std::string_view Line, event_fields &Into) {
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  if (Line.starts_with("id:")) {
    Into.Id = valueAfter(Line, 2);
  } else if (Line.starts_with("data:") && !Into.HasData) {
    Into.Data = valueAfter(Line, 4);
    Into.HasData = true;
  }
}

event_fields readEvent(std::string_view Event) {
  event_fields Fields;
  while (!Event.empty()) {
    const std::size_t End = Event.find('\n');
    readLine(Event.substr(0, End), Fields);
    if (End == std::string_view::npos)
      break;
    Event.remove_prefix(End + 1);
  }
  return Fields;
}

std::optional<std::uint64_t> idFrom(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Error != std::errc{} || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

bool namesUsage(std::string_view Data) {
  return Data.find(UsageKey) != std::string_view::npos ||
         Data.find(SpacedUsageKey) != std::string_view::npos;
}

} // namespace

result<bool, event_stream_error> event_scanner::take(std::string_view Event) {
  const event_fields Fields = readEvent(Event);
  if (!Fields.HasData)
    return false; // A comment, as engines send to keep a connection open.
  const auto Id = idFrom(Fields.Id);
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
    const std::string_view Left = Bytes.substr(Found.WholeBytes);
    // The last three bytes searched may hold the start of the blank line.
    constexpr std::size_t Overlap = 3;
    const std::size_t From = Searched > Overlap ? Searched - Overlap : 0;
    const auto End = endOfEvent(Left, From);
    if (!End) {
      Searched = Left.size();
      break;
    }
    Searched = 0;
    const auto Taken = take(Left.substr(0, *End));
    if (!succeeded(Taken))
      return errorOf(Taken);
    Found.Events += valueOf(Taken) ? 1 : 0;
    Found.WholeBytes += *End;
  }
  return Found;
}

} // namespace pollenstall
