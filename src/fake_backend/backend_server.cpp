/** @file backend_server.cpp Accepts connections, runs the step and periodic timers, and shuts down.
 */
#include "fake_backend/backend_server_base.h"

#include "address/address.h"
#include "program/program.h"

#include <boost/asio/post.hpp>

#include <fstream>
#include <thread>
#include <utility>

namespace pollenstall {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds PeriodicTaskInterval{10};

engine_limits engineLimits(const backend_settings &Settings) {
  engine_limits Limits;
  Limits.StepBase = std::chrono::microseconds(Settings.BaseUs);
  Limits.PrefillTokenUs = Settings.PrefillTokenUs;
  Limits.PerSequence = std::chrono::microseconds(Settings.PerSequenceUs);
  Limits.ChunkTokens = Settings.ChunkTokens;
  Limits.MaxRunning = Settings.MaxRunning;
  Limits.Blocks = Settings.Blocks;
  Limits.BlockTokens = Settings.BlockTokens;
  Limits.PrefixCacheBlocks = Settings.PrefixCacheBlocks;
  Limits.ResumeWindow = Settings.ResumeWindow;
  Limits.Priorities = Settings.Priorities;
  Limits.Resumes = Settings.Resumes;
  return Limits;
}

order_support orderSupport(const backend_settings &Settings) {
  if (Settings.Orders == "fenced")
    return order_support::Fenced;
  return Settings.Orders == "unfenced" ? order_support::Unfenced : order_support::None;
}

std::int64_t unixNanoseconds() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string readKey(const std::string &Path) {
  std::ifstream File(Path);
  std::string Key;
  std::getline(File, Key);
  return Key;
}

} // namespace

backend_server::backend_server(const backend_settings &InitialSettings)
    : Settings(InitialSettings), Engine(engineLimits(InitialSettings)),
      OrderExecutor(orderSupport(InitialSettings), InitialSettings.Models),
      CacheEvents(InitialSettings.CacheEventLag, InitialSettings.CacheEventLoss,
                  static_cast<std::uint64_t>(InitialSettings.Seed)),
      ProcessIncarnation(unixNanoseconds()), Address(InitialSettings.Listen), Io(1), Acceptor(Io),
      StepTimer(Io), PeriodicTimer(Io) {
  applyFaults(Faults, InitialSettings.Faults); // validated when the settings were read
  if (!Settings.AnnounceTo.empty())
    Announcer = std::make_unique<announcer>(Io, Settings.AnnounceTo, readKey(Settings.KeyFile),
                                            Settings.AnnounceInterval,
                                            [this] { return announcementJson(); });
}

result<done, std::string> backend_server::openListener() {
  auto Listening = listenOn(Acceptor, Address);
  if (!succeeded(Listening))
    return Listening;
  Address = toText(Acceptor.local_endpoint());
  accept();
  return done{};
}

result<done, backend_start_error> backend_server::listen() {
  const auto Opened = openListener();
  if (!succeeded(Opened))
    return backend_start_error{errorOf(Opened)};
  if (!Settings.AddressFile.empty())
    std::ofstream(Settings.AddressFile) << Address << "\n";
  logEvent(log_level::Info, "listening",
           {{"address", Address}, {"incarnation", ProcessIncarnation}});
  return done{};
}

void backend_server::accept() {
  Acceptor.async_accept([this](boost::system::error_code Error, tcp::socket Socket) {
    if (Error == asio::error::operation_aborted || !Acceptor.is_open())
      return;
    if (!Error)
      std::make_shared<session>(std::move(Socket), [this](const session_ptr &Session,
                                                          backend_request &&Request) {
        handle(Session, std::move(Request));
      })->start();
    accept();
  });
}

void backend_server::run() {
  applyImmediateFaults();
  if (Announcer)
    Announcer->start();
  schedulePeriodicTasks();
  Io.run();
}

void backend_server::leave() {
  asio::post(Io, [this] {
    if (std::exchange(Leaving, true))
      return;
    logEvent(log_level::Info, "leaving", {{"open_answers", OpenAnswers}});
    if (!Announcer) {
      LeaveAnnounced = true;
      return;
    }
    Announcer->announceNow([this] { LeaveAnnounced = true; });
  });
}

void backend_server::stopIfDrained() {
  if (LeaveAnnounced && OpenAnswers == 0 && Engine.undeliveredJobs().empty())
    Io.stop();
}

void backend_server::stepEngine() {
  if (Stepping)
    return;
  const auto StepTime = Engine.beginStep();
  if (!StepTime)
    return;
  Stepping = true;
  const auto ScaledStepTime =
      std::chrono::duration<double, std::micro>(*StepTime) * Faults.SlowFactor;
  StepTimer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(ScaledStepTime));
  StepTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    Stepping = false;
    Engine.endStep(boot_clock::now());
    stepEngine();
  });
}

void backend_server::schedulePeriodicTasks() {
  PeriodicTimer.expires_after(PeriodicTaskInterval);
  PeriodicTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    runPeriodicTasks();
    schedulePeriodicTasks();
  });
}

void backend_server::runPeriodicTasks() {
  const mono_time Now = boot_clock::now();
  Engine.removeExpired(Now);
  engine_load Load = Engine.load();
  Load.Sequence = ++LoadSequence;
  Loads.emplace_back(Now, Load);
  while (Loads.size() > 1 && Loads[1].first <= Now - Settings.LoadLag)
    Loads.pop_front();
  CacheEvents.add(Engine.cache().takeChanges(), Now);
  for (cache_subscriber &Subscriber : CacheSubscribers) {
    const session_ptr Session = Subscriber.Session.lock();
    std::string Events;
    if (!Session || Session->closed() || Session->writing())
      continue;
    Subscriber.LastSentEvent = CacheEvents.read(Events, Subscriber.LastSentEvent, Now);
    if (!Events.empty())
      Session->writeEvents(Events, [] {});
  }
  std::erase_if(CacheSubscribers, [](const cache_subscriber &Subscriber) {
    const session_ptr Session = Subscriber.Session.lock();
    return !Session || Session->closed();
  });
  stepEngine();
  stopIfDrained();
}

void backend_server::applyImmediateFaults() {
  if (Faults.FreezeMs > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(std::exchange(Faults.FreezeMs, 0)));
  boost::system::error_code Ignored;
  if (Faults.RefuseConnections) {
    Acceptor.close(Ignored);
  } else if (!Acceptor.is_open()) {
    const auto Opened = openListener();
    if (!succeeded(Opened))
      logEvent(log_level::Error, "reopen_failed", {{"reason", errorOf(Opened)}});
  }
}

} // namespace pollenstall
