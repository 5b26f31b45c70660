/** @file entry_stop.cpp From SIGTERM to the end of the last answer. */
#include "entry_base.h"

#include <boost/asio/post.hpp>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds PollPause{10};
/// After the last answer, for backend servers to confirm what was cancelled.
constexpr std::chrono::seconds CancelGrace{2};
/// Before the kill: for the last answers to be written.
constexpr std::chrono::milliseconds KillMargin{1'000};
/// The dispatcher ends what is left at the limit; its answers still have to be written.
constexpr std::chrono::seconds LastAnswers{1};

} // namespace

void entry::stopRelay() {
  if (!RelayThread.joinable())
    return;
  asio::post(Io, [this] { Relay->stop(); });
  Work.reset();
  RelayThread.join();
}

std::size_t entry::openCalls() {
  auto Answer = std::make_shared<std::promise<std::size_t>>();
  std::future<std::size_t> Waiting = Answer->get_future();
  asio::post(Io, [this, Answer] { Answer->set_value(Relay->openCalls()); });
  return Waiting.get();
}

void entry::waitForCalls(mono_time Until, const std::function<std::size_t()> &Count) {
  while (Count() > 0 && boot_clock::now() < Until)
    std::this_thread::sleep_for(PollPause);
}

exit_code entry::shutDown() {
  logEvent(log_level::Info, "stopping");
  Stopping = true;
  const mono_time Asked = boot_clock::now();
  const mono_time Killed =
      Settings.KillAfter.count() > 0 ? Asked + Settings.KillAfter - KillMargin : mono_time::max();
  if (Settings.DrainTime.count() > 0) {
    asio::post(Io, [this] { Relay->beginDrain(); });
    std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                  std::min<mono_duration>(Settings.DrainTime, Killed - Asked));
  }
  asio::post(Io, [this] { Relay->beginStop(); });
  const mono_time Limit = std::min(boot_clock::now() + Settings.ShutdownLimit, Killed);
  Decision->beginShutdown(Limit - boot_clock::now());
  waitForCalls(Limit + LastAnswers, [this] { return openCalls(); });
  waitForCalls(boot_clock::now() + CancelGrace, [this] { return Decision->abandoned(); });
  if (Gossip)
    Gossip->stop();
  Decision->stop();
  stopRelay();
  const exit_code Code = CutOff ? exit_code::ShutdownLimit : exit_code::Ok;
  logEvent(log_level::Info, "stopped", {{"exit_code", static_cast<std::int64_t>(Code)}});
  return Code;
}

} // namespace pollenstall
