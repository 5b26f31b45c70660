/** @file control_process.h A pollenstall-control process on loopback with a data folder of its own.
 */
#ifndef POLLENSTALL_TESTS_CONTROL_CONTROL_PROCESS_H
#define POLLENSTALL_TESTS_CONTROL_CONTROL_PROCESS_H

#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace pollenstall {

/// Waits on a condition; looks again every few milliseconds.
/// @return Whether it came true within Limit.
bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Limit = std::chrono::seconds(30));

/// Ports that were free a moment ago.
std::vector<std::string> freeAddresses(std::size_t Count);

/// A folder that is removed with the object.
class temporary_folder {
public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;

  [[nodiscard]] const std::filesystem::path &path() const { return Path; }

private:
  std::filesystem::path Path;
};

/// A child process; killed with the object.
class child_process {
public:
  child_process(const std::vector<std::string> &Command, const std::filesystem::path &Log);
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  void signal(int Number) const;
  /// @return The exit code, or 128 and the number of the signal that ended it.
  int wait();
  [[nodiscard]] pid_t pid() const { return Pid; }

private:
  pid_t Pid{-1};
  std::optional<int> Ended;
};

void writeFile(const std::filesystem::path &Path, const std::string &Text);
std::string readFile(const std::filesystem::path &Path);

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONTROL_CONTROL_PROCESS_H
