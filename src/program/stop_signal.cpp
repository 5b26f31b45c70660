/** @file stop_signal.cpp Waits synchronously for the signals that stop a process. */
#include "program/stop_signal_base.h"

#include "program/log_func.h"

#include <pthread.h>

namespace pollenstall {

stop_signal::stop_signal() {
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  sigset_t Blocked = Signals;
  sigaddset(&Blocked, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &Blocked, nullptr);
}

bool stop_signal::isStop(int Signal) {
  if (Signal == SIGHUP)
    logEvent(log_level::Info, "reload_asked");
  return Signal == SIGTERM || Signal == SIGINT;
}

void stop_signal::wait() const {
  int Signal = 0;
  do {
    sigwait(&Signals, &Signal);
  } while (!isStop(Signal));
}

bool stop_signal::waitFor(std::chrono::milliseconds Limit) const {
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Limit);
  const std::chrono::nanoseconds Nanoseconds = Limit - Seconds;
  const timespec Timeout{Seconds.count(), Nanoseconds.count()};
  return isStop(sigtimedwait(&Signals, nullptr, &Timeout));
}

} // namespace pollenstall
