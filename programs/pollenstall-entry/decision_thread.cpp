/** @file decision_thread.cpp Event loop of the decision thread. */
#include "decision_thread_base.h"

#include "stall_log_func.h"

#include "program/program.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

constexpr std::size_t ListCapacity = 256;
constexpr mono_duration MaxSleep = std::chrono::milliseconds(100);
/// A longer time between two iterations means that the thread stood still.
constexpr mono_duration MaxIteration = std::chrono::milliseconds(300);
/// How long the thread sleeps if the ring of orders is full.
constexpr mono_duration FullRingSleep = std::chrono::milliseconds(1);

/// Minimum interval between checks of the work in flight at this entry. Within it two entries may
/// place work on the same engine without knowing of each other.
constexpr mono_duration LoadPublishInterval = std::chrono::milliseconds(10);
/// Interval between updates while nothing changes; well below the time after which peers ignore a
/// stale report.
constexpr mono_duration LoadRepublishInterval = std::chrono::milliseconds(250);

/// Interval between two updates of the metrics of retry budgets.
constexpr mono_duration RetryPublishInterval = std::chrono::seconds(1);

result<fleet_declaration, std::string> readTomlDeclaration(const std::string &Text) {
  auto Parsed = parseDeclaration(Text, "declaration");
  if (!succeeded(Parsed))
    return toText(errorOf(Parsed));
  return valueOf(std::move(Parsed));
}

/// Rounds down: the declared share must not be exceeded.
std::uint32_t percentOf(double Share) {
  constexpr double RoundingError = 1e-6;
  return static_cast<std::uint32_t>(std::floor(Share * 100 + RoundingError));
}

std::int64_t toMillis(mono_duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

void logFailure(const attempt_failed &Failed) {
  logEvent(log_level::Warning, "attempt_failed",
           {{"attempt", toText(Failed.Attempt)},
            {"failure", std::string(attemptFailureText(Failed.Failure))},
            {"at_fault", Failed.AtFault.str()}});
}

void logSilence(const attempt_silent &Silent) {
  logEvent(log_level::Info, "attempt_silent",
           {{"attempt", toText(Silent.Attempt)},
            {"cause", std::string(attemptFailureText(Silent.Cause))}});
}

void logControlLost(const control_connection_lost &Lost) {
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
            {"rate_limited", Start.Permit.isSet()},
            {"expected_ms", toMillis(Start.ExpectedFirstToken)}});
}

/// @param Attempt The attempt whose answer changed the limit; empty if another entry reported it.
void logRateLimit(rate_limit_change Change, const std::string &Backend,
                  std::optional<requests_per_second> Limit, const std::string &Attempt) {
  if (Change == rate_limit_change::None)
    return;
  logEvent(Change == rate_limit_change::Unreadable ? log_level::Warning : log_level::Info,
           "server_rate_limit",
           {{"backend", Backend},
            {"change", std::string(rateLimitChangeText(Change))},
            {"per_second", Limit ? std::to_string(Limit->value()) : std::string()},
            {"attempt", Attempt}});
}

void logPause(const server_notice &Notice) {
  if (std::holds_alternative<no_pause>(Notice.Pause))
    return;
  const auto *Pause = std::get_if<std::chrono::milliseconds>(&Notice.Pause);
  logEvent(Pause ? log_level::Info : log_level::Warning, "server_paused",
           {{"backend", toText(Notice.Backend)},
            {"readable", Pause != nullptr},
            {"ms", Pause ? static_cast<std::int64_t>(Pause->count()) : 0},
            {"attempt", toText(Notice.Attempt)}});
}

void logRetry(const retry_decision &Decision) {
  logEvent(log_level::Info, "retry_decided",
           {{"attempt", toText(Decision.After)},
            {"service", Decision.Service.str()},
            {"verdict", std::string(retryVerdictText(Decision.Verdict))},
            {"left", Decision.Left}});
}

prometheus::Gauge &gauge(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add({});
}

