/** @file silence_watch_base.h When an entry gives up a control host that says nothing. */
#ifndef POLLENSTALL_CONTROL_LINK_SILENCE_WATCH_BASE_H
#define POLLENSTALL_CONTROL_LINK_SILENCE_WATCH_BASE_H

#include "core/core.h"

#include <chrono>
#include <cstdint>

namespace pollenstall {

/**
 * What came on one connection, and when.
 * Bytes count, not whole messages: a declaration may take longer than an answer may, over a link
 * that many entries share. Entries that gave up in the middle of one all began anew, which kept the
 * link as full as before, and none of them ever got it. A host that is dead or cut off sends no
 * bytes, so it is left as soon as before.
 */
class silence_watch {
public:
  /// A connection is tried, or has opened.
  void begin(mono_time Now) {
    HeardAt = Now;
    MessageAt = Now;
    Part = 0;
  }
  /// Bytes came, perhaps part of a message only.
  void arrived(std::size_t Bytes, mono_time Now) {
    HeardAt = Now;
    Part += Bytes;
  }
  /// A message is whole.
  void message(mono_time Now) { begin(Now); }

  /// @return Whether the other side has been silent for longer than Limit.
  [[nodiscard]] bool isOver(mono_time Now, mono_duration Limit) const {
    return Now - HeardAt > Limit;
  }
  /// @return Bytes of a message that is not whole.
  [[nodiscard]] std::uint64_t partBytes() const { return Part; }
  [[nodiscard]] std::chrono::milliseconds sinceMessage(mono_time Now) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Now - MessageAt);
  }

private:
  mono_time HeardAt{};
  mono_time MessageAt{};
  std::uint64_t Part{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_SILENCE_WATCH_BASE_H
