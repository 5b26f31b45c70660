/** @file log_writer_base.h Writes log lines in a background thread without blocking the caller. */
#ifndef POLLENSTALL_PROGRAM_LOG_WRITER_BASE_H
#define POLLENSTALL_PROGRAM_LOG_WRITER_BASE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pollenstall {

/// Severity of a line. Ordinary lines are dropped first.
enum class line_severity : std::uint8_t { Ordinary, Severe };

/**
 * Queues lines in bounded memory until the reader of the log consumes them. A slow or stalled
 * reader would block a direct write, and with it all requests of the logging thread. Lines that do
 * not fit are dropped and counted; a quarter of the memory is reserved for severe lines. The count
 * is written as soon as the reader continues.
 */
class log_writer {
public:
  /// Writes one line; may block.
  using line_sink = std::function<void(const std::string &)>;
  /// @return The line that reports the number of dropped lines.
  using dropped_line_formatter = std::function<std::string(std::uint64_t)>;

  log_writer(std::size_t MaxBytes, line_sink Sink, dropped_line_formatter FormatDropped);
  /// Writes the queued lines, for at most half a second.
  ~log_writer();
  log_writer(const log_writer &) = delete;
  log_writer &operator=(const log_writer &) = delete;

  /// Queues a line; safe from any thread. @return False if the line was dropped.
  bool push(std::string Line, line_severity Severity);
  /// Waits until all queued lines are written. @return False if Limit expired first.
  bool flush(std::chrono::milliseconds Limit);

private:
  struct state;

  std::shared_ptr<state> State; ///< Outlives this object if the sink never returns.
};

} // namespace pollenstall

#endif // POLLENSTALL_PROGRAM_LOG_WRITER_BASE_H