prometheus::Family<prometheus::Gauge> &gaugeFamily(prometheus::Registry &Registry, const char *Name,
                                                   const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry);
}

} // namespace

decision_thread::decision_thread(decision_options Requested)
    : DecisionOptions(std::move(Requested)), Events(DecisionOptions.RingCapacity),
      Lists(ListCapacity), CrashNews(ListCapacity), RateLimits(ListCapacity),
      ServerNotices(ListCapacity), EvacuationReports(ListCapacity),
      Orders(DecisionOptions.RingCapacity), Outbox(Orders), Clock(MaxIteration),
      Core(DecisionOptions.Self, DecisionOptions.Self.Incarnation.value(),
           DecisionOptions.Backends),
      Metrics(*DecisionOptions.Registry),
      OrphanCounter(prometheus::BuildCounter()
                        .Name("pollenstall_orphans_cancelled_total")
                        .Help("Attempts without a live owner that this entry asked engines to end")
                        .Register(*DecisionOptions.Registry)
                        .Add({})),
      QueueGauge(gauge(*DecisionOptions.Registry, "pollenstall_queued_requests",
                       "Requests that wait for a backend server")),
      LiveGauge(gauge(*DecisionOptions.Registry, "pollenstall_live_requests",
                      "Requests that the dispatcher holds")),
      AbandonedGauge(gauge(*DecisionOptions.Registry, "pollenstall_abandoned_attempts",
                           "Abandoned attempts that are not confirmed as ended")),
      ReadyGauge(gauge(*DecisionOptions.Registry, "pollenstall_ready",
                       "1 if new requests are admitted, else 0")),
      RevisionGauge(gauge(*DecisionOptions.Registry, "pollenstall_declaration_revision",
                          "Revision of the declaration in use")),
      OutOfReachGauge(gauge(*DecisionOptions.Registry, "pollenstall_backends_out_of_reach",
                            "1 if this entry can connect to no backend server, else 0")),
      UnevenServers(*DecisionOptions.Registry),
      LimitedServersGauge(gauge(*DecisionOptions.Registry, "pollenstall_rate_limited_servers",
                                "Backend servers that state a limit on requests")),
      ColdServersGauge(gauge(*DecisionOptions.Registry, "pollenstall_cold_servers",
                             "Backend servers that are cold and declare a rate for it")),
      ColdRequestsCounter(prometheus::BuildCounter()
                              .Name("pollenstall_cold_requests_total")
                              .Help("Permits for requests to cold backend servers used")
                              .Register(*DecisionOptions.Registry)
                              .Add({})),
      LimitedRequestsCounter(prometheus::BuildCounter()
                                 .Name("pollenstall_rate_limited_requests_total")
                                 .Help("Attempts started at backend servers that state a limit")
                                 .Register(*DecisionOptions.Registry)
                                 .Add({})),
      RetryFamily(prometheus::BuildCounter()
                      .Name("pollenstall_retry_decisions_total")
                      .Help("Decisions whether a further attempt may start, by service and verdict")
                      .Register(*DecisionOptions.Registry)),
      RetryReserveGauge(gauge(*DecisionOptions.Registry, "pollenstall_retry_reserve",
                              "This entry's part of the reserve of retries of all entries")),
      RetriesLeftFamily(gaugeFamily(*DecisionOptions.Registry, "pollenstall_retries_left",
                                    "Retries that this entry may start now, by service")),
      RetriesLentFamily(gaugeFamily(*DecisionOptions.Registry, "pollenstall_retries_lent",
                                    "Retries lent to other entries since the start")),
      RetriesBorrowedFamily(gaugeFamily(*DecisionOptions.Registry, "pollenstall_retries_borrowed",
                                        "Retries started on loans of other entries")),
      PermitDatagramsGauge(gauge(*DecisionOptions.Registry, "pollenstall_permit_datagrams_sent",
                                 "Datagrams about permits sent to other entries since the start")),
      WorkDatagramsGauge(gauge(*DecisionOptions.Registry, "pollenstall_work_datagrams_sent",
                               "Work report datagrams sent to other entries since the start")),
      WorkBytesGauge(gauge(*DecisionOptions.Registry, "pollenstall_work_bytes_sent",
                           "Bytes of the work report datagrams sent, without UDP and IP headers")) {
  Events.onWake([this] { WakeEvent.wake(); });
  Lists.onWake([this] { WakeEvent.wake(); });
  CrashNews.onWake([this] { WakeEvent.wake(); });
  RateLimits.onWake([this] { WakeEvent.wake(); });
  ServerNotices.onWake([this] { WakeEvent.wake(); });
  EvacuationReports.onWake([this] { WakeEvent.wake(); });
  if (!DecisionOptions.ReadDeclaration)
    DecisionOptions.ReadDeclaration = readTomlDeclaration;
  Core.setOrderOverEntries(DecisionOptions.OrderOverEntries);
  // Without control hosts there is no list of the entries that share the reserve.
  if (DecisionOptions.RetryReserve && !DecisionOptions.FixedDeclaration)
    Core.setRetryAllowance({*DecisionOptions.RetryReserve, DecisionOptions.RetryWindow},
                           boot_clock::now());
}

