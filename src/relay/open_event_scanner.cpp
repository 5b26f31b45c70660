/** @file open_event_scanner.cpp Whole events and their ids. */
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
  // A first event other than the next one: the engine did not go on where it was asked to.
  const bool Follows = *Id == Last + 1 || (Last == 0 && !Seen);
  if (!Follows)
    return event_stream_error::IdGap;
  Seen = true;
  Last = *Id;
  return true;
}

result<open_event_scan, event_stream_error> open_event_scanner::scan(std::string_view Bytes,
                                                                     bool AtEnd) {
  open_event_scan Found;
  while (const auto End = Ends.next(Bytes.substr(Found.Taken))) {
    const std::string_view Event = Bytes.substr(Found.Taken, *End);
    const auto New = isNew(Event);
    if (!succeeded(New))
      return errorOf(New);
    Found.Taken += *End;
    if (!valueOf(New))
      continue;
    Found.Ready += Event;
    ++Found.Events;
  }
  if (AtEnd) {
    Found.Ready += Bytes.substr(Found.Taken);
    Found.Taken = Bytes.size();
  }
  return Found;
}

} // namespace pollenstall
