/** @file stop_signal_base.h Waits for SIGTERM or SIGINT in one thread of the process. */
#ifndef POLLENSTALL_PROGRAM_STOP_SIGNAL_BASE_H
#define POLLENSTALL_PROGRAM_STOP_SIGNAL_BASE_H

#include <chrono>
#include <csignal>

namespace pollenstall {

/**
 * Blocks SIGTERM, SIGINT, SIGHUP and SIGPIPE in the constructing thread and all threads it starts
 * later. A signal handler could interrupt any thread at any point; waiting for the signal cannot.
 * SIGHUP says that the settings have changed. They are read at the start only, so it is logged and
 * ends nothing.
 */
class stop_signal {
public:
  stop_signal();

  /// Waits until the process is asked to stop.
  void wait() const;
  /// Waits at most so long. @return Whether the process was asked to stop.
  [[nodiscard]] bool waitFor(std::chrono::milliseconds Limit) const;

private:
  [[nodiscard]] static bool isStop(int Signal);

  sigset_t Signals{};
};

} // namespace pollenstall

#endif // POLLENSTALL_PROGRAM_STOP_SIGNAL_BASE_H