decision_thread::~decision_thread() { stop(); }

void decision_thread::setWorkShare(work_share &NewShare) {
  WorkShare = &NewShare;
  WorkShare->permitReplies().onWake([this] { WakeEvent.wake(); });
  WorkShare->retryMessages().onWake([this] { WakeEvent.wake(); });
}

void decision_thread::start() {
  Thread = std::thread([this] { run(); });
}

void decision_thread::stop() {
  Stopping = true;
  WakeEvent.wake();
  if (Thread.joinable())
    Thread.join();
}

void decision_thread::beginShutdown(mono_duration Limit) {
  {
    const std::lock_guard<std::mutex> Lock(Guard);
    PendingShutdown = Limit;
  }
  WakeEvent.wake();
}

void decision_thread::run() {
  if (DecisionOptions.FixedDeclaration)
    installDeclaration(
        std::make_shared<const declaration_index>(*DecisionOptions.FixedDeclaration));
  while (!Stopping) {
    noteStall();
    runOnce();
    WakeEvent.sleepFor(sleepDuration(boot_clock::now()));
  }
}

void decision_thread::noteStall() {
  if (const auto Stall = Clock.advance(boot_clock::now()))
    logStall("decisions", *Stall);
}

void decision_thread::runOnce() {
  drainInputs(boot_clock::now());
  // The clock is read after the requests are read from the ring. In the other order, requests that
  // waited while the process was frozen would be admitted under a declaration whose lease has
  // expired. Requests that arrive later wait for the next check of the lease.
  Events.drain([this](dispatch_event &&Event) { Batch.push_back(std::move(Event)); });
  const mono_time Now = boot_clock::now();
  updateReadiness(Now);
  for (const dispatch_event &Event : std::exchange(Batch, {})) {
    if (const auto *Failed = std::get_if<attempt_failed>(&Event))
      logFailure(*Failed);
    if (const auto *Silent = std::get_if<attempt_silent>(&Event))
      logSilence(*Silent);
    Core.handleEvent(Event, Now);
  }
  std::vector<dispatch_action> Actions = Core.step(Now);
  forwardEvacuations(); // Before the orders that may concern servers of these domains.
  for (dispatch_action &Action : Actions)
    execute(std::move(Action));
  forwardListings();
  for (const backend_key &Engine : Core.takeEnginesToList(Now))
    Outbox.push(list_attempts{Engine});
  Outbox.flush();
  reportLease(Now);
  reportColdServers(Now);
  sendPermitMessages(Now);
  sendRetryMessages(Now);
  publishLoads(Now);
  logReachability();
  if (UnevenServers.isDue(Now))
    UnevenServers.report(Core.unevenServers(Now), Now);
  reportRetries();
  publishRetryBudgets(Now);
  publishGauges();
  fulfilDumps(Now);
}

