/** @file folded_line_scan_base.h Finds folded lines in the head of a message. */
#ifndef POLLENSTALL_MESSAGE_FEED_FOLDED_LINE_SCAN_BASE_H
#define POLLENSTALL_MESSAGE_FEED_FOLDED_LINE_SCAN_BASE_H

#include <cstddef>
#include <string_view>

namespace pollenstall {

/**
 * Beast's parser joins a line that begins with a blank to the value of the field before it
 * (obsolete line folding). A field whose name begins with a blank would reach the caller as a part
 * of another one, so that such messages are refused (RFC 9112, section 5.2).
 */
class folded_line_scan {
public:
  /// Scans the next bytes of a message, up to the end of its head. @return False if a line begins
  /// with a blank.
  bool scan(std::string_view Bytes) {
    for (const char Byte : Bytes) {
      if (HeadEnded)
        break;
      if (Byte == '\n') {
        HeadEnded = LineBytes == 0;
        LineBytes = 0;
      } else if (Byte != '\r') {
        if (LineBytes == 0 && (Byte == ' ' || Byte == '\t'))
          return false;
        ++LineBytes;
      }
    }
    return true;
  }

private:
  std::size_t LineBytes{0}; ///< Of the present line, without its end.
  bool HeadEnded{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_MESSAGE_FEED_FOLDED_LINE_SCAN_BASE_H
