/** @file placer_record.cpp Records which servers fail the attempts that reach them. */
#include "placement/placer_base.h"

namespace pollenstall {

namespace {

/// Share of failed attempts from which operators are told. A single failure of an unused server
/// makes a share of 0.5, two make 0.67; single failures of used servers stay far below.
constexpr double FailingShare = 0.25;
/// How far it must be above the mean of the others.
constexpr double FailingMargin = 0.2;

} // namespace

void placer::recordTaken(assigned_work &Work, mono_time Now) {
  const auto Server = Engines.find(Work.Parts.front().Backend);
  if (Server == Engines.end() || Work.CountedAsTaken)
    return;
  Work.CountedAsTaken = true;
  Server->second.record().recordSuccess(Tuning, Now);
}

void placer::recordFault(assigned_work &Work, server_fault Fault, mono_time Now) {
  // Any of several servers may have caused a refusal or an error; the bytes are of the first one.
  if (Work.CountedAsFailed || (Work.Parts.size() > 1 && Fault != server_fault::WrongBytes))
    return;
  const auto Server = Engines.find(Work.Parts.front().Backend);
  if (Server == Engines.end())
    return;
  Work.CountedAsFailed = true;
  Server->second.record().recordFailure(Fault, Work.CountedAsTaken,
                                        usualFailedShare(Server->second, Now), Tuning, Now);
}

double placer::usualFailedShare(const tracked_engine &Server, mono_time Now) const {
  // The mean over servers, not over attempts: servers that fail and look idle get most attempts.
  double ShareSum = 0;
  std::size_t Others = 0;
  for (const auto &[Key, Engine] : Engines) {
    if (&Engine == &Server || Engine.service() != Server.service() || !Engine.active())
      continue;
    ShareSum += failedShare(Engine.record().recent(Tuning, Now));
    ++Others;
  }
  // The only server of a service has none to be compared with and never rests.
  return Others == 0 ? 1 : ShareSum / static_cast<double>(Others);
}

std::vector<uneven_server> placer::unevenServers(mono_time Now) const {
  std::vector<uneven_server> Uneven;
  for (const auto &[Key, Engine] : Engines) {
    if (!Engine.active())
      continue;
    uneven_server Server{Key, slownessOf(Engine, 1, Now),
                         failedShare(Engine.record().recent(Tuning, Now))};
    Server.Failing = Server.FailedShare >= FailingShare &&
                     Server.FailedShare > usualFailedShare(Engine, Now) + FailingMargin;
    if (Server.Failing || Server.Slowness > 1)
      Uneven.push_back(Server);
  }
  return Uneven;
}

} // namespace pollenstall
