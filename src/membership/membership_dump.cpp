/** @file membership_dump.cpp fleet_membership: state as JSON for operators. */
#include "membership/membership.h"

#include <cstdio>
#include <sstream>

namespace pollenstall {

namespace {

std::string quoted(const std::string &Text) {
  constexpr unsigned char FirstPrintable = 0x20;
  std::ostringstream Out;
  Out << '"';
  for (const char Char : Text) {
    if (static_cast<unsigned char>(Char) < FirstPrintable)
      Out << ' ';
    else if (Char == '"' || Char == '\\')
      Out << '\\' << Char;
    else
      Out << Char;
  }
  Out << '"';
  return Out.str();
}

long long milliseconds(mono_duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

const char *name(host_status Status) {
  switch (Status) {
  case host_status::Alive:
    return "alive";
  case host_status::Suspect:
    return "suspect";
  case host_status::Dead:
    return "dead";
  case host_status::Left:
    return "left";
  }
  return "unknown";
}

const char *name(backend_status Status) {
  switch (Status) {
  case backend_status::Active:
    return "active";
  case backend_status::Leaving:
    return "leaving";
  case backend_status::Lost:
    return "lost";
  }
  return "unknown";
}

void writeHost(std::ostream &Out, const host_record &Record) {
  Out << "{\"host\":" << quoted(Record.Key.Host.str())
      << ",\"incarnation\":" << Record.Key.Incarnation
      << ",\"domain\":" << quoted(Record.Domain.str()) << ",\"standing\":\"" << name(Record.Status)
      << "\",\"refutation\":" << Record.Refutation << "}";
}

void writeBackend(std::ostream &Out, const backend_view &View, mono_time Now) {
  Out << "{\"address\":" << quoted(View.Announcement.Key.Address.str())
      << ",\"incarnation\":" << View.Announcement.Key.Incarnation
      << ",\"service\":" << quoted(View.Announcement.Service.str())
      << ",\"domain\":" << quoted(View.Announcement.Domain.str()) << ",\"standing\":\""
      << name(View.Status) << "\",\"report\":" << View.Load.Sequence
      << ",\"running\":" << View.Load.Running << ",\"waiting\":" << View.Load.Waiting
      << ",\"age_ms\":" << milliseconds(Now - View.LoadReportedAt) << "}";
}

} // namespace

std::string fleet_membership::dump() const {
  std::ostringstream Out;
  Out << "{\"self\":" << quoted(Identity.Self.Host.str())
      << ",\"incarnation\":" << Identity.Self.Incarnation
      << ",\"fresh_ms\":" << milliseconds(FreshUntil - Clock.now())
      << ",\"resyncing\":" << (Resyncing ? "true" : "false")
      << ",\"local_health\":" << Detector.healthMultiplier() << ",\"news\":" << Updates.size()
      << ",\"loads_queued\":" << PendingLoads.size()
      << ",\"load_interval_ms\":" << milliseconds(Backends.loadGossipInterval()) << ",\"hosts\":[";
  const char *Separator = "";
  for (const auto &[Subject, Entry] : Hosts.entries()) {
    Out << Separator;
    writeHost(Out, Entry.Record);
    Separator = ",";
  }
  Out << "],\"backends\":[";
  Separator = "";
  for (const backend_view &View : views()) {
    Out << Separator;
    writeBackend(Out, View, Clock.now());
    Separator = ",";
  }
  Out << "]}";
  return Out.str();
}

} // namespace pollenstall