void decision_thread::drainInputs(mono_time Now) {
  if (MembershipEvents)
    MembershipEvents->drain(
        [this, Now](membership_event &&Event) { Core.handleEvent(Event, Now); });
  if (WorkShare)
    WorkShare->peerUpdates().drain(
        [this, Now](peer_work_update &&Others) { Core.updatePeerLoads(Others, Now); });
  Superseded = Core.isSuperseded();
  if (Control)
    Control->drainEvents(
        [this, Now](control_link_event &&Event) { handleControlEvent(std::move(Event), Now); });
  Lists.drain([this, Now](attempts_listed &&Listed) { cancelOrphans(Listed, Now); });
  CrashNews.drain([this](crash_update &&News) {
    std::visit(
        [this](auto &&CrashUpdate) {
          reportCrash(std::forward<decltype(CrashUpdate)>(CrashUpdate));
        },
        std::move(News));
  });
  if (WorkShare)
    WorkShare->permitReplies().drain(
        [this, Now](permit_reply &&Reply) { handlePermitReply(Reply, Now); });
  if (WorkShare)
    WorkShare->retryMessages().drain([this, Now](received_retry_message &&Received) {
      Core.receiveRetryMessage(Received, Now);
    });
  RateLimits.drain([this, Now](rate_limit_answer &&Answer) { handleRateLimit(Answer, Now); });
  ServerNotices.drain([this, Now](server_notice &&Notice) { handleNotice(Notice, Now); });
  EvacuationReports.drain([this](evacuations_in_use &&Report) { handleEvacuationsInUse(Report); });
  const std::lock_guard<std::mutex> Lock(Guard);
  if (PendingShutdown)
    Core.beginShutdown(Now, *std::exchange(PendingShutdown, std::nullopt));
}

void decision_thread::handleControlEvent(control_link_event &&Event, mono_time Now) {
  std::visit(
      overloaded{
          [this](const declaration_received &Received) { handleDeclaration(Received); },
          [this](const declaration_announced &Newer) {
            DeclarationLease.recordAnnounced(Newer.Revision);
          },
          [this, Now](const lease_extended &Lease) {
            DeclarationLease.extend(Lease.Revision, Lease.Until);
            if (shared_retry_budget *Retries = Core.sharedRetries())
              Retries->confirmContact(Lease.Until, Now);
          },
          [this, Now](const claim_answered &Answer) {
            Core.handleEvent(dispatch_event(Answer), Now);
          },
          [this, Now](const drains_changed &Drains) { Core.setDrains(Drains.Backends, Now); },
          [this, Now](const backends_listed &Listed) { Core.handleEvent(Listed, Now); },
          [this, Now](const entries_listed &Listed) { handleEntries(Listed, Now); },
          [this, Now](const suspects_listed &Listed) {
            Outbox.push(
                suspects_update{std::make_shared<const suspect_list>(Listed.Suspects, Now)});
          },
          [this, Now](const evacuations_changed &Changed) { handleEvacuations(Changed, Now); },
          [](const control_connection_lost &Lost) { logControlLost(Lost); }},
      Event);
}

void decision_thread::handleDeclaration(const declaration_received &Received) {
  const declaration_action Verdict = DeclarationLease.actionFor(Received.Revision);
  if (Verdict == declaration_action::Stale)
    return;
  if (Verdict == declaration_action::Take) {
    const mono_time ParseStart = boot_clock::now();
    auto Parsed = DecisionOptions.ReadDeclaration(Received.Text);
    if (!succeeded(Parsed)) {
      // Without a confirmation the lease expires: an unready entry is safer than one that uses an
      // older declaration.
      ++RejectedDeclarations;
      logEvent(log_level::Error, "declaration_refused",
               {{"revision", static_cast<std::int64_t>(Received.Revision.value())},
                {"error", errorOf(Parsed)}});
      return;
    }
    if (DecisionOptions.RetryShare)
      valueOf(Parsed).Limits.RetryPercent = percentOf(*DecisionOptions.RetryShare);
    installDeclaration(std::make_shared<const declaration_index>(valueOf(std::move(Parsed))));
    DeclarationLease.markInUse(Received.Revision);
    RevisionGauge.Set(static_cast<double>(Received.Revision.value()));
    logEvent(log_level::Info, "declaration_in_use",
             {{"revision", static_cast<std::int64_t>(Received.Revision.value())},
              {"bytes", static_cast<std::int64_t>(Received.Text.size())},
              {"reading_ms", toMillis(boot_clock::now() - ParseStart)}});
  }
  Control->request(confirm_revision{Received.Revision});
}

