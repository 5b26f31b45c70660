/** @file uneven_log.cpp Gauges and log events of slow and failing backend servers. */
#include "uneven_log_base.h"

#include "program/program.h"

#include <algorithm>
#include <chrono>

namespace pollenstall {

namespace {

/// Estimates have half-lives of seconds, so that more frequent reports would show nothing new.
constexpr std::chrono::seconds ReportInterval{1};

prometheus::Gauge &gauge(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add({});
}

void logServer(const uneven_server &Server, bool IsSlow) {
  logEvent(log_level::Warning, "server_uneven",
           {{"backend", toText(Server.Backend)},
            {"slow", IsSlow},
            {"slowness", Server.Slowness},
            {"failing", Server.Failing},
            {"failed_share", Server.FailedShare}});
}

} // namespace

uneven_log::uneven_log(prometheus::Registry &Registry)
    : SlowGauge(gauge(Registry, "pollenstall_slow_servers",
                      "Backend servers that answer more slowly than expected")),
      FailingGauge(
          gauge(Registry, "pollenstall_failing_servers",
                "Backend servers that fail more attempts than the others of their service")) {}

void uneven_log::report(const std::vector<uneven_server> &Servers, mono_time Now) {
  NextReport = Now + ReportInterval;
  std::map<backend_key, uneven_server> Current;
  double Slow = 0;
  double Failing = 0;
  for (const uneven_server &Server : Servers) {
    const bool IsSlow = Server.Slowness > 1;
    Slow += IsSlow ? 1 : 0;
    Failing += Server.Failing ? 1 : 0;
    const auto Before = Known.find(Server.Backend);
    const bool Changed = Before == Known.end() || IsSlow != (Before->second.Slowness > 1) ||
                         Server.Failing != Before->second.Failing;
    if (Changed)
      logServer(Server, IsSlow);
    Current.emplace(Server.Backend, Server);
  }
  for (const auto &[Backend, Server] : Known)
    if (!Current.contains(Backend))
      logEvent(log_level::Info, "server_even", {{"backend", toText(Backend)}});
  SlowGauge.Set(Slow);
  FailingGauge.Set(Failing);
  Known = std::move(Current);
}

} // namespace pollenstall
