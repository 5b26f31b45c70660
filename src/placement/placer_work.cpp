/** @file placer_work.cpp Tracks the work on each engine and the results of attempts. */
#include "placement/millis_func.h"
#include "placement/placer_base.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace pollenstall {

namespace {

/// Fraction of a prefill part's duration that it counts for if it is past its expected end but not
/// known to be done.
constexpr double OverdueFraction = 0.25;
/// Part of the connections to a server that may be idle; the rest is for requests.
constexpr double IdleFraction = 0.5;
/// A connection that fails within this time was refused by the server's host, which was therefore
/// reached. A connection without any response fails at the connect timeout.
constexpr mono_duration MaxConnectionRefusedDelay = std::chrono::milliseconds(100);

/// Returns the fault of a server that can be reached; empty if the failure starts a backoff.
std::optional<server_fault> faultOf(attempt_failure Failure) {
  switch (Failure) {
  case attempt_failure::Declined:
    return server_fault::Declined;
  case attempt_failure::ErrorAnswer:
    return server_fault::ErrorAnswer;
  case attempt_failure::BadAnswer:
    return server_fault::WrongBytes;
  default:
    return std::nullopt;
  }
}

/// Returns requests per second, or null if there is no limit.
std::string limitText(std::optional<requests_per_second> Limit) {
  return Limit ? std::to_string(Limit->value()) : "null";
}

} // namespace

void placer::addWork(engine_views &Views, const assigned_work &Work, mono_time Now) {
  for (const prefill_part &Part : Work.Parts) {
    if (Part.Tokens > 0)
      Views[Part.Backend].Tokens += Part.Tokens;
    if (Work.Answered)
      continue;
    const double RemainingMs = std::min(Part.DurationMs, millisUntil(Part.Until, Now));
    Views[Part.Backend].PrefillMs += std::max(RemainingMs, Part.DurationMs * OverdueFraction);
  }
  engine_view &AnsweringView = Views[Work.Parts.front().Backend];
  AnsweringView.limitGap(Work.GapMs);
  ++AnsweringView.Requests;
  AnsweringView.DecodingRequests += Work.Answered ? 1 : 0;
}

placer::engine_views placer::ownWork(mono_time Now) const {
  engine_views Views;
  for (const auto &[Request, Claim] : Claimed)
    addWork(Views, Claim.Assigned, Now);
  for (const auto &[Request, Work] : Unstarted)
    addWork(Views, Work, Now);
  for (const auto &[Attempt, Work] : Running)
    addWork(Views, Work, Now);
  return Views;
}

placer::engine_views placer::allWork(mono_time Now) const {
  engine_views Views = ownWork(Now);
  for (const auto &[Key, Engine] : Engines) {
    const engine_view Others = Engine.othersLoad(Now, Tuning.PeerLoadTimeout);
    engine_view &View = Views[Key];
    View.Requests += Others.Requests;
    View.DecodingRequests += Others.DecodingRequests;
    View.PrefillMs += Others.PrefillMs;
    View.Tokens += Others.Tokens;
    View.limitGap(Others.GapMs);
  }
  return Views;
}

std::vector<work_load> placer::ownLoads(mono_time Now) const {
  std::vector<work_load> Loads;
  for (const auto &[Backend, View] : ownWork(Now)) {
    work_load Load;
    Load.Incarnation = Backend.Incarnation;
    Load.Requests = View.Requests;
    Load.DecodingRequests = View.DecodingRequests;
    Load.PrefillMs = static_cast<std::uint32_t>(View.PrefillMs);
    Load.Tokens = static_cast<std::uint32_t>(View.Tokens);
    Load.GapMs = static_cast<std::uint32_t>(View.GapMs);
    Load.LowestClaimRank = View.PrefillMs > Tuning.IdlePrefillMs ? ClaimRank : 0;
    Loads.push_back(Load);
  }
  addSpeedNews(Loads, Now);
  return Loads;
}

void placer::attemptStarted(const attempt_id &Attempt, const work_item &Item,
                            const backend_key &Backend, mono_time Now) {
  Rate.add(1, Now);
  const auto Found = Unstarted.find(Item.Request);
  if (Found != Unstarted.end()) {
    Found->second.SentTime = Now;
    Running.insert_or_assign(Attempt, std::move(Found->second));
    Unstarted.erase(Found);
    return;
  }
  assigned_work Assigned;
  Assigned.Request = Item.Request;
  Assigned.GapMs = static_cast<double>(Item.LongestGap.count());
  Assigned.SentTime = Now;
  Assigned.Parts.push_back({Backend, 0, Now, memoryOf(Item), {}, {}});
  Running.insert_or_assign(Attempt, std::move(Assigned));
}

void placer::attemptAnswering(const attempt_id &Attempt, mono_time Now) {
  const auto Found = Running.find(Attempt);
  if (Found == Running.end())
    return;
  recordFirstEvent(Found->second, Now);
  Found->second.Answered = true;
  Reachability.recordReachable();
  for (const prefill_part &Part : Found->second.Parts)
    if (const auto Engine = Engines.find(Part.Backend); Engine != Engines.end())
      Engine->second.recordSuccess();
  recordTaken(Found->second, Now);
  NextWake = Now;
}