void decision_thread::handleRateLimit(const rate_limit_answer &Answer, mono_time Now) {
  const auto *Limit = std::get_if<requests_per_second>(&Answer.Stated);
  logRateLimit(Core.recordRateLimit(Answer, Now), toText(Answer.Backend),
               Limit ? std::optional(*Limit) : std::nullopt, toText(Answer.Attempt));
}

void decision_thread::handleNotice(const server_notice &Notice, mono_time Now) {
  if (const auto *Pause = std::get_if<std::chrono::milliseconds>(&Notice.Pause))
    Core.pauseBackend(Notice.Backend, *Pause, Now);
  logPause(Notice);
  if (Notice.Leaving && Core.markLeaving(Notice.Backend, Now))
    logEvent(log_level::Info, "server_leaving",
             {{"backend", toText(Notice.Backend)}, {"attempt", toText(Notice.Attempt)}});
}

void decision_thread::handlePermitReply(const permit_reply &Reply, mono_time Now) {
  logRateLimit(Core.receivePermitReply(Reply, Now), Core.backendText(Reply.Server), Reply.Limit,
               {});
}

/// The list of entries is sent again only when it changes, so the last one counts after a lapse.
void decision_thread::reportLease(mono_time Now) {
  if (!WorkShare || DecisionOptions.FixedDeclaration)
    return;
  const bool Leased = Now < DeclarationLease.leaseEnd();
  if (std::exchange(HadLease, Leased) == Leased)
    return;
  if (!Leased)
    WorkShare->commands().push(lease_ended{});
  else if (!LastEntries.Entries.empty())
    WorkShare->commands().push(entries_update(LastEntries));
}

void decision_thread::reportColdServers(mono_time Now) {
  const std::size_t Cold = Core.coldServers(Now);
  ColdServersGauge.Set(static_cast<double>(Cold));
  ColdRequestsCounter.Increment(static_cast<double>(
      Core.coldPermitsUsed() - std::exchange(ReportedColdRequests, Core.coldPermitsUsed())));
  // One event for each change of the number would flood the log while a service starts.
  if ((Cold == 0) == (ReportedCold == 0))
    return;
  ReportedCold = Cold;
  logEvent(log_level::Info, Cold > 0 ? "cold_servers" : "no_cold_servers",
           {{"count", static_cast<std::int64_t>(Cold)}});
}

void decision_thread::sendPermitMessages(mono_time Now) {
  std::vector<permit_message> Messages = Core.takePermitMessages(Now);
  if (WorkShare && !Messages.empty())
    WorkShare->commands().push(permit_messages{std::move(Messages)});
}

void decision_thread::sendRetryMessages(mono_time Now) {
  shared_retry_budget *Retries = Core.sharedRetries();
  if (!Retries)
    return;
  std::vector<retry_datagram> Datagrams = Retries->takeDatagrams(Now);
  if (WorkShare && !Datagrams.empty())
    WorkShare->commands().push(retry_datagrams{std::move(Datagrams)});
}

void decision_thread::forwardListings() {
  path_servers_update Update;
  for (const backend_listing &Listing : Core.takeListingChanges()) {
    if (Listing.State == listing_state::Gone)
      Update.Removed.push_back(Listing.Key);
    else
      Update.Added.push_back({Listing.Key, Listing.Service, Listing.Domain});
  }
  if (!Update.Added.empty() || !Update.Removed.empty())
    Outbox.push(std::move(Update));
}

