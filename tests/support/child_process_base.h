/** @file child_process_base.h Runs a binary of the project and captures its output. */
#ifndef POLLENSTALL_SUPPORT_CHILD_PROCESS_BASE_H
#define POLLENSTALL_SUPPORT_CHILD_PROCESS_BASE_H

#include "support/eventually_func.h"
#include "support/temp_folder_base.h"

#include <boost/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pollenstall {

/// A child process that the destructor ends by SIGKILL if it still runs. It also ends with the
/// thread that started it, so it must be started from the thread of the test.
class child_process {
public:
  /// Starts a binary of the build with the given arguments.
  child_process(const std::string &Binary, std::vector<std::string> Arguments);
  /// Starts a binary with --config and a file that holds the settings.
  static std::unique_ptr<child_process> withSettings(const std::string &Binary,
                                                     const std::string &Toml);
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  [[nodiscard]] pid_t pid() const { return Pid; }
  void kill() const { signal(SIGKILL); }
  /// Freezes the process. Returns once the kernel reports it as stopped: until then its threads may
  /// still answer the next message of a test.
  void stop() const;
  void resume() const { signal(SIGCONT); }
  void terminate() const { signal(SIGTERM); }
  void signal(int SignalNumber) const;

  /// Waits for the process to end. @return The exit code, 128 + number of the signal that ended it,
  /// or nothing if the limit has passed.
  std::optional<int> wait(std::chrono::milliseconds Limit = TestLimit);

  /// Stops reading standard error until resumeErrorReader(): its pipe fills up, and writes block.
  void pauseErrorReader() { ErrorReaderPaused = true; }
  void resumeErrorReader() { ErrorReaderPaused = false; }

  /// @return The lines of standard error received until now.
  [[nodiscard]] std::vector<std::string> errorLines() const;
  /// @return Standard output received until now.
  [[nodiscard]] std::string output() const;
  /// @return All log events of that name received until now.
  [[nodiscard]] std::vector<boost::json::object> events(const std::string &Name) const;
  /// Waits for the first log event of that name, counted from the start of the process.
  /// @return The event, or nothing if the limit has passed or the process ended without it.
  [[nodiscard]] std::optional<boost::json::object>
  waitForEvent(const std::string &Name, std::chrono::milliseconds Limit = TestLimit) const;

private:
  void start(const std::string &Path, const std::vector<std::string> &Arguments);
  void readAll();
  void appendErrorBytes(const std::string &Bytes);

  pid_t Pid{-1};
  int OutputPipe{-1};
  int ErrorPipe{-1};
  std::optional<int> ExitCode;
  std::thread Reader;
  mutable std::mutex Guard;
  mutable std::condition_variable Changed;
  std::vector<std::string> Lines;
  std::string Partial;
  std::string Output;
  bool Closed{false};
  std::atomic<bool> ErrorReaderPaused{false};
  std::unique_ptr<temp_folder> Folder;
};

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_CHILD_PROCESS_BASE_H
