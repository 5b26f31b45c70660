/** @file placer_work.cpp What is under way at each engine, and how attempts went there. */
#include "placement/millis_func.h"
#include "placement/placer_base.h"

#include <algorithm>
#include <sstream>

namespace pollenstall {

namespace {

/// Part of its length that a part counts for that should be done and has not been seen to be.
constexpr double OverduePart = 0.25;
/// A connection that is refused fails within that, and shows that the server's host was reached;
/// one that meets silence fails at the connect timeout.
constexpr mono_duration RefusedWithin = std::chrono::milliseconds(100);

} // namespace

void placer::addWork(work_views &Sum, const running_work &Work, mono_time Now) {
  for (const reading_part &Part : Work.Parts) {
    if (Part.Tokens > 0)
      Sum[Part.Backend].Tokens += Part.Tokens;
    if (Work.Answered)
      continue;
    const double Left = std::min(Part.Ms, millisUntil(Part.Until, Now));
    Sum[Part.Backend].ReadMs += std::max(Left, Part.Ms * OverduePart);
  }
  engine_view &First = Sum[Work.Parts.front().Backend];
  First.noteGap(Work.GapMs);
  ++First.Requests;
  First.Writers += Work.Answered ? 1 : 0;
}

placer::work_views placer::ownWork(mono_time Now) const {
  work_views Sum;
  for (const auto &[Request, Claim] : Claimed)
    addWork(Sum, Claim.Started, Now);
  for (const auto &[Request, Work] : Placed)
    addWork(Sum, Work, Now);
  for (const auto &[Attempt, Work] : Running)
    addWork(Sum, Work, Now);
  return Sum;
}

placer::work_views placer::allWork(mono_time Now) const {
  work_views Sum = ownWork(Now);
  for (const auto &[Key, Engine] : Engines) {
    const engine_view Others = Engine.othersWork(Now, Tuning.PeerSilence);
    engine_view &View = Sum[Key];
    View.Requests += Others.Requests;
    View.Writers += Others.Writers;
    View.ReadMs += Others.ReadMs;
    View.Tokens += Others.Tokens;
    View.noteGap(Others.GapMs);
  }
  return Sum;
}

std::vector<work_load> placer::ownLoads(mono_time Now) const {
  std::vector<work_load> Loads;
  for (const auto &[Backend, View] : ownWork(Now)) {
    work_load Load;
    Load.Incarnation = Backend.Incarnation;
    Load.Requests = View.Requests;
    Load.Writers = View.Writers;
    Load.ReadMs = static_cast<std::uint32_t>(View.ReadMs);
    Load.Tokens = static_cast<std::uint32_t>(View.Tokens);
    Load.GapMs = static_cast<std::uint32_t>(View.GapMs);
    Load.FirstReader = View.ReadMs > Tuning.IdleReadMs ? Precedence : 0;
    Loads.push_back(Load);
  }
  return Loads;
}

void placer::attemptStarted(const attempt_id &Attempt, const work_item &Item,
                            const backend_key &Backend, mono_time Now) {
  Rate.add(1, Now);
  const auto Found = Placed.find(Item.Request);
  if (Found != Placed.end()) {
    Found->second.Sent = Now;
    Running.insert_or_assign(Attempt, std::move(Found->second));
    Placed.erase(Found);
    return;
  }
  running_work Started;
  Started.Request = Item.Request;
  Started.GapMs = static_cast<double>(Item.LongestGap.count());
  Started.Sent = Now;
  Started.Parts.push_back({Backend, 0, Now, memoryOf(Item)});
  Running.insert_or_assign(Attempt, std::move(Started));
}

void placer::attemptAnswering(const attempt_id &Attempt, mono_time Now) {
  const auto Found = Running.find(Attempt);
  if (Found == Running.end())
    return;
  Found->second.Answered = true;
  Reach.noteReached();
  for (const reading_part &Part : Found->second.Parts)
    if (const auto Engine = Engines.find(Part.Backend); Engine != Engines.end())
      Engine->second.noteSuccess();
  NextWake = Now;
}

void placer::attemptEnded(const attempt_id &Attempt, const attempt_report &End, mono_time Now) {
  const auto Found = Running.find(Attempt);
  if (Found == Running.end())
    return;
  const auto AtFault = std::find_if(Engines.begin(), Engines.end(), [&End](const auto &Item) {
    return !End.AtFault.empty() && Item.first.Address == End.AtFault;
  });
  if (AtFault != Engines.end())
    AtFault->second.noteFailure(Tuning, Now);
  else if (End.Failure)
    blame(Attempt, *End.Failure, Now);
  const auto Engine = Engines.find(Found->second.Parts.front().Backend);
  if (End.Completed)
    Reach.noteReached();
  if (End.Completed && Engine != Engines.end())
    Engine->second.noteSuccess();
  Running.erase(Found);
  NextWake = Now;
}

void placer::attemptBroken(const attempt_id &Attempt, attempt_failure Failure, mono_time Now) {
  blame(Attempt, Failure, Now);
}

void placer::blame(const attempt_id &Attempt, attempt_failure Failure, mono_time Now) {
  if (Failure == attempt_failure::NotWanted)
    return;
  // A server that declines is full, and an answer with an error status may be the caller's fault.
  if (Failure == attempt_failure::Declined || Failure == attempt_failure::ErrorAnswer)
    return Reach.noteReached();
  const auto Found = Running.find(Attempt);
  if (Found == Running.end())
    return;
  const auto Engine = Engines.find(Found->second.Parts.front().Backend);
  if (Engine == Engines.end())
    return;
  if (Failure == attempt_failure::NotConnected)
    noteNotConnected(Found->second, Engine->second, Now);
  if (!Reach.isOut())
    Engine->second.noteFailure(Tuning, Now);
}

void placer::noteNotConnected(const running_work &Work, const engine_state &Engine, mono_time Now) {
  if (Now - Work.Sent < RefusedWithin)
    return Reach.noteReached();
  const bool WasOut = Reach.isOut();
  Reach.noteUnreached(Engine.key(), Engine.domain(), Now);
  if (WasOut || !Reach.isOut())
    return;
  for (const backend_key &Unreached : Reach.unreached())
    if (const auto Found = Engines.find(Unreached); Found != Engines.end())
      Found->second.forgive();
  Reach.noteTry(Now);
}

std::string placer::dump(mono_time Now) const {
  std::ostringstream Out;
  Out << R"({"waiting":)" << Waiting.size() << R"(,"running":)" << Running.size()
      << R"(,"backends":[)";
  const work_views Sum = ownWork(Now);
  const char *Comma = "";
  for (const auto &[Key, Engine] : Engines) {
    const auto Mine = Sum.find(Key);
    const engine_view Others = Engine.othersWork(Now, Tuning.PeerSilence);
    const engine_view Ours = Mine == Sum.end() ? engine_view{} : Mine->second;
    Out << Comma << R"({"backend":")" << toText(Key) << R"(","active":)"
        << (Engine.active() ? "true" : "false") << R"(,"own_requests":)" << Ours.Requests
        << R"(,"own_read_ms":)" << Ours.ReadMs << R"(,"others_requests":)" << Others.Requests
        << R"(,"others_read_ms":)" << Others.ReadMs << "}";
    Comma = ",";
  }
  Out << "]}";
  return Out.str();
}

} // namespace pollenstall