void decision_thread::handleEntries(const entries_listed &Listed, mono_time Now) {
  if (WorkShare) {
    entries_update PeerEntries;
    tunnel_entries_update TunnelEntries;
    for (const served_entry &Entry : Listed.Entries) {
      PeerEntries.Entries.push_back({Entry.WorkAddress, Entry.Domain});
      TunnelEntries.Entries.push_back({Entry.WorkAddress, Entry.Domain});
    }
    LastEntries = PeerEntries;
    WorkShare->commands().push(std::move(PeerEntries));
    Outbox.push(std::move(TunnelEntries));
  }
  shareRetries(Listed, Now);
}

void decision_thread::shareRetries(const entries_listed &Listed, mono_time Now) {
  shared_retry_budget *Retries = Core.sharedRetries();
  if (!Retries)
    return;
  retry_sharers Sharers;
  Sharers.Count = Listed.Entries.size();
  if (WorkShare) {
    const std::string OwnAddress = WorkShare->address();
    for (const served_entry &Entry : Listed.Entries) {
      if (Entry.WorkAddress != OwnAddress)
        Sharers.Others.push_back(Entry.WorkAddress);
      Sharers.Rank += Entry.WorkAddress < OwnAddress ? 1 : 0;
    }
  }
  Retries->setEntries(std::move(Sharers), Now);
}

void decision_thread::reportCrash(crash_report &&Crash) {
  std::string Requests;
  std::string PromptParts;
  for (const request_fingerprint &Fingerprint : Crash.Fingerprints) {
    std::string &List = Fingerprint.isPromptPart() ? PromptParts : Requests;
    List += (List.empty() ? "" : ",") + toText(Fingerprint);
  }
  logEvent(
      log_level::Warning, "backend_crashed",
      {{"backend", toText(Crash.Backend)}, {"requests", Requests}, {"prompt_parts", PromptParts}});
  // A backend server that is leaving may end with unfinished work, which is no crash.
  if (Control && !Core.isLeaving(Crash.Backend))
    Control->request(std::move(Crash));
}

void decision_thread::reportCrash(suspect_cleared &&Cleared) {
  logEvent(log_level::Info, "suspect_cleared", {{"request", toText(Cleared.Fingerprint)}});
  if (Control)
    Control->request(Cleared);
}

void decision_thread::reportCrash(suspect_run_begun &&Run) {
  if (Control)
    Control->request(Run);
}

void decision_thread::publishLoads(mono_time Now) {
  // A claim on the capacity of an engine is published before it is used, however recent the last
  // update is.
  const bool Claimed = Core.claimsMade() != PublishedClaims;
  if (!WorkShare || (Now - LoadsPublishedAt < LoadPublishInterval && !Claimed))
    return;
  PublishedClaims = Core.claimsMade();
  std::vector<work_load> Loads = Core.ownLoads(Now);
  std::vector<waiting_load> Waiting = Core.ownWaiting(Now);
  const bool Due =
      Now - LoadsPublishedAt >= LoadRepublishInterval && (!Loads.empty() || !Waiting.empty());
  if (!Due && !Claimed && Waiting == PublishedWaiting && !loadsDiffer(Loads, Now))
    return;
  LoadsPublishedAt = Now;
  PublishedLoads = Loads;
  PublishedWaiting = Waiting;
  WorkShare->commands().push(own_work_update{std::move(Loads), std::move(Waiting), Claimed});
}

bool decision_thread::loadsDiffer(const std::vector<work_load> &Loads, mono_time Now) const {
  return !std::equal(Loads.begin(), Loads.end(), PublishedLoads.begin(), PublishedLoads.end(),
                     [&](const work_load &Load, const work_load &Published) {
                       return !needsUpdate(Published, LoadsPublishedAt, Load, Now, ShareTuning);
                     });
}

void decision_thread::installDeclaration(declaration_view View) {
  Declaration = std::move(View);
  Core.useDeclaration(Declaration);
  DeclarationSent = false;
}

