/** @file placer_record.cpp Records which servers fail the attempts that reach them. */
#include "placement/placer_base.h"

namespace pollenstall {

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

} // namespace pollenstall
