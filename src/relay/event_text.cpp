/** @file event_text.cpp Lines and fields of server-sent events. */
#include "relay/event_text_func.h"

#include "core/core.h"

namespace pollenstall {

namespace {

std::string_view valueAfter(std::string_view Line, std::size_t Colon) {
  Line.remove_prefix(Colon + 1);
  if (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  return Line;
}

void readLine(std::string_view Line, event_fields &Parsed) {
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  if (Line.starts_with("id:")) {
    Parsed.Id = valueAfter(Line, 2);
  } else if (Line.starts_with("data:") && !Parsed.HasData) {
    Parsed.Data = valueAfter(Line, 4);
    Parsed.HasData = true;
  }
}

std::optional<std::size_t> findEventEnd(std::string_view Bytes, std::size_t From) {
  for (std::size_t At = Bytes.find('\n', From); At != std::string_view::npos;
       At = Bytes.find('\n', At + 1)) {
    if (At + 1 < Bytes.size() && Bytes[At + 1] == '\n')
      return At + 2;
    if (At + 2 < Bytes.size() && Bytes[At + 1] == '\r' && Bytes[At + 2] == '\n')
      return At + 3;
  }
  return std::nullopt;
}

} // namespace

std::optional<std::size_t> event_end_finder::next(std::string_view Remaining) {
  // The last three bytes searched may contain the start of the blank line.
  constexpr std::size_t Overlap = 3;
  const auto End = findEventEnd(Remaining, Searched > Overlap ? Searched - Overlap : 0);
  Searched = End ? 0 : Remaining.size();
  return End;
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

std::optional<std::uint64_t> eventIdFrom(std::string_view Text) {
  return parseNumber<std::uint64_t>(Text);
}

} // namespace pollenstall
