/** @file log_writer_base.h Writes log lines in a thread of its own, and never makes a caller wait.
 */
#ifndef POLLENSTALL_PROGRAM_LOG_WRITER_BASE_H
#define POLLENSTALL_PROGRAM_LOG_WRITER_BASE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pollenstall {

/// Which lines go first when there is no room for all.
enum class line_weight : std::uint8_t { Ordinary, Severe };

/**
 * Lines wait in bounded memory until the reader of the log takes them. A reader that is slow or
 * stands still would block a plain write, and with it every request of the thread that logs. What
 * does not fit is dropped and counted, ordinary lines while a quarter of the room is left for
 * severe ones; the count is written as soon as there is room again.
 */
class log_writer {
public:
  /// Writes one line; may block.
  using line_sink = std::function<void(const std::string &)>;
  /// @return The line that says how many were dropped.
  using dropped_line = std::function<std::string(std::uint64_t)>;

  log_writer(std::size_t MaxTextBytesInFlight, line_sink Sink, dropped_line Told);
  /// Writes what waits, for half a second at most.
  ~log_writer();
  log_writer(const log_writer &) = delete;
  log_writer &operator=(const log_writer &) = delete;

  /// Any thread may call it. @return False where the line was dropped.
  bool push(std::string Line, line_weight Weight);
  /// @return Whether all that was pushed before is written.
  bool flush(std::chrono::milliseconds Limit);

private:
  struct state;

  std::shared_ptr<state> State; ///< Outlives this object where the sink never returns.
};

} // namespace pollenstall

#endif // POLLENSTALL_PROGRAM_LOG_WRITER_BASE_H