mono_time decision_thread::declarationUsableUntil() const {
  if (!Declaration)
    return mono_time::min();
  if (DecisionOptions.FixedDeclaration)
    return mono_time::max();
  // Before the first declaration, every route and key would be refused as unknown, so nothing is
  // admitted.
  const bool Declared = DeclarationLease.current() && *DeclarationLease.current() > revision();
  const bool AwaitsFirstDeclaration =
      DecisionOptions.Backends == backend_source::Control && !Declared;
  return AwaitsFirstDeclaration ? mono_time::min() : DeclarationLease.leaseEnd();
}

mono_time decision_thread::admissionUntil() const {
  if (Core.isSuperseded())
    return mono_time::min();
  return std::min(declarationUsableUntil(), Core.viewsValidUntil());
}

void decision_thread::updateReadiness(mono_time Now) {
  const mono_time ReadyUntil = admissionUntil();
  Ready.set(ReadyUntil);
  const bool ReadinessChanged = std::exchange(Admitting, Now < ReadyUntil) != (Now < ReadyUntil);
  const mono_time Until =
      DecisionOptions.FixedDeclaration ? mono_time::max() : DeclarationLease.leaseEnd();
  Core.setLeaseEnd(Until);
  const bool Changed = ReadinessChanged || (Admitting && !DeclarationSent);
  // With a list of evacuations the relay sends nothing to most servers without a lease.
  const bool NeedsLease = Admitting || Core.evacuations().version();
  const bool LeaseOrStaleChanged =
      NeedsLease && (Until != SentLeaseEnd || DeclarationLease.isBehind() != SentStale);
  if (!Changed && !LeaseOrStaleChanged)
    return;
  SentLeaseEnd = Until;
  SentStale = DeclarationLease.isBehind();
  Outbox.push(declaration_in_force{Admitting ? Declaration : nullptr, Until, SentStale});
  if (!Changed)
    return;
  Core.setReady(Admitting);
  DeclarationSent = Admitting;
  if (ReadinessChanged)
    logEvent(log_level::Info, Admitting ? "ready" : "unready");
}

void decision_thread::execute(dispatch_action &&Action) {
  std::visit(
      overloaded{
          [this](acquire_claim &&Claim) {
            const std::chrono::milliseconds Lifetime = Claim.Lifetime;
            const request_number Request = Claim.Request;
            if (!Control || !Control->request(request_claim{std::move(Claim), Lifetime}))
              Core.handleEvent(dispatch_event(claim_answered{Request, claim_status::Unavailable}),
                               boot_clock::now());
            WakeEvent.wake(); // The answer may have caused further actions.
          },
          [this](settle_claim &&Claim) {
            const std::chrono::milliseconds Lifetime = Claim.Lifetime;
            if (Control && !Control->request(report_claim_outcome{std::move(Claim), Lifetime}))
              logEvent(log_level::Error, "claim_end_not_recorded");
          },
          [this](cancel_attempt &&Cancel) {
            const bool SupportsCancel = Core.supportsCancel(Cancel.Backend);
            logEvent(
                log_level::Info, "attempt_cancelled",
                {{"attempt", toText(Cancel.Attempt)}, {"backend", Cancel.Backend.Address.str()}});
            Outbox.push(cancel_order{std::move(Cancel), SupportsCancel});
          },
          [this](start_attempt &&Start) {
            Start.Instance = Core.instanceOf(Start.Backend);
            Start.MaxIdleConnections = Core.maxIdleConnections(Start.Backend);
            if (Start.Permit.isSet())
              LimitedRequestsCounter.Increment();
            logStart(Start);
            Outbox.push(std::move(Start));
          },
          [this](auto &&Order) { Outbox.push(std::forward<decltype(Order)>(Order)); }},
      std::move(Action));
}

void decision_thread::cancelOrphans(const attempts_listed &Listed, mono_time Now) {
  for (const cancel_attempt &Orphan : Core.findOrphans(Listed, Now)) {
    logEvent(log_level::Warning, "orphan_cancelled",
             {{"attempt", toText(Orphan.Attempt)}, {"backend", toText(Orphan.Backend)}});
    OrphanCounter.Increment();
    Outbox.push(cancel_order{Orphan, true});
  }
}

