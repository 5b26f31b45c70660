/** @file control_process.cpp Child processes, ports and folders of the control hosts' tests. */
#include "control/control_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace pollenstall {

bool waitUntil(const std::function<bool()> &Condition, std::chrono::milliseconds Limit) {
  constexpr std::chrono::milliseconds Pause{5};
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (std::chrono::steady_clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(Pause);
  }
  return Condition();
}

std::vector<std::string> freeAddresses(std::size_t Count) {
  using boost::asio::ip::tcp;
  boost::asio::io_context Io;
  std::vector<tcp::acceptor> Held;
  std::vector<std::string> Addresses;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Held.emplace_back(Io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    Addresses.push_back("127.0.0.1:" + std::to_string(Held.back().local_endpoint().port()));
  }
  return Addresses;
}

temporary_folder::temporary_folder() {
  std::string Template = (std::filesystem::temp_directory_path() / "pollenstall-XXXXXX").string();
  Path = mkdtemp(Template.data());
}

temporary_folder::~temporary_folder() {
  std::error_code Ignored;
  std::filesystem::remove_all(Path, Ignored);
}

child_process::child_process(const std::vector<std::string> &Command,
                             const std::filesystem::path &Log) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Part : Command)
    Arguments.push_back(const_cast<char *>(Part.c_str()));
  Arguments.push_back(nullptr);
  const std::string LogPath = Log.string();
  Pid = fork();
  if (Pid != 0)
    return;
  // Only calls that are safe after fork() in a process with threads.
  const int File = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  execv(Arguments[0], Arguments.data());
  _exit(127);
}

child_process::~child_process() {
  if (Ended)
    return;
  signal(SIGKILL);
  wait();
}

void child_process::signal(int Number) const { ::kill(Pid, Number); }

int child_process::wait() {
  constexpr int SignalBase = 128;
  if (!Ended) {
    int Status = 0;
    waitpid(Pid, &Status, 0);
    Ended = WIFEXITED(Status) ? WEXITSTATUS(Status) : SignalBase + WTERMSIG(Status);
  }
  return *Ended;
}

void writeFile(const std::filesystem::path &Path, const std::string &Text) {
  std::ofstream(Path) << Text;
}

std::string readFile(const std::filesystem::path &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

} // namespace pollenstall
