/** @file decision_thread.cpp The loop over the rings. */
#include "decision_thread_base.h"

#include "program/program.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

constexpr std::size_t ListCapacity = 256;
constexpr mono_duration LongestSleep = std::chrono::milliseconds(100);
/// Sleep while orders wait for room in the ring.
constexpr mono_duration FullRingSleep = std::chrono::milliseconds(1);

/// Between two looks at what this entry has under way: what is placed in between by two entries can
/// meet on one engine.
constexpr mono_duration LoadInterval = std::chrono::milliseconds(10);
/// Where nothing changes; well within the silence after which what was told counts no longer.
constexpr mono_duration LoadRepeat = std::chrono::milliseconds(250);

result<fleet_declaration, std::string> readOwnFormat(const std::string &Text) {
  auto Parsed = parseDeclaration(Text, "declaration");
  if (!succeeded(Parsed))
    return toText(errorOf(Parsed));
  return valueOf(std::move(Parsed));
}

std::int64_t wholeMillis(mono_duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

void logFailure(const attempt_failed &Failed) {
  logEvent(log_level::Warning, "attempt_failed",
           {{"attempt", toText(Failed.Attempt)},
            {"failure", std::string(attemptFailureText(Failed.Failure))},
            {"at_fault", Failed.AtFault.str()}});
}

void logLoss(const control_connection_lost &Lost) {
  logEvent(log_level::Warning, "control_lost",
           {{"why", std::string(controlLossReasonText(Lost.Reason))},
            {"part_bytes", static_cast<std::int64_t>(Lost.PartialMessageBytes)},
            {"since_message_ms", static_cast<std::int64_t>(Lost.SinceLastMessage.count())}});
}

void logStart(const start_attempt &Start) {
  std::string Helpers;
  for (const backend_key &Helper : Start.Helpers)
    Helpers += (Helpers.empty() ? "" : ",") + Helper.Address.str();
  logEvent(log_level::Info, "attempt_started",
           {{"attempt", toText(Start.Attempt)},
            {"backend", Start.Backend.Address.str()},
            {"instance", Start.Instance},
            {"helpers", Helpers},
            {"expected_ms", wholeMillis(Start.ExpectedFirstToken)}});
}

prometheus::Gauge &gauge(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add({});
}

} // namespace

decision_thread::decision_thread(decision_plan Wanted)
    : Plan(std::move(Wanted)), Events(Plan.RingCapacity), Lists(ListCapacity),
      CrashNews(ListCapacity), Orders(Plan.RingCapacity), Outbox(Orders),
      Seam(Plan.Self, Plan.Self.Incarnation.value(), Plan.Backends),
      OrphanCounter(prometheus::BuildCounter()
                        .Name("pollenstall_orphans_cancelled_total")
                        .Help("Attempts of dead owners that this entry asked engines to end")
                        .Register(*Plan.Registry)
                        .Add({})),
      QueueGauge(gauge(*Plan.Registry, "pollenstall_queued_requests",
                       "Requests that wait for a backend server")),
      LiveGauge(
          gauge(*Plan.Registry, "pollenstall_live_requests", "Requests that the dispatcher holds")),
      AbandonedGauge(gauge(*Plan.Registry, "pollenstall_abandoned_attempts",
                           "Attempts given up and not confirmed as ended")),
      ReadyGauge(gauge(*Plan.Registry, "pollenstall_ready", "1 where new requests are admitted")),
      RevisionGauge(gauge(*Plan.Registry, "pollenstall_declaration_revision",
                          "Revision of the declaration in use")),
      OutOfReachGauge(gauge(*Plan.Registry, "pollenstall_backends_out_of_reach",
                            "1 where this entry connects to no backend server")),
      WorkDatagramsGauge(gauge(*Plan.Registry, "pollenstall_work_datagrams_sent",
                               "Reports of work sent to other entries since the start")),
      WorkBytesGauge(gauge(*Plan.Registry, "pollenstall_work_bytes_sent",
                           "Their bytes, without the heads of UDP and IP")) {
  Events.onWake([this] { Gate.wake(); });
  Lists.onWake([this] { Gate.wake(); });
  CrashNews.onWake([this] { Gate.wake(); });
  if (!Plan.ReadDeclaration)
    Plan.ReadDeclaration = readOwnFormat;
}

decision_thread::~decision_thread() { stop(); }

void decision_thread::start() {
  Thread = std::thread([this] { run(); });
}

void decision_thread::stop() {
  Stopping = true;
  Gate.wake();
  if (Thread.joinable())
    Thread.join();
}

