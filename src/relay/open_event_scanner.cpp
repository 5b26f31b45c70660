/** @file open_event_scanner.cpp Checks the ids of complete events. */
#include "relay/open_event_scanner_base.h"

namespace pollenstall {

result<bool, event_stream_error> open_event_scanner::isNew(std::string_view Event) {
  const event_fields Fields = readEvent(Event);
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

result<open_event_scan, event_stream_error> open_event_scanner::scan(std::string_view Bytes,
                                                                     bool AtEnd) {
  open_event_scan Found;
  while (const auto End = Ends.next(Bytes.substr(Found.Consumed))) {
    const std::string_view Event = Bytes.substr(Found.Consumed, *End);
    const auto IsNew = isNew(Event);
    if (!succeeded(IsNew))
      return errorOf(IsNew);
    Found.Consumed += *End;
    if (!valueOf(IsNew))
      continue;
    Found.Ready += Event;
    ++Found.Events;
  }
  Unfinished = Bytes.size() - Found.Consumed;
  if (AtEnd) {
    Found.Ready += Bytes.substr(Found.Consumed);
    Found.Consumed = Bytes.size();
  }
  return Found;
}

} // namespace pollenstall
