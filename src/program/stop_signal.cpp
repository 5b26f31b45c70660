/** @file stop_signal.cpp Signals that end a process, taken synchronously. */
#include "program/stop_signal_base.h"

#include <pthread.h>

namespace pollenstall {

stop_signal::stop_signal() {
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigset_t Blocked = Signals;
  sigaddset(&Blocked, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &Blocked, nullptr);
}

void stop_signal::wait() const {
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

bool stop_signal::waitFor(std::chrono::milliseconds Limit) const {
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Limit);
  const std::chrono::nanoseconds Rest = Limit - Seconds;
  const timespec Timeout{Seconds.count(), Rest.count()};
  return sigtimedwait(&Signals, nullptr, &Timeout) > 0;
}

} // namespace pollenstall