void decision_thread::beginShutdown(mono_duration Limit) {
  {
    const std::lock_guard<std::mutex> Lock(Guard);
    ShutdownWanted = Limit;
  }
  Gate.wake();
}

void decision_thread::run() {
  if (Plan.Fixed)
    useIndex(std::make_shared<const declaration_index>(*Plan.Fixed));
  while (!Stopping) {
    turn();
    Gate.sleepFor(untilNextWake(boot_clock::now()));
  }
}

void decision_thread::turn() {
  drainNews(boot_clock::now());
  // The clock is read after the requests were taken. Were it the other way round, those that waited
  // while the process was frozen would be admitted under a declaration whose lease is over, since
  // they come before the look at the lease. What is taken later waits for the next look.
  Events.drain([this](dispatch_event &&Event) { Batch.push_back(std::move(Event)); });
  const mono_time Now = boot_clock::now();
  updateReadiness(Now);
  for (const dispatch_event &Event : std::exchange(Batch, {})) {
    if (const auto *Failed = std::get_if<attempt_failed>(&Event))
      logFailure(*Failed);
    Seam.take(Event, Now);
  }
  for (dispatch_action &Action : Seam.step(Now))
    carryOut(std::move(Action));
  for (const backend_key &Engine : Seam.enginesToList(Now))
    Outbox.push(list_attempts{Engine});
  Outbox.flush();
  tellLoads(Now);
  logReach();
  publishGauges();
  answerDumps(Now);
}

void decision_thread::drainNews(mono_time Now) {
  if (Views)
    Views->drain([this, Now](membership_event &&Event) { Seam.take(Event, Now); });
  if (Share)
    Share->peerUpdates().drain(
        [this, Now](peer_work_update &&Others) { Seam.takeOthers(Others, Now); });
  Superseded = Seam.isSuperseded();
  if (Control)
    Control->drainEvents(
        [this, Now](control_link_event &&Event) { takeControlEvent(std::move(Event), Now); });
  Lists.drain([this, Now](attempts_listed &&Listed) { endOrphans(Listed, Now); });
  CrashNews.drain([this](crash_update &&News) {
    std::visit([this](auto &&One) { tellOfCrash(std::forward<decltype(One)>(One)); },
               std::move(News));
  });
  const std::lock_guard<std::mutex> Lock(Guard);
  if (ShutdownWanted)
    Seam.beginShutdown(Now, *std::exchange(ShutdownWanted, std::nullopt));
}

void decision_thread::takeControlEvent(control_link_event &&Event, mono_time Now) {
  std::visit(
      overloaded{
          [this](const declaration_received &Received) { takeDeclaration(Received); },
          [this](const declaration_announced &Newer) { Freshness.recordAnnounced(Newer.Revision); },
          [this](const lease_extended &Lease) { Freshness.extend(Lease.Revision, Lease.Until); },
          [this, Now](const claim_answered &Answer) { Seam.take(dispatch_event(Answer), Now); },
          [this, Now](const drains_changed &Drains) { Seam.useDrains(Drains.Backends, Now); },
          [this, Now](const backends_listed &Listed) { Seam.take(Listed, Now); },
          [this](const entries_listed &Listed) { takeEntries(Listed); },
          [this, Now](const suspects_listed &Listed) {
            Outbox.push(
                suspects_update{std::make_shared<const suspect_list>(Listed.Suspects, Now)});
          },
          [](const control_connection_lost &Lost) { logLoss(Lost); }},
      Event);
}

void decision_thread::takeDeclaration(const declaration_received &Received) {
  const offer_verdict Verdict = Freshness.offer(Received.Revision);
  if (Verdict == offer_verdict::Stale)
    return;
  if (Verdict == offer_verdict::Take) {
    const mono_time Begun = boot_clock::now();
    auto Parsed = Plan.ReadDeclaration(Received.Text);
    if (!succeeded(Parsed)) {
      // Not confirmed, so that the lease runs out: better unready than on an older declaration.
      ++BadDeclarations;
      logEvent(log_level::Error, "declaration_refused",
               {{"revision", static_cast<std::int64_t>(Received.Revision.value())},
                {"error", errorOf(Parsed)}});
      return;
    }
    if (Plan.RetryShare)
      valueOf(Parsed).Limits.RetryPercent =
          static_cast<std::uint32_t>(std::lround(*Plan.RetryShare * 100));
    useIndex(std::make_shared<const declaration_index>(valueOf(std::move(Parsed))));
    Freshness.markInUse(Received.Revision);
    RevisionGauge.Set(static_cast<double>(Received.Revision.value()));
    logEvent(log_level::Info, "declaration_in_use",
             {{"revision", static_cast<std::int64_t>(Received.Revision.value())},
              {"bytes", static_cast<std::int64_t>(Received.Text.size())},
              {"reading_ms", wholeMillis(boot_clock::now() - Begun)}});
  }
  Control->request(revision_confirmed{Received.Revision});
}

