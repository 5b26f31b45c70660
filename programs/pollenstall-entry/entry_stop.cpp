/** @file entry_stop.cpp Graceful shutdown after SIGTERM. */
#include "entry_base.h"

#include <boost/asio/post.hpp>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds PollPause{10};
/// Time after the last answer for backend servers to confirm cancelled attempts.
constexpr std::chrono::seconds CancelGrace{2};
/// Time reserved before the kill to write the last answers.
constexpr std::chrono::milliseconds KillMargin{1'000};
/// Time after the shutdown limit or the kill deadline, at which the dispatcher ends the remaining
/// requests, to write their answers.
constexpr std::chrono::seconds FinalWriteTime{1};
/// Part of KillMargin in which the threads end after all waits.
constexpr std::chrono::milliseconds ExitTime{400};

} // namespace

void entry::stopRelay() {
  if (!RelayThread.joinable())
    return;
  asio::post(Io, [this] { Relay->stop(); });
  IoWorkGuard.reset();
  RelayThread.join();
}

std::size_t entry::openCalls() {
  auto Answer = std::make_shared<std::promise<std::size_t>>();
  std::future<std::size_t> Future = Answer->get_future();
  asio::post(Io, [this, Answer] { Answer->set_value(Relay->openCalls() + Relay->openTunnels()); });
  return Future.get();
}

void entry::waitForZero(mono_time Deadline, const std::function<std::size_t()> &Count) {
  while (Count() > 0 && boot_clock::now() < Deadline)
    std::this_thread::sleep_for(PollPause);
}

exit_code entry::shutDown() {
  logEvent(log_level::Info, "stopping");
  Stopping = true;
  const mono_time RequestedAt = boot_clock::now();
  const mono_time KillTime =
      Settings.KillAfter.count() > 0 ? RequestedAt + Settings.KillAfter : mono_time::max();
  const mono_time KillDeadline = KillTime - KillMargin;
  const mono_time WaitsEnd = KillTime - ExitTime;
  if (Settings.DrainTime.count() > 0) {
    const mono_time WorkEndsAt =
        std::min(RequestedAt + Settings.DrainTime + Settings.ShutdownLimit, KillDeadline);
    asio::post(Io, [this, WorkEndsAt] { Relay->beginDrain(WorkEndsAt); });
    std::this_thread::sleep_until(
        std::chrono::steady_clock::now() +
        std::min<mono_duration>(Settings.DrainTime, KillDeadline - RequestedAt));
  }
  asio::post(Io, [this] { Relay->beginStop(); });
  const mono_time Limit = std::min(boot_clock::now() + Settings.ShutdownLimit, KillDeadline);
  Decision->beginShutdown(Limit - boot_clock::now());
  waitForZero(std::min<mono_time>(Limit + FinalWriteTime, WaitsEnd),
              [this] { return openCalls(); });
  waitForZero(std::min<mono_time>(boot_clock::now() + CancelGrace, WaitsEnd),
              [this] { return Decision->abandoned(); });
  if (Gossip)
    Gossip->stop();
  Decision->stop();
  stopRelay();
  const exit_code Code = ShutdownEndedCall ? exit_code::ShutdownLimit : exit_code::Ok;
  logEvent(log_level::Info, "stopped", {{"exit_code", static_cast<std::int64_t>(Code)}});
  return Code;
}

} // namespace pollenstall
