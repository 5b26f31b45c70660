/** @file open_event_scanner.cpp Checks the ids of complete events. */
#include "relay/open_event_scanner_base.h"

namespace pollenstall {

result<bool, event_stream_error> open_event_scanner::isNew(const event_fields &Fields) {
  if (Fields.Id.empty())
    return true;
  const auto Id = eventIdFrom(Fields.Id);
  if (!Id)
    return event_stream_error::IdMissing;
  if (*Id <= Last && Last > 0)
    return false;
  // If the first event is not the next one, the engine did not resume after the requested event.
  const bool Follows = *Id == Last + 1 || (Last == 0 && !HasSeenId);
  if (!Follows)
    return event_stream_error::IdGap;
  HasSeenId = true;
  Last = *Id;
  return true;
}

result<open_event_scan, event_stream_error> open_event_scanner::scan(std::string_view Bytes) {
  open_event_scan Found;
  while (const auto End = Ends.next(Bytes.substr(Found.Consumed))) {
    const std::string_view Event = Bytes.substr(Found.Consumed, *End);
    const event_fields Fields = readEvent(Event);
    const auto IsNew = isNew(Fields);
    if (!succeeded(IsNew))
      return errorOf(IsNew);
    Found.Consumed += *End;
    if (!valueOf(IsNew))
      continue;
    Found.Ready += Event;
    Found.Events += Fields.HasData ? 1 : 0;
  }
  const std::string_view Remaining = Bytes.substr(Found.Consumed);
  const bool OnlyLineEnds = Remaining.find_first_not_of("\r\n") == std::string_view::npos;
  Unfinished = OnlyLineEnds ? 0 : Remaining.size();
  return Found;
}

} // namespace pollenstall
