/** @file fleet_run_engines.cpp Polls of entries, attempts, passes and outages of engines. */
#include "fleet_model/entry_policy_func.h"
#include "fleet_model/fleet_run_base.h"
#include "path/path.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr double MsPerSecond = 1e3;
/// Minimum interval between updates of own loads without a new claim, as in a real entry.
constexpr double PublishIntervalMs = 10;
/// Minimum interval between checks for due work reports.
constexpr double MinExchangeIntervalMs = 1;
/// Maximum interval between polls, as in a real entry.
constexpr double MaxPollIntervalMs = 100;
/// Time until an entry detects an engine failure through broken connections.
constexpr double FailureDetectionMs = 5;
/// The middle of the engines' urgency scale. The declared urgency is added to it.
constexpr std::uint32_t BaseUrgency = 4;

} // namespace

void fleet_run::pollEntry(std::size_t EntryIndex) {
  entry_state &Entry = Entries[EntryIndex];
  if (Entry.Down)
    return;
  Entry.Policy.UpdatePeers({Entry.View->changedPeerLoads(now()), Entry.View->exchangeStats(),
                            Entry.View->changedPeerWaiting(now())},
                           now());
  const poll_outcome Outcome = Entry.Policy.Poll(now());
  for (const work_expiry &Expiry : Outcome.Expiries)
    handleRefusal(static_cast<std::size_t>(Expiry.Request.value() - 1), Expiry.Refusal);
  for (const work_placement &Placement : Outcome.Placements)
    startAttempt(EntryIndex, Placement);
  publishLoads(EntryIndex);
  scheduleNextPoll(EntryIndex);
}

void fleet_run::publishLoads(std::size_t EntryIndex) {
  entry_state &Entry = Entries[EntryIndex];
  const bool Claimed = Entry.Policy.ClaimsMade() != Entry.PublishedClaims;
  if (Ms - Entry.PublishedAtMs < PublishIntervalMs && !Claimed)
    return;
  Entry.PublishedClaims = Entry.Policy.ClaimsMade();
  Entry.PublishedAtMs = Ms;
  Entry.View->setOwnLoads(Entry.Policy.OwnLoads(now()), Claimed, now());
  Entry.View->setOwnWaiting(Entry.Policy.OwnWaiting(now()), now());
  sendReports(EntryIndex);
}

void fleet_run::sendReports(std::size_t EntryIndex) {
  entry_state &Entry = Entries[EntryIndex];
  if (Entry.Down)
    return;
  for (work_datagram &Datagram : Entry.View->dueDatagrams(now())) {
    const work_report &Report = Datagram.Report;
    const auto Bytes = static_cast<double>(
        Report.Waiting
            ? waitingReportSize(Load.Name, Report.Sender.Host.str(), Report.Waiting->size())
            : workReportSize(Load.Name, Report.Sender.Host.str(), Report.Loads.size()));
    ++Entry.Traffic.SentDatagrams;
    Entry.Traffic.SentBytes += Bytes;
    if (ReportRandom.chance(Load.ReportLoss))
      continue;
    ReportsInTransit[NextReport] = {EntryIndex, std::move(Datagram), Bytes};
    schedule(Ms + Load.HostDelayMs + Load.ReportDelayMs, event_kind::ReportArrival, NextReport++);
  }
  const double NextMs = std::max(toMs(Entry.View->nextWake(now())), Ms + MinExchangeIntervalMs);
  if (Entry.NextExchangeMs > Ms && Entry.NextExchangeMs <= NextMs)
    return;
  Entry.NextExchangeMs = NextMs;
  schedule(NextMs, event_kind::ReportsDue, EntryIndex);
}

void fleet_run::receiveReport(std::size_t Report) {
  const report_in_transit InTransit = std::move(ReportsInTransit.extract(Report).mapped());
  const std::size_t Receiver = EntryIndexes.at(InTransit.Datagram.To);
  if (Entries[Receiver].Down)
    return;
  ++Entries[Receiver].Traffic.ReceivedDatagrams;
  Entries[Receiver].Traffic.ReceivedBytes += InTransit.Bytes;
  Entries[Receiver].View->receive(InTransit.Datagram.Report,
                                  "entry-" + std::to_string(InTransit.SenderEntry), now());
  sendReports(Receiver);
}

