/** @file backend_server.cpp Connections, the step timer, sampling and leaving. */
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

constexpr std::chrono::milliseconds SamplePause{10};

engine_limits limitsOf(const backend_settings &Settings) {
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

order_checking checkingOf(const backend_settings &Settings) {
  if (Settings.Orders == "fenced")
    return order_checking::Fenced;
  return Settings.Orders == "unfenced" ? order_checking::Unfenced : order_checking::None;
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

backend_server::backend_server(const backend_settings &Given)
    : Settings(Given), Engine(limitsOf(Given)), Orders(checkingOf(Given), Given.Models),
      CacheEvents(Given.CacheEventLag, Given.CacheEventLoss,
                  static_cast<std::uint64_t>(Given.Seed)),
      OwnIncarnation(unixNanoseconds()), Address(Given.Listen), Io(1), Acceptor(Io), StepTimer(Io),
      SampleTimer(Io) {
  applyFaults(Faults, Given.Faults); // checked when the settings were read
  if (!Settings.AnnounceTo.empty())
    Announcer = std::make_unique<announcer>(Io, Settings.AnnounceTo, readKey(Settings.KeyFile),
                                            Settings.AnnounceInterval,
                                            [this] { return announcementJson(); });
}

result<done, std::string> backend_server::openPort() {
  auto Listening = listenOn(Acceptor, Address);
  if (!succeeded(Listening))
    return Listening;
  Address = toText(Acceptor.local_endpoint());
  accept();
  return done{};
}

result<done, backend_start_error> backend_server::listen() {
  const auto Opened = openPort();
  if (!succeeded(Opened))
    return backend_start_error{errorOf(Opened)};
  if (!Settings.AddressFile.empty())
    std::ofstream(Settings.AddressFile) << Address << "\n";
  logEvent(log_level::Info, "listening", {{"address", Address}, {"incarnation", OwnIncarnation}});
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
  strikeAtOnce();
  if (Announcer)
    Announcer->start();
  sampleLater();
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

void backend_server::stopIfEmpty() {
  if (LeaveAnnounced && OpenAnswers == 0 && Engine.listed().empty())
    Io.stop();
}

void backend_server::stepEngine() {
  if (Stepping)
    return;
  const auto Span = Engine.beginStep();
  if (!Span)
    return;
  Stepping = true;
  const auto Stretched = std::chrono::duration<double, std::micro>(*Span) * Faults.SlowFactor;
  StepTimer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(Stretched));
  StepTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    Stepping = false;
    Engine.endStep(boot_clock::now());
    stepEngine();
  });
}

void backend_server::sampleLater() {
  SampleTimer.expires_after(SamplePause);
  SampleTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    sample();
    sampleLater();
  });
}

void backend_server::sample() {
  const mono_time Now = boot_clock::now();
  Engine.sweep(Now);
  engine_load Load = Engine.load();
  Load.Sequence = ++LoadSequence;
  Loads.emplace_back(Now, Load);
  while (Loads.size() > 1 && Loads[1].first <= Now - Settings.LoadLag)
    Loads.pop_front();
  CacheEvents.add(Engine.cache().takeChanges(), Now);
  for (cache_reader &Reader : CacheReaders) {
    const session_ptr Session = Reader.Session.lock();
    std::string Events;
    if (!Session || Session->closed() || Session->writing())
      continue;
    Reader.After = CacheEvents.read(Events, Reader.After, Now);
    if (!Events.empty())
      Session->writeEvents(Events, [] {});
  }
  std::erase_if(CacheReaders, [](const cache_reader &Reader) {
    const session_ptr Session = Reader.Session.lock();
    return !Session || Session->closed();
  });
  stepEngine();
  stopIfEmpty();
}

void backend_server::strikeAtOnce() {
  if (Faults.FreezeMs > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(std::exchange(Faults.FreezeMs, 0)));
  boost::system::error_code Ignored;
  if (Faults.RefuseConnections) {
    Acceptor.close(Ignored);
  } else if (!Acceptor.is_open()) {
    const auto Opened = openPort();
    if (!succeeded(Opened))
      logEvent(log_level::Error, "reopen_failed", {{"reason", errorOf(Opened)}});
  }
}

} // namespace pollenstall