mono_duration decision_thread::sleepDuration(mono_time Now) const {
  if (Outbox.queued() > 0)
    return FullRingSleep;
  mono_duration Sleep = MaxSleep;
  if (const auto Wake = Core.nextWake())
    Sleep = std::min(Sleep, *Wake - Now);
  return std::max(Sleep, mono_duration::zero());
}

void decision_thread::logReachability() {
  if (NoBackendReachable == Core.reachesNoBackend())
    return;
  NoBackendReachable = !NoBackendReachable;
  OutOfReachGauge.Set(NoBackendReachable ? 1.0 : 0.0);
  logEvent(log_level::Warning, NoBackendReachable ? "backends_out_of_reach" : "backends_reached",
           {{"queued", static_cast<std::int64_t>(Core.queued())}});
}

void decision_thread::reportRetries() {
  for (const retry_decision &Decision : Core.takeRetryDecisions()) {
    logRetry(Decision);
    RetryFamily
        .Add({{"service", Decision.Service.str()},
              {"verdict", std::string(retryVerdictText(Decision.Verdict))}})
        .Increment();
  }
}

void decision_thread::publishRetryBudgets(mono_time Now) {
  shared_retry_budget *Retries = Core.sharedRetries();
  if (!Retries || Now - RetryBudgetsPublishedAt < RetryPublishInterval)
    return;
  RetryBudgetsPublishedAt = Now;
  const retry_amount Part = Retries->part(Now);
  RetryReserveGauge.Set(Part);
  // A list comes with each entry that connects to a new leader, so the lists are not logged.
  if (std::exchange(LoggedRetryPart, Part) != Part)
    logEvent(log_level::Info, "retry_reserve",
             {{"entries", static_cast<std::int64_t>(Retries->entries(Now))}, {"reserve", Part}});
  for (const retry_budget_status &Status : Retries->status(Now)) {
    const prometheus::Labels Labels{{"service", Status.Service.str()}};
    RetriesLeftFamily.Add(Labels).Set(Status.Available);
    RetriesLentFamily.Add(Labels).Set(Status.Lent);
    RetriesBorrowedFamily.Add(Labels).Set(Status.Borrowed);
  }
}

void decision_thread::publishGauges() {
  Abandoned = Core.abandonedAttempts();
  QueueGauge.Set(static_cast<double>(Core.queued()));
  LiveGauge.Set(static_cast<double>(Core.liveRequests()));
  AbandonedGauge.Set(static_cast<double>(Core.abandonedAttempts()));
  ReadyGauge.Set(Admitting ? 1.0 : 0.0);
  countEvacuatedClaims();
  LimitedServersGauge.Set(static_cast<double>(Core.rateLimitedServers()));
  if (!WorkShare)
    return;
  const work_share_counts Counts = WorkShare->counts();
  WorkDatagramsGauge.Set(static_cast<double>(Counts.SentDatagrams));
  WorkBytesGauge.Set(static_cast<double>(Counts.SentBytes));
  PermitDatagramsGauge.Set(static_cast<double>(Counts.PermitDatagrams));
}

void decision_thread::fulfilDumps(mono_time Now) {
  std::vector<std::promise<std::string>> Requested;
  {
    const std::lock_guard<std::mutex> Lock(Guard);
    Requested.swap(PendingDumps);
  }
  for (std::promise<std::string> &Answer : Requested)
    Answer.set_value(Core.dump(Now));
}

std::optional<std::string> decision_thread::dump(std::chrono::milliseconds Limit) {
  std::promise<std::string> Answer;
  std::future<std::string> Waiting = Answer.get_future();
  {
    const std::lock_guard<std::mutex> Lock(Guard);
    PendingDumps.push_back(std::move(Answer));
  }
  WakeEvent.wake();
  if (Waiting.wait_for(Limit) != std::future_status::ready)
    return std::nullopt;
  return Waiting.get();
}

} // namespace pollenstall