void fleet_run::scheduleNextPoll(std::size_t EntryIndex) {
  entry_state &Entry = Entries[EntryIndex];
  double NextMs = Ms + MaxPollIntervalMs;
  if (const auto Wake = Entry.Policy.NextWake())
    NextMs = std::clamp(toMs(*Wake), Ms + 1e-6, NextMs);
  if (Entry.NextPollMs > Ms && Entry.NextPollMs <= NextMs)
    return;
  Entry.NextPollMs = NextMs;
  schedule(NextMs, event_kind::EntryPoll, EntryIndex);
}

void fleet_run::startAttempt(std::size_t Entry, const work_placement &Placement) {
  const auto Request = static_cast<std::size_t>(Placement.Request.value() - 1);
  request_state &State = Requests[Request];
  attempt_state Attempt;
  Attempt.Request = Request;
  Attempt.Entry = Entry;
  Attempt.Engine = engineIndex(Placement.Backend);
  for (const backend_key &Helper : Placement.Helpers)
    Attempt.Helpers.push_back(engineIndex(Helper));
  for (const memory_hold &Hold : Placement.Holds)
    Attempt.Holds.emplace_back(engineIndex(Hold.Backend), static_cast<double>(Hold.Amount.value()));
  Attempt.EarlierEvents = State.DeliveredEvents;
  Attempt.VisibleAfter = Placement.VisibleAfter;
  ++State.Record.Attempts;
  Attempt.Id = {{host_name("entry-" + std::to_string(Entry)), incarnation(1)},
                Placement.Request,
                State.Record.Attempts};
  Entries[Entry].Policy.AttemptStarted(Attempt.Id, makeWorkItem(Request), Placement.Backend, now());
  State.Attempt = Attempts.size();
  Attempts.push_back(std::move(Attempt));
  schedule(Ms + Load.HostDelayMs + connectMs(Entry), event_kind::AttemptArrival,
           Attempts.size() - 1);
}

/// Returns the time that the entry needs to connect to an engine, in addition to the host delay.
double fleet_run::connectMs(std::size_t Entry) const {
  return isCarried(Load, Entry) ? Load.Carried.ConnectMs : 0;
}

void fleet_run::deliverAttempt(std::size_t AttemptIndex) {
  const attempt_state Attempt = Attempts[AttemptIndex];
  if (Attempt.Finished)
    return;
  const request_record &Record = Requests[Attempt.Request].Record;
  const auto IsDown = [this](std::size_t Engine) { return Engines[Engine].Down; };
  if (IsDown(Attempt.Engine) || std::any_of(Attempt.Helpers.begin(), Attempt.Helpers.end(), IsDown))
    return schedule(Ms + FailureDetectionMs, event_kind::ConnectionBroken, AttemptIndex);
  engine_job Job;
  Job.JobId = AttemptIndex;
  // Events of earlier attempts are prefilled again with the prompt.
  Job.Prompt = Record.Prompt + Attempt.EarlierEvents * Load.TokensPerEvent;
  Job.Events = std::max<std::uint32_t>(1, Record.Events - Attempt.EarlierEvents);
  Job.Answer = Job.Events * Load.TokensPerEvent;
  Job.PrefillEngines = Attempt.Helpers.size() + 1;
  Job.Urgency = BaseUrgency + Load.Kinds[Record.Kind].Urgency;
  if (isCarried(Load, Attempt.Entry) &&
      carriedQueuePlace(durationFromMs(Load.Carried.ConnectMs), Attempt.VisibleAfter,
                        Attempt.Id.Request) == queue_place::Ahead)
    --Job.Urgency;
  for (const auto &[Engine, Tokens] : Attempt.Holds) {
    Job.ReservedElsewhere += Tokens;
    Engines[Engine].Model.reserveMemory(AttemptIndex, Tokens);
  }
  Engines[Attempt.Engine].Model.addJob(Job);
  for (const std::size_t Helper : Attempt.Helpers) {
    Engines[Helper].Model.addRemotePart(
        AttemptIndex, Job.Prompt / static_cast<double>(Job.PrefillEngines), Job.Prompt);
    startEnginePass(Helper);
  }
  startEnginePass(Attempt.Engine);
}