void decision_thread::takeEntries(const entries_listed &Listed) {
  if (Share) {
    entries_update Known;
    for (const served_entry &Entry : Listed.Entries)
      Known.Entries.push_back({Entry.WorkAddress, Entry.Domain});
    Share->commands().push(std::move(Known));
  }
  if (!Plan.RetryReserve)
    return;
  // Shared out evenly. A tenth stays back: for entries that restart and have forgotten what they
  // spent, and for requests that are counted here a moment before their caller counts them.
  constexpr double Used = 0.9;
  const double Entries = std::max<double>(1.0, static_cast<double>(Listed.Entries.size()));
  Seam.setRetryAllowance({*Plan.RetryReserve * Used / Entries, Plan.RetryWindow});
}

void decision_thread::tellOfCrash(crash_report &&Crash) {
  std::string Marks;
  for (const request_fingerprint &Mark : Crash.Fingerprints)
    Marks += (Marks.empty() ? "" : ",") + toText(Mark);
  logEvent(log_level::Warning, "backend_crashed",
           {{"backend", toText(Crash.Backend)}, {"requests", Marks}});
  // A server that has said that it leaves ends with what it has not finished.
  if (Control && !Seam.isLeaving(Crash.Backend))
    Control->request(std::move(Crash));
}

void decision_thread::tellOfCrash(suspect_cleared &&Cleared) {
  logEvent(log_level::Info, "suspect_cleared", {{"request", toText(Cleared.Fingerprint)}});
  if (Control)
    Control->request(Cleared);
}

void decision_thread::tellLoads(mono_time Now) {
  // A claim is told before it is acted upon, whatever was told a moment ago.
  const bool Claimed = Seam.claimsMade() != ToldClaims;
  if (!Share || (Now - LoadsToldAt < LoadInterval && !Claimed))
    return;
  ToldClaims = Seam.claimsMade();
  std::vector<work_load> Loads = Seam.ownLoads(Now);
  const bool Due = Now - LoadsToldAt >= LoadRepeat && !Loads.empty();
  if (!Due && !Claimed && !toldOtherwise(Loads, Now))
    return;
  LoadsToldAt = Now;
  ToldLoads = Loads;
  Share->commands().push(own_work_update{std::move(Loads), Claimed});
}

bool decision_thread::toldOtherwise(const std::vector<work_load> &Loads, mono_time Now) const {
  return !std::equal(Loads.begin(), Loads.end(), ToldLoads.begin(), ToldLoads.end(),
                     [&](const work_load &Load, const work_load &Told) {
                       return !needsUpdate(Told, LoadsToldAt, Load, Now, ShareTuning);
                     });
}

void decision_thread::useIndex(declaration_view View) {
  Declaration = std::move(View);
  Seam.useDeclaration(Declaration);
  Announced = false;
}

mono_time decision_thread::declarationUsableUntil() const {
  if (!Declaration)
    return mono_time::min();
  if (Plan.Fixed)
    return mono_time::max();
  // Before the first declaration every route and key would be refused as unknown.
  const bool Declared = Freshness.current() && *Freshness.current() > revision();
  const bool Awaits = Plan.Backends == backend_source::Control && !Declared;
  return Awaits ? mono_time::min() : Freshness.leaseEnd();
}

mono_time decision_thread::usableUntil() const {
  if (Seam.isSuperseded())
    return mono_time::min();
  return std::min(declarationUsableUntil(), Seam.viewsUsableUntil());
}

void decision_thread::updateReadiness(mono_time Now) {
  const mono_time ReadyUntil = usableUntil();
  Ready.set(ReadyUntil);
  const bool Turned = std::exchange(Usable, Now < ReadyUntil) != (Now < ReadyUntil);
  const mono_time Until = Plan.Fixed ? mono_time::max() : Freshness.leaseEnd();
  const bool Changed = Turned || (Usable && !Announced);
  const bool Extended = Usable && (Until != ToldUntil || Freshness.isBehind() != ToldLags);
  if (!Changed && !Extended)
    return;
  ToldUntil = Until;
  ToldLags = Freshness.isBehind();
  Outbox.push(declaration_in_force{Usable ? Declaration : nullptr, Until, ToldLags});
  if (!Changed)
    return;
  Seam.setReady(Usable);
  Announced = Usable;
  if (Turned)
    logEvent(log_level::Info, Usable ? "ready" : "unready");
}