void placer::attemptEnded(const attempt_id &Attempt, const attempt_report &End, mono_time Now) {
  const auto Found = Running.find(Attempt);
  if (Found == Running.end())
    return;
  const auto AtFault =
      std::find_if(Engines.begin(), Engines.end(), [&End](const auto &EngineEntry) {
        return !End.AtFault.empty() && EngineEntry.first.Address == End.AtFault;
      });
  if (AtFault != Engines.end())
    AtFault->second.recordFailure(Tuning, Now);
  else if (End.Failure)
    recordAttemptFailure(Attempt, *End.Failure, Now);
  else if (End.ServerError)
    recordFault(Found->second, server_fault::ErrorAnswer, Now);
  const auto Engine = Engines.find(Found->second.Parts.front().Backend);
  if (End.Completed)
    Reachability.recordReachable();
  if (End.Completed && Engine != Engines.end())
    Engine->second.recordSuccess();
  recordSlotFreed(Found->second, End.Completed, Now);
  Running.erase(Found);
  NextWake = Now;
}

void placer::attemptFailed(const attempt_id &Attempt, attempt_failure Failure, mono_time Now) {
  recordAttemptFailure(Attempt, Failure, Now);
}

void placer::recordAttemptFailure(const attempt_id &Attempt, attempt_failure Failure,
                                  mono_time Now) {
  if (Failure == attempt_failure::NotWanted || Failure == attempt_failure::PathBroken)
    return;
  const auto Found = Running.find(Attempt);
  const std::optional<server_fault> Fault = faultOf(Failure);
  if (Fault && Found != Running.end())
    recordFault(Found->second, *Fault, Now);
  if (Fault)
    return Reachability.recordReachable();
  if (Found == Running.end())
    return;
  const auto Engine = Engines.find(Found->second.Parts.front().Backend);
  if (Engine == Engines.end())
    return;
  if (Failure == attempt_failure::NotConnected)
    recordConnectFailure(Found->second, Engine->second, Now);
  if (!Reachability.isIsolated())
    Engine->second.recordFailure(Tuning, Now);
}

void placer::recordConnectFailure(const assigned_work &Work, const tracked_engine &Engine,
                                  mono_time Now) {
  if (Now - Work.SentTime < MaxConnectionRefusedDelay)
    return Reachability.recordReachable();
  const bool WasIsolated = Reachability.isIsolated();
  Reachability.recordUnreachable(Engine.key(), Engine.domain(), Now);
  if (WasIsolated || !Reachability.isIsolated())
    return;
  for (const backend_key &Unreached : Reachability.unreachableServers())
    if (const auto Found = Engines.find(Unreached); Found != Engines.end())
      Found->second.clearFailures();
  Reachability.recordProbe(Now);
}

std::size_t placer::maxIdleConnections(const backend_key &Backend) const {
  const auto Engine = Engines.find(Backend);
  const auto Service =
      Engine == Engines.end() ? Services.end() : Services.find(Engine->second.service());
  if (Service == Services.end() || Service->second.ConnectionLimit == 0)
    return DefaultMaxIdleConnections;
  const auto Share = static_cast<std::size_t>(Service->second.ConnectionLimit * IdleFraction /
                                              static_cast<double>(Exchange.Entries));
  return std::clamp<std::size_t>(Share, 1, DefaultMaxIdleConnections);
}

std::string placer::dump(mono_time Now) const {
  std::ostringstream Out;
  Out << R"({"waiting":)" << Waiting.size() << R"(,"running":)" << Running.size()
      << R"(,"backends":[)";
  const engine_views Views = ownWork(Now);
  const char *Comma = "";
  for (const auto &[Key, Engine] : Engines) {
    const auto OwnEntry = Views.find(Key);
    const engine_view Others = Engine.othersLoad(Now, Tuning.PeerLoadTimeout);
    const engine_view OwnView = OwnEntry == Views.end() ? engine_view{} : OwnEntry->second;
    Out << Comma << R"({"backend":")" << toText(Key) << R"(","active":)"
        << (Engine.active() ? "true" : "false") << R"(,"rate_limit":)"
        << limitText(Permits.limitOf(Key.Incarnation)) << R"(,"cold_ms":)"
        << std::llround(std::max(
               0.0, millisUntil(Permits.coldUntil(Key.Incarnation, Now).value_or(Now), Now)))
        << R"(,"paused":)" << (Pauses.isPaused(Key, Now) ? "true" : "false") << R"(,"evacuated":)"
        << (Engine.evacuated() ? "true" : "false") << R"(,"slowness":)"
        << slownessOf(Engine, 1, Now) << R"(,"failed_share":)"
        << failedShare(Engine.record().recent(Tuning, Now)) << R"(,"rests":)"
        << (Engine.record().rests(Now) ? "true" : "false") << R"(,"own_requests":)"
        << OwnView.Requests << R"(,"own_read_ms":)" << OwnView.PrefillMs << R"(,"others_requests":)"
        << Others.Requests << R"(,"others_read_ms":)" << Others.PrefillMs << "}";
    Comma = ",";
  }
  Out << "]," << slotsText() << '}';
  return Out.str();
}

} // namespace pollenstall
