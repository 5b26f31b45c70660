/** @file placer_speed.cpp Compares the servers' answers with what is expected, and uses the result.
 */
#include "placement/millis_func.h"
#include "placement/pass_model_func.h"
#include "placement/placer_base.h"

#include <algorithm>
#include <limits>

namespace pollenstall {

namespace {

/// Time of a first event for the way, the entry and the server's queue, which is no sign of a slow
/// server. A domain is up to 3.5 ms away one way, and an entry checks for work every 10 ms.
constexpr double FirstEventAllowanceMs = 20;
/// The same for several events that are reported together.
constexpr double GapAllowanceMs = 10;
/// A first event also depends on prefill that others place unseen: in the fleet model 0.1 to 0.2 of
/// those of normal engines came more than 1.6 times later than expected.
constexpr double FirstEventWeight = 0.15;
/// The first 16 gaps of an attempt. Two reports are needed, as a few are long at normal engines.
/// Each attempt counts once, so that no caller that reads slowly counts for several.
constexpr double GapWeight = 0.6;
constexpr std::uint64_t MinGapEvents = 4;
/// Time after which a sample counts half. A slow server that is measured all the time has 16
/// samples and counts as normal about a minute after the last one; it is then measured anew.
constexpr std::chrono::seconds SpeedHalfLife{15};
/// Time for which an entry tells the others of its latest measurement, and in which it hears one
/// measurement of all others at most.
constexpr std::chrono::seconds NewsLifetime{2};
/// Fewer measured servers do not show that the figures are wrong.
constexpr std::size_t MinMeasuredServers = 3;
/// Units of fill and slowness in a load; see placer::addSpeedNews().
constexpr double FillUnits = 16;
constexpr double SlownessUnits = 1024;
/// Part of a caller's allowed pause that a slow server's passes leave for delays of the way.
/// Prefill beside the stream is limited separately, by MaxPartMs.
constexpr double SlowGapReserveMs = 30;
/// It is asked for each slow candidate of each waiting request, and costs a look at all samples.
constexpr std::chrono::milliseconds UsualSlownessLifetime{200};

} // namespace

const engine_profile *placer::figuresOf(const tracked_engine &Engine) const {
  const auto Service = Services.find(Engine.service());
  return Service == Services.end() || !Service->second.Engine ? nullptr : &*Service->second.Engine;
}

/// Returns the speed that the figures lead to expect under this load. Without figures, only the
/// fill is known.
placer::speed_mark placer::markOf(const tracked_engine &Engine, const engine_profile *Figures,
                                  const engine_view &View) {
  speed_mark Mark;
  Mark.SeenPrefillMs = Engine.seenPrefillMs();
  const double Slots = Figures ? Figures->BatchSlots : Engine.slots();
  Mark.Fill = View.Requests / std::max(1.0, Slots);
  if (!Figures)
    return Mark;
  Mark.Fill = std::max(Mark.Fill, View.Tokens / static_cast<double>(Figures->Memory.value()));
  Mark.PassMs = passMs(*Figures, View.DecodingRequests, View.Tokens);
  Mark.ExpectedMs = Mark.PassMs + View.PrefillMs;
  return Mark;
}

/// Returns the work of all entries at one server.
engine_view placer::workAt(const tracked_engine &Engine, mono_time Now) const {
  engine_view View = Engine.othersLoad(Now, Tuning.PeerLoadTimeout);
  for (const auto &[Attempt, Work] : Running)
    for (const prefill_part &Part : Work.Parts) {
      if (Part.Backend != Engine.key())
        continue;
      View.Tokens += Part.Tokens;
      if (&Part != &Work.Parts.front())
        continue;
      ++View.Requests;
      View.DecodingRequests += Work.Answered ? 1 : 0;
    }
  return View;
}

/**
 * Compares the time to the first event with the expected one. The first event of a split prompt
 * waits for the slowest of its servers, which is not known: it proves all of them normal if it
 * comes in time, and blames none if it does not.
 */
void placer::recordFirstEvent(assigned_work &Work, mono_time Now) {
  const double MeasuredMs = millisUntil(Now, Work.SentTime) - FirstEventAllowanceMs;
  for (const prefill_part &Part : Work.Parts) {
    const auto Engine = Engines.find(Part.Backend);
    if (Engine == Engines.end() || Part.Mark.ExpectedMs <= 0)
      continue;
    const double LaterMs = Engine->second.seenPrefillMs() - Part.Mark.SeenPrefillMs;
    const double Slowness = std::max(0.1, MeasuredMs / (Part.Mark.ExpectedMs + LaterMs));
    if (Work.Parts.size() == 1 || Slowness < server_speed::MinSlowness)
      Engine->second.speed().record({Slowness, Part.Mark.Fill, FirstEventWeight, Now});
  }
  const auto Answering = Engines.find(Work.Parts.front().Backend);
  if (Answering == Engines.end())
    return;
  const engine_profile *Figures = figuresOf(Answering->second);
  if (!Figures)
    recordFirstAnswer(Work, Now);
  Work.Advanced = markOf(Answering->second, Figures, workAt(Answering->second, Now));
  Work.AdvancedTime = Now;
}

/// Compares the time of a plain service's answer with that of the other servers of the service.
void placer::recordFirstAnswer(const assigned_work &Work, mono_time Now) {
  tracked_engine &Server = Engines.at(Work.Parts.front().Backend);
  const double MeasuredMs = millisUntil(Now, Work.SentTime);
  answer_times &Times = AnswerTimes[Server.service()];
  if (const auto UsualMs = Times.medianOfOthers(Server.key()))
    Server.speed().record({std::max(0.1, (MeasuredMs - GapAllowanceMs) / std::max(1.0, *UsualMs)),
                           Work.Parts.front().Mark.Fill, FirstEventWeight, Now});
  Times.record(Server.key(), MeasuredMs);
}

/// Compares the time of several events with that of as many passes, at the higher of the loads
/// before and after, and the prefill that was placed meanwhile.
void placer::recordGap(assigned_work &Work, std::uint64_t Events, mono_time Now) {
  const auto Engine = Engines.find(Work.Parts.front().Backend);
  const engine_profile *Figures = Engine == Engines.end() ? nullptr : figuresOf(Engine->second);
  if (!Figures)
    return;
  const speed_mark Before = Work.Advanced;
  const mono_time Start = Work.AdvancedTime;
  Work.Advanced = markOf(Engine->second, Figures, workAt(Engine->second, Now));
  Work.AdvancedTime = Now;
  const double PassMs = std::max(Before.PassMs, Work.Advanced.PassMs);
  const bool HoldsElsewhere = std::any_of(std::next(Work.Parts.begin()), Work.Parts.end(),
                                          [](const prefill_part &Part) { return Part.Tokens > 0; });
  // With memory at several servers, any of them may delay an event.
  if (Events < MinGapEvents || PassMs <= 0 || HoldsElsewhere || Work.GapRecorded)
    return;
  const double PrefillMs = Engine->second.seenPrefillMs() - Before.SeenPrefillMs;
  const double ExpectedMs = static_cast<double>(Events) * PassMs + PrefillMs;
  Work.GapRecorded = true;
  Engine->second.recordSpeed(
      {std::max(0.1, (millisUntil(Now, Start) - GapAllowanceMs) / ExpectedMs),
       std::max(Before.Fill, Work.Advanced.Fill), GapWeight, Now});
}

incarnation placer::newsKeyOf(incarnation Server) {
  return incarnation(combineHashes(Server.value(), stableHash("speed")));
}

/**
 * Adds what this entry has measured of slow servers to the loads that it publishes. The news of a
 * server travel as a load of another incarnation, which builds without them ignore like that of an
 * unknown server; the sums over entries keep their meaning: Requests counts the entries, and
 * DecodingRequests and Tokens add up fill and slowness. One entry alone measures a server too
 * rarely: 76 entries that send 98 requests a second to 69 servers see each of them once in 50 s.
 */
void placer::addSpeedNews(std::vector<work_load> &Loads, mono_time Now) const {
  for (const auto &[Key, Engine] : Engines) {
    const speed_sample &Latest = Engine.measuredHere();
    if (Latest.Time == mono_time() || Now - Latest.Time >= NewsLifetime)
      continue;
    // That a server is as fast as expected is news only where it was not.
    const bool IsNews = Latest.Slowness >= server_speed::MinSlowness ||
                        Engine.speed().slowness(1, SpeedHalfLife, Now) > 1;
    if (!IsNews)
      continue;
    work_load Load;
    Load.Incarnation = newsKeyOf(Key.Incarnation);
    Load.Requests = 1;
    Load.DecodingRequests =
        static_cast<std::uint32_t>(std::clamp(Latest.Fill, 0.0, 1.0) * FillUnits);
    Load.Tokens = static_cast<std::uint32_t>(std::min(Latest.Slowness, server_speed::MaxSlowness) *
                                             SlownessUnits);
    Loads.push_back(Load);
  }
}

void placer::receiveSpeedNews(const work_load &Load, mono_time Now) {
  const auto Server = EnginesByNews.find(Load.Incarnation);
  if (Server == EnginesByNews.end() || Load.Requests == 0)
    return;
  const auto Engine = Engines.find(Server->second);
  if (Engine == Engines.end() || !Engine->second.mayHearSpeed(NewsLifetime, Now))
    return;
  const double Entries = Load.Requests;
  Engine->second.speed().record({std::max(0.1, Load.Tokens / SlownessUnits / Entries),
                                 Load.DecodingRequests / FillUnits / Entries, GapWeight, Now});
}

void placer::attemptAdvanced(const attempt_id &Attempt, std::uint64_t Events, mono_time Now) {
  const auto Found = Running.find(Attempt);
  if (Found != Running.end() && Found->second.Answered && Events > 0)
    recordGap(Found->second, Events, Now);
}

/// Returns the median over the servers of a service that were measured. If most of them are slower
/// than expected, the figures are at fault, and placement would only refuse work.
double placer::usualSlowness(const service_name &Service, mono_time Now) const {
  usual_slowness &Usual = UsualSlowness[Service];
  if (Usual.Time != mono_time() && Now - Usual.Time < UsualSlownessLifetime)
    return Usual.Value;
  Usual = {1, Now};
  std::vector<double> Measured;
  std::size_t Servers = 0;
  for (const auto &[Key, Engine] : Engines) {
    if (Engine.service() != Service || !Engine.active())
      continue;
    ++Servers;
    if (const auto Slowness = Engine.speed().measured(SpeedHalfLife, Now))
      Measured.push_back(*Slowness);
  }
  // An entry without much work may know of one server only what others tell.
  if (Measured.empty() || Measured.size() < std::min(Servers, MinMeasuredServers))
    return 1;
  const auto Middle = Measured.begin() + static_cast<std::ptrdiff_t>((Measured.size() - 1) / 2);
  std::nth_element(Measured.begin(), Middle, Measured.end());
  Usual.Value = std::max(1.0, *Middle);
  return Usual.Value;
}

double placer::slownessOf(const tracked_engine &Engine, double Fill, mono_time Now) const {
  const double Slowness = Engine.speed().slowness(Fill, SpeedHalfLife, Now);
  if (Slowness <= 1)
    return 1;
  const double Relative = Slowness / usualSlowness(Engine.service(), Now);
  return Relative < server_speed::MinSlowness ? 1 : Relative;
}

void placer::applySpeed(engine_option &Option, const engine_profile *Figures, mono_time Now) const {
  Option.Mark = markOf(*Option.Engine, Figures, Option.View);
  Option.Slowness = slownessOf(*Option.Engine, Option.Mark.Fill, Now);
}

/// Lengthens the expected times of a slow engine. It answers only if its passes, with the prompt's
/// own stream, stay below the pause between events that the caller allows.
void placer::applySpeed(prefill_candidate &Candidate, const waiting_work &Work,
                        const engine_profile &Figures, mono_time Now) const {
  engine_option &Option = Candidate.Option;
  applySpeed(Option, &Figures, Now);
  if (Option.Slowness <= 1)
    return;
  const double Factor = Option.Slowness;
  const auto MaxPassMs = [this](double GapMs) {
    return GapMs > 0 ? std::max(GapMs * Tuning.GapFraction, GapMs - Tuning.GapMarginMs)
                     : std::numeric_limits<double>::max();
  };
  Candidate.PassMs *= Factor;
  Candidate.StartMs = Candidate.PassMs + Option.View.PrefillMs;
  if (Option.View.GapMs > 0)
    Candidate.MaxPartMs = (MaxPassMs(Option.View.GapMs) - Candidate.StartMs) / Factor;
  const double NextPassMs =
      Factor * passMs(Figures, Option.View.DecodingRequests + 1,
                      Option.View.Tokens + static_cast<double>(Work.Item.Prompt.value()));
  const auto GapMs = static_cast<double>(Work.Item.LongestGap.count());
  Candidate.CanAnswer =
      Candidate.CanAnswer && (GapMs <= 0 || NextPassMs <= GapMs - SlowGapReserveMs);
}

} // namespace pollenstall