void fleet_run::startEnginePass(std::size_t EngineIndex) {
  engine_state &Engine = Engines[EngineIndex];
  if (!Engine.Down && Engine.Model.canStart())
    schedule(Ms + Engine.Model.startPass() * slownessOf(EngineIndex), event_kind::PassEnd,
             EngineIndex, Engine.Incarnation);
}

double fleet_run::slownessOf(std::size_t Engine) const {
  double Factor = 1;
  for (const slow_engines &Slow : Load.SlowEngines) {
    // Spread over the order in which placement uses the engines.
    const std::size_t Spacing = std::max<std::size_t>(1, Engines.size() / Slow.Count);
    const bool IsSlow = Engine % Spacing == Spacing / 2 && Engine / Spacing < Slow.Count;
    const bool IsNow = Ms >= Slow.FromSeconds * MsPerSecond && Ms < Slow.UntilSeconds * MsPerSecond;
    if (IsSlow && IsNow && Engines[Engine].Model.fill() >= Slow.FromFill)
      Factor *= Slow.Factor;
  }
  return Factor;
}

void fleet_run::finishEnginePass(std::size_t EngineIndex) {
  const pass_outcome Outcome = Engines[EngineIndex].Model.finishPass();
  for (const std::size_t Attempt : Outcome.PrefilledParts)
    schedule(Ms + Load.HostDelayMs, event_kind::PartPrefilled, Attempt);
  scheduleEvents(Outcome);
  startEnginePass(EngineIndex);
}

void fleet_run::scheduleEvents(const pass_outcome &Outcome) {
  for (const std::size_t Attempt : Outcome.Events)
    schedule(Ms + Load.HostDelayMs, event_kind::Event, Attempt);
  for (const std::size_t Attempt : Outcome.EndedJobs)
    schedule(Ms + Load.HostDelayMs, event_kind::AttemptEnd, Attempt);
}

void fleet_run::releaseEngines(const attempt_state &Attempt) {
  const auto AttemptIndex = static_cast<std::size_t>(&Attempt - Attempts.data());
  Engines[Attempt.Engine].Model.cancel(AttemptIndex);
  for (const std::size_t Helper : Attempt.Helpers)
    Engines[Helper].Model.cancel(AttemptIndex);
}

void fleet_run::failEngines(std::size_t OutageIndex) {
  const engine_outage &Outage = Load.EngineOutages[OutageIndex];
  const auto Count = static_cast<std::size_t>(Outage.Share * static_cast<double>(Engines.size()));
  for (std::size_t Draw = 0; Draw < Count; ++Draw) {
    const std::size_t EngineIndex = Random.below(Engines.size());
    engine_state &Engine = Engines[EngineIndex];
    if (Engine.Down)
      continue;
    Engine.Down = true;
    ++Engine.Incarnation;
    for (const std::size_t Attempt : Engine.Model.reset())
      schedule(Ms + FailureDetectionMs, event_kind::ConnectionBroken, Attempt);
    for (std::size_t Attempt = 0; Attempt < Attempts.size(); ++Attempt) {
      const std::vector<std::size_t> &Helpers = Attempts[Attempt].Helpers;
      const bool IsHelper = std::find(Helpers.begin(), Helpers.end(), EngineIndex) != Helpers.end();
      if (!Attempts[Attempt].Finished && Attempts[Attempt].Events == 0 && IsHelper)
        schedule(Ms + FailureDetectionMs, event_kind::ConnectionBroken, Attempt);
    }
    schedule(Ms + Outage.DurationSeconds * MsPerSecond, event_kind::EngineRestart, EngineIndex);
  }
}

void fleet_run::restartEngine(std::size_t EngineIndex) {
  engine_state &Engine = Engines[EngineIndex];
  Engine.Down = false;
  const backend_listing Previous = Engine.Listing;
  backend_listing OldListing = Previous;
  OldListing.State = listing_state::Gone;
  const instance_name Name("engine-" + std::to_string(EngineIndex) + "-" +
                           std::to_string(Engine.Incarnation));
  Engine.Listing.Instance = Name;
  Engine.Listing.Key = keyOf(Previous.Key.Address, {Name, {}});
  EngineIndexes[Engine.Listing.Key] = EngineIndex;
  for (entry_state &Entry : Entries) {
    Entry.Policy.UpdateBackend(OldListing);
    Entry.Policy.UpdateBackend(Engine.Listing);
  }
}

} // namespace pollenstall
