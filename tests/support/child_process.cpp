/** @file child_process.cpp Starts a process and reads both of its pipes in one thread. */
#include "core/core.h"
#include "support/child_process_base.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace pollenstall {

namespace {

constexpr int ExecFailed = 127;
constexpr int SignalBase = 128;

/// Runs in the child between fork and exec, where only system calls are safe.
[[noreturn]] void becomeBinary(char *const *Arguments, int Output, int Error, pid_t Parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL); // a killed test leaves no child process running
  if (getppid() != Parent)
    _exit(ExecFailed);
  sigset_t None;
  sigemptyset(&None);
  sigprocmask(SIG_SETMASK, &None, nullptr);
  dup2(Output, STDOUT_FILENO);
  dup2(Error, STDERR_FILENO);
  // Otherwise the child keeps copies of the test's sockets, and a peer does not see their close.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(Arguments[0], Arguments);
  _exit(ExecFailed);
}

std::optional<boost::json::object> parseEvent(const std::string &Line, const std::string &Name) {
  boost::json::error_code Error;
  boost::json::value Value = boost::json::parse(Line, Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  const boost::json::value *Event = Value.get_object().if_contains("event");
  if (!Event || !Event->is_string() || Event->get_string() != Name)
    return std::nullopt;
  return std::move(Value.get_object());
}

} // namespace

child_process::child_process(const std::string &Binary, std::vector<std::string> Arguments) {
  const std::string Path = std::string(POLLENSTALL_BIN_DIR) + "/" + Binary;
  Arguments.insert(Arguments.begin(), Path);
  start(Path, Arguments);
}

std::unique_ptr<child_process> child_process::withSettings(const std::string &Binary,
                                                           const std::string &Toml) {
  auto Files = std::make_unique<temp_folder>();
  const std::string File = Files->write("settings.toml", Toml);
  auto Child = std::make_unique<child_process>(Binary, std::vector<std::string>{"--config", File});
  Child->Folder = std::move(Files);
  return Child;
}

void child_process::start(const std::string &Path, const std::vector<std::string> &Arguments) {
  requireInvariant(access(Path.c_str(), X_OK) == 0, "the binary was built: " + Path);
  std::array<int, 2> Out{};
  std::array<int, 2> Err{};
  requireInvariant(pipe2(Out.data(), O_CLOEXEC) == 0 && pipe2(Err.data(), O_CLOEXEC) == 0,
                   "the pipes can be created");
  std::vector<std::string> Texts = Arguments;
  std::vector<char *> Pointers;
  Pointers.reserve(Texts.size() + 1);
  for (std::string &Text : Texts)
    Pointers.push_back(Text.data());
  Pointers.push_back(nullptr);
  const pid_t Parent = getpid();
  Pid = fork();
  if (Pid == 0)
    becomeBinary(Pointers.data(), Out[1], Err[1], Parent);
  requireInvariant(Pid > 0, "a process can be started");
  close(Out[1]);
  close(Err[1]);
  OutputPipe = Out[0];
  ErrorPipe = Err[0];
  Reader = std::thread([this] { readAll(); });
}

child_process::~child_process() {
  ErrorReaderPaused = false; // Otherwise the reader thread never ends.
  if (!ExitCode) {
    kill();
    wait();
  }
  Reader.join();
  close(OutputPipe);
  close(ErrorPipe);
}

void child_process::signal(int SignalNumber) const {
  if (!ExitCode)
    ::kill(Pid, SignalNumber);
}

void child_process::stop() const {
  if (ExitCode)
    return;
  ::kill(Pid, SIGSTOP);
  // Stopping is asynchronous: a running thread may still answer a message after kill() returns.
  siginfo_t Change{};
  const int Result = waitid(P_PID, static_cast<id_t>(Pid), &Change, WSTOPPED | WEXITED | WNOWAIT);
  requireInvariant(Result == 0 && Change.si_code == CLD_STOPPED, "the process stops");
}

std::optional<int> child_process::wait(std::chrono::milliseconds Limit) {
  eventually(
      [this] {
        int Status = 0;
        if (!ExitCode && waitpid(Pid, &Status, WNOHANG) == Pid)
          ExitCode = WIFSIGNALED(Status) ? SignalBase + WTERMSIG(Status) : WEXITSTATUS(Status);
        return ExitCode.has_value();
      },
      Limit);
  // The last lines may still be in the pipes when the process has ended.
  std::unique_lock<std::mutex> Lock(Guard);
  if (ExitCode && !ErrorReaderPaused)
    Changed.wait_for(Lock, Limit, [this] { return Closed; });
  return ExitCode;
}

void child_process::readAll() {
  std::array<pollfd, 2> Pipes{pollfd{OutputPipe, POLLIN, 0}, pollfd{ErrorPipe, POLLIN, 0}};
  std::array<char, 4096> Bytes{};
  while (Pipes[0].fd >= 0 || Pipes[1].fd >= 0) {
    poll(Pipes.data(), Pipes.size(), -1);
    for (pollfd &Pipe : Pipes) {
      if (Pipe.fd < 0 || Pipe.revents == 0)
        continue;
      while (Pipe.fd == ErrorPipe && ErrorReaderPaused)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      const ssize_t Count = read(Pipe.fd, Bytes.data(), Bytes.size());
      const std::lock_guard<std::mutex> Lock(Guard);
      if (Count <= 0)
        Pipe.fd = -1;
      else if (Pipe.fd == OutputPipe)
        Output.append(Bytes.data(), static_cast<std::size_t>(Count));
      else
        appendErrorBytes(std::string(Bytes.data(), static_cast<std::size_t>(Count)));
    }
    Changed.notify_all();
  }
  const std::lock_guard<std::mutex> Lock(Guard);
  Closed = true;
  Changed.notify_all();
}

void child_process::appendErrorBytes(const std::string &Bytes) {
  Partial += Bytes;
  for (auto End = Partial.find('\n'); End != std::string::npos; End = Partial.find('\n')) {
    Lines.push_back(Partial.substr(0, End));
    Partial.erase(0, End + 1);
  }
}

std::vector<std::string> child_process::errorLines() const {
  const std::lock_guard<std::mutex> Lock(Guard);
  return Lines;
}

std::string child_process::output() const {
  const std::lock_guard<std::mutex> Lock(Guard);
  return Output;
}

std::vector<boost::json::object> child_process::events(const std::string &Name) const {
  std::vector<boost::json::object> Found;
  for (const std::string &Line : errorLines())
    if (auto Event = parseEvent(Line, Name))
      Found.push_back(std::move(*Event));
  return Found;
}

std::optional<boost::json::object>
child_process::waitForEvent(const std::string &Name, std::chrono::milliseconds Limit) const {
  std::optional<boost::json::object> Found;
  std::size_t Read = 0;
  std::unique_lock<std::mutex> Lock(Guard);
  const auto Seen = [this, &Found, &Read, &Name] {
    for (; Read < Lines.size() && !Found; ++Read)
      Found = parseEvent(Lines[Read], Name);
    return Found || Closed;
  };
  Changed.wait_for(Lock, Limit, Seen);
  return Found;
}

} // namespace pollenstall
