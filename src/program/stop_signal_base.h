/** @file stop_signal_base.h Waits for SIGTERM or SIGINT in one thread of the process. */
#ifndef POLLENSTALL_PROGRAM_STOP_SIGNAL_BASE_H
#define POLLENSTALL_PROGRAM_STOP_SIGNAL_BASE_H

#include <chrono>
#include <csignal>

namespace pollenstall {

/**
 * Blocks SIGTERM, SIGINT, SIGHUP and SIGPIPE in the constructing thread and all threads it starts
 * later. A signal handler could interrupt any thread at any point; waiting for the signal cannot.
 * SIGHUP requests a reload of the settings. They are read only at the start, so it is logged and
 * otherwise ignored.
 */
class stop_signal {
public:
  stop_signal();

  /// Waits for SIGTERM or SIGINT.
  void wait() const;
  /// Waits for a signal for at most Limit. @return Whether it was SIGTERM or SIGINT.
  [[nodiscard]] bool waitFor(std::chrono::milliseconds Limit) const;

private:
  [[nodiscard]] static bool isStop(int Signal);

  sigset_t Signals{};
};

} // namespace pollenstall

#endif // POLLENSTALL_PROGRAM_STOP_SIGNAL_BASE_H