void decision_thread::carryOut(dispatch_action &&Action) {
  std::visit(
      overloaded{[this](acquire_claim &&Claim) {
                   const std::chrono::milliseconds Lifetime = Claim.Lifetime;
                   const request_number Request = Claim.Request;
                   if (!Control || !Control->request(claim_requested{std::move(Claim), Lifetime}))
                     Seam.take(dispatch_event(claim_answered{Request, claim_status::Unavailable}),
                               boot_clock::now());
                   Gate.wake(); // The answer may have made actions of its own.
                 },
                 [this](settle_claim &&Claim) {
                   const std::chrono::milliseconds Lifetime = Claim.Lifetime;
                   if (Control && !Control->request(claim_settled{std::move(Claim), Lifetime}))
                     logEvent(log_level::Error, "claim_end_not_recorded");
                 },
                 [this](cancel_attempt &&Cancel) {
                   const bool TakesCancels = Seam.takesCancels(Cancel.Backend);
                   logEvent(log_level::Info, "attempt_cancelled",
                            {{"attempt", toText(Cancel.Attempt)},
                             {"backend", Cancel.Backend.Address.str()}});
                   Outbox.push(cancel_order{std::move(Cancel), TakesCancels});
                 },
                 [this](start_attempt &&Start) {
                   Start.Instance = Seam.instanceOf(Start.Backend);
                   logStart(Start);
                   Outbox.push(std::move(Start));
                 },
                 [this](auto &&Order) { Outbox.push(std::forward<decltype(Order)>(Order)); }},
      std::move(Action));
}

void decision_thread::endOrphans(const attempts_listed &Listed, mono_time Now) {
  for (const cancel_attempt &Orphan : Seam.orphansIn(Listed, Now)) {
    logEvent(log_level::Warning, "orphan_cancelled",
             {{"attempt", toText(Orphan.Attempt)}, {"backend", toText(Orphan.Backend)}});
    OrphanCounter.Increment();
    Outbox.push(cancel_order{Orphan, true});
  }
}

mono_duration decision_thread::untilNextWake(mono_time Now) const {
  if (Outbox.queued() > 0)
    return FullRingSleep;
  mono_duration Sleep = LongestSleep;
  if (const auto Wake = Seam.nextWake())
    Sleep = std::min(Sleep, *Wake - Now);
  return std::max(Sleep, mono_duration::zero());
}

void decision_thread::logReach() {
  if (ReachesNobody == Seam.reachesNoBackend())
    return;
  ReachesNobody = !ReachesNobody;
  OutOfReachGauge.Set(ReachesNobody ? 1.0 : 0.0);
  logEvent(log_level::Warning, ReachesNobody ? "backends_out_of_reach" : "backends_reached",
           {{"queued", static_cast<std::int64_t>(Seam.queued())}});
}

void decision_thread::publishGauges() {
  Abandoned = Seam.abandonedAttempts();
  QueueGauge.Set(static_cast<double>(Seam.queued()));
  LiveGauge.Set(static_cast<double>(Seam.liveRequests()));
  AbandonedGauge.Set(static_cast<double>(Seam.abandonedAttempts()));
  ReadyGauge.Set(Usable ? 1.0 : 0.0);
  if (!Share)
    return;
  const work_share_counts Counts = Share->counts();
  WorkDatagramsGauge.Set(static_cast<double>(Counts.SentDatagrams));
  WorkBytesGauge.Set(static_cast<double>(Counts.SentBytes));
}

void decision_thread::answerDumps(mono_time Now) {
  std::vector<std::promise<std::string>> Wanted;
  {
    const std::lock_guard<std::mutex> Lock(Guard);
    Wanted.swap(DumpsWanted);
  }
  for (std::promise<std::string> &Answer : Wanted)
    Answer.set_value(Seam.dump(Now));
}

std::optional<std::string> decision_thread::dump(std::chrono::milliseconds Limit) {
  std::promise<std::string> Answer;
  std::future<std::string> Waiting = Answer.get_future();
  {
    const std::lock_guard<std::mutex> Lock(Guard);
    DumpsWanted.push_back(std::move(Answer));
  }
  Gate.wake();
  if (Waiting.wait_for(Limit) != std::future_status::ready)
    return std::nullopt;
  return Waiting.get();
}

} // namespace pollenstall
