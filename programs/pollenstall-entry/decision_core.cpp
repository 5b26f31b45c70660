/** @file decision_core.cpp Forwards events and decisions between dispatcher and scheduler or
 * placer. */
#include "decision_core_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

dispatcher buildDispatcher(process_key Self, std::uint64_t Seed, dispatcher_callbacks Callbacks) {
  auto Built = dispatcher_builder()
                   .process(std::move(Self))
                   .limits({})
                   .seed(Seed)
                   .callbacks(std::move(Callbacks))
                   .build();
  requireInvariant(succeeded(Built), "the dispatcher builder has every required part");
  return valueOf(std::move(Built));
}

/// Backend servers announce themselves about once a second, so within this time a new control
/// leader has received an announcement of each of them.
constexpr mono_duration NewLeaderGrace = std::chrono::milliseconds(3000);

attempt_report reportOf(const attempt_result &Ending) {
  attempt_report Report;
  Report.Completed = Ending.End == attempt_end::Completed;
  Report.Failure = Ending.Failure;
  Report.PromptTokens = Ending.PromptTokens;
  Report.AnswerTokens = Ending.AnswerTokens;
  Report.CachedTokens = Ending.CachedTokens;
  Report.AtFault = Ending.AtFault;
  Report.ServerError = Ending.ServerError;
  return Report;
}

} // namespace

decision_core::decision_core(const process_key &Self, std::uint64_t Seed,
                             backend_source ConfiguredSource)
    : Source(ConfiguredSource), Reaper(Self, {}),
      Scheduler(scheduler_builder().seed(Seed).host(Self.Host).build()), Placer(Self.Host, Seed),
      Directory(NewLeaderGrace), Dispatcher(buildDispatcher(Self, Seed, makeCallbacks())) {}

dispatcher_callbacks decision_core::makeCallbacks() {
  dispatcher_callbacks Callbacks;
  Callbacks.Submit = [this](const work_item &WorkItem, mono_time Now) {
    return submit(WorkItem, Now);
  };
  Callbacks.Withdraw = [this](request_number Request) { withdraw(Request); };
  Callbacks.AttemptStarted = [this](const started_attempt &Start, mono_time Now) {
    onAttemptStarted(Start, Now);
  };
  Callbacks.AttemptAnswering = [this](const attempt_id &Attempt, mono_time Now) {
    onAttemptAnswering(Attempt, Now);
  };
  Callbacks.AttemptAdvanced = [this](const attempt_id &Attempt, std::uint64_t Events,
                                     mono_time Now) {
    if (usesPlacer())
      Placer.attemptAdvanced(Attempt, Events, Now);
    else
      Scheduler.attemptProgressed(Attempt, Events, Now);
  };
  Callbacks.AttemptAbandoned = [this](const attempt_id &Attempt,
                                      std::optional<attempt_failure> Failure, mono_time Now) {
    if (Failure)
      withPolicy([&](auto &Policy) { Policy.attemptFailed(Attempt, *Failure, Now); });
  };
  Callbacks.AttemptEnded = [this](const attempt_result &Ending, mono_time Now) {
    onAttemptEnded(Ending, Now);
  };
  Callbacks.RetryDecided = [this](const retry_decision &Decision) {
    RetryDecisions.push_back(Decision);
  };
  Callbacks.GroupsFor = [this](const request_facts &Facts) { return groupsFor(Facts); };
  Callbacks.SupportsResume = [this](const backend_key &Backend) {
    const auto Found = Backends.find(Backend);
    return Found != Backends.end() && Found->second.Announcement.Capabilities.Resumes &&
           !Evacuations.isOut(Backend);
  };
  return Callbacks;
}

std::variant<done, work_refusal> decision_core::submit(const work_item &WorkItem, mono_time Now) {
  PollPending = true;
  auto Submitted = withPolicy([&](auto &Policy) { return Policy.submit(WorkItem, Now); });
  if (succeeded(Submitted))
    Waiting.insert_or_assign(WorkItem.Request, WorkItem);
  return Submitted;
}

void decision_core::withdraw(request_number Request) {
  Waiting.erase(Request);
  withPolicy([&](auto &Policy) { Policy.withdraw(Request); });
}

void decision_core::onAttemptAnswering(const attempt_id &Attempt, mono_time Now) {
  PollPending = true;
  withPolicy([&](auto &Policy) { Policy.attemptAnswering(Attempt, Now); });
}

std::vector<candidate_group> decision_core::groupsFor(const request_facts &Facts) const {
  if (!Declaration)
    return {};
  if (!Facts.Services.empty()) {
    std::vector<candidate_group> Shares;
    for (const auto &[Service, Weight] : Facts.Services)
      Shares.push_back({group_name(Service.str()), Weight});
    return Shares;
  }
  const selector_input Input{Facts.Service, Facts.Model, Facts.Account, Facts.Headers,
                             Facts.Prompt};
  std::vector<candidate_group> Groups;
  if (const selector_declaration *Selector = Declaration->select(Input))
    for (const group_share &Share : Selector->Groups)
      Groups.push_back({Share.Group, Share.Weight});
  return Groups;
}

void decision_core::onAttemptStarted(const started_attempt &Start, mono_time Now) {
  const auto Found = Waiting.find(Start.Request);
  requireInvariant(Found != Waiting.end(), "an attempt starts only for submitted work");
  const work_item WorkItem = std::move(Found->second);
  Waiting.erase(Found);
  withPolicy(
      [&](auto &Policy) { Policy.attemptStarted(Start.Attempt, WorkItem, Start.Backend, Now); });
}

void decision_core::onAttemptEnded(const attempt_result &Ending, mono_time Now) {
  PollPending = true;
  withPolicy([&](auto &Policy) { Policy.attemptEnded(Ending.Attempt, reportOf(Ending), Now); });
}

void decision_core::useDeclaration(declaration_view View) {
  Declaration = std::move(View);
  withPolicy([&](auto &Policy) { Policy.applyDeclaration(Declaration->declaration()); });
  Dispatcher.applyLimits(Declaration->declaration().Limits);
  PollPending = true;
}

backend_view decision_core::withDrain(backend_view View) const {
  const backend_key &Key = View.Announcement.Key;
  const bool Drains = Drained.contains(Key.Address) || SaidLeaving.contains(Key);
  if (Drains && View.Status == backend_status::Active)
    View.Status = backend_status::Leaving;
  return View;
}

void decision_core::setDrains(const std::vector<backend_address> &Addresses, mono_time Now) {
  Drained = std::set<backend_address>(Addresses.begin(), Addresses.end());
  for (const auto &[Key, View] : Backends)
    Scheduler.updateBackend(withDrain(View), Now);
  PollPending = true;
}

void decision_core::onBackendChanged(const backend_view &View, mono_time Now) {
  const backend_key &Key = View.Announcement.Key;
  const auto Previous = Backends.find(Key);
  const bool WasAlreadyLost =
      Previous != Backends.end() && Previous->second.Status == backend_status::Lost;
  Backends.insert_or_assign(Key, View);
  recordDomain(Key, View.Announcement.Domain);
  Scheduler.updateBackend(withDrain(View), Now);
  Reaper.addEngine(View.Announcement);
  if (View.Status == backend_status::Lost && !WasAlreadyLost)
    Dispatcher.backendLost(Key, Now);
  PollPending = true;
}

void decision_core::onBackendRemoved(const backend_key &Backend, mono_time Now) {
  Dispatcher.backendGone(Backend, Now);
  Scheduler.removeBackend(Backend, Now);
  Reaper.removeEngine(Backend);
  Backends.erase(Backend);
  Evacuations.removeServer(Backend);
  SaidLeaving.erase(Backend);
  PollPending = true;
}

void decision_core::handleEvent(const membership_event &Event, mono_time Now) {
  std::visit(
      overloaded{[this, Now](const backend_changed &Change) { onBackendChanged(Change.View, Now); },
                 [this, Now](const backend_gone &Gone) { onBackendRemoved(Gone.Key, Now); },
                 [this](const views_fresh &Fresh) { FreshUntil = Fresh.Until; },
                 [this](const superseded &) { Superseded = true; },
                 [this, Now](const host_changed &Change) { Reaper.updateHost(Change.View, Now); }},
      Event);
}

void decision_core::handleEvent(const backends_listed &Listed, mono_time Now) {
  const std::vector<backend_listing> Changes = Listed.IsFullList
                                                   ? Directory.applyFullList(Listed.Listings, Now)
                                                   : Directory.applyUpdates(Listed.Listings, Now);
  for (const backend_listing &Listing : Changes)
    onListingChanged(Listing, Now);
}

void decision_core::onListingChanged(const backend_listing &Listing, mono_time Now) {
  PollPending = true;
  ListingChanges.push_back(Listing);
  if (Listing.State != listing_state::Gone) {
    recordDomain(Listing.Key, Listing.Domain);
    Placer.updateBackend(Listing);
    return Placer.updateCold(Listing, Now);
  }
  Evacuations.removeServer(Listing.Key);
  Dispatcher.backendGone(Listing.Key, Now);
  Placer.removeBackend(Listing.Key);
  Placer.permits().remove(Listing.Key.Incarnation);
}

rate_limit_change decision_core::recordRateLimit(const rate_limit_answer &Answer, mono_time Now) {
  // The server's end may be known before its last answers arrive.
  if (!Placer.findBackend(Answer.Backend.Incarnation))
    return rate_limit_change::None;
  return Placer.permits().record(Answer, Now);
}

void decision_core::pauseBackend(const backend_key &Backend, std::chrono::milliseconds Pause,
                                 mono_time Now) {
  PollPending = true;
  withPolicy([&](auto &Policy) { Policy.pauseBackend(Backend, Pause, Now); });
}

bool decision_core::markLeaving(const backend_key &Backend, mono_time Now) {
  if (usesPlacer()) {
    const std::vector<backend_listing> Changes = Directory.markLeaving(Backend);
    for (const backend_listing &Listing : Changes)
      onListingChanged(Listing, Now);
    return !Changes.empty();
  }
  const auto Found = Backends.find(Backend);
  if (Found == Backends.end() || !SaidLeaving.insert(Backend).second)
    return false;
  Scheduler.updateBackend(withDrain(Found->second), Now);
  PollPending = true;
  return true;
}

rate_limit_change decision_core::receivePermitReply(const permit_reply &Reply, mono_time Now) {
  if (!Placer.findBackend(Reply.Server))
    return rate_limit_change::None;
  PollPending = true;
  return Placer.permits().receive(Reply, Now);
}

std::string decision_core::backendText(incarnation Server) const {
  const backend_key *Backend = Placer.findBackend(Server);
  return Backend ? toText(*Backend) : std::to_string(Server.value());
}

bool decision_core::isLeaving(const backend_key &Backend) const {
  if (usesPlacer()) {
    const backend_listing *Listing = Directory.find(Backend);
    return Listing && Listing->State == listing_state::Leaving;
  }
  const auto Found = Backends.find(Backend);
  return Found != Backends.end() && Found->second.Status == backend_status::Leaving;
}

std::string decision_core::instanceOf(const backend_key &Backend) const {
  const backend_listing *Listing = Directory.find(Backend);
  return Listing ? Listing->Instance.str() : std::string();
}

mono_time decision_core::viewsValidUntil() const {
  // The directory has no age limit; without a full list nothing may be placed.
  if (usesPlacer())
    return Directory.hasFullList() ? mono_time::max() : mono_time::min();
  // With stale views, new work could go to a backend server that has announced that it is leaving.
  return FreshUntil;
}

void decision_core::handleEvent(const dispatch_event &Event, mono_time Now) {
  Dispatcher.handle(Event, Now);
}

std::vector<cancel_attempt> decision_core::findOrphans(const attempts_listed &Listed,
                                                       mono_time Now) {
  std::vector<cancel_attempt> Orphans;
  for (const attempt_id &Attempt : Listed.Attempts)
    if (Reaper.isOrphan(Attempt, Now))
      Orphans.push_back({Attempt, Listed.Backend});
  return Orphans;
}

void decision_core::setReady(bool Ready) { Dispatcher.setReady(Ready); }

void decision_core::beginShutdown(mono_time Now, mono_duration Limit) {
  Dispatcher.beginShutdown(Now, Limit);
}

void decision_core::place(mono_time Now) {
  PollPending = false;
  const poll_outcome Outcome = withPolicy([&](auto &Policy) { return Policy.poll(Now); });
  for (const work_placement &Placement : Outcome.Placements)
    Dispatcher.place(Placement, Now);
  for (const work_expiry &Expiry : Outcome.Expiries) {
    Waiting.erase(Expiry.Request);
    Dispatcher.expire(Expiry, Now);
  }
}

std::vector<dispatch_action> decision_core::step(mono_time Now) {
  for (const backend_listing &Listing : Directory.advance(Now))
    onListingChanged(Listing, Now);
  Dispatcher.advance(Now);
  const auto Wake = nextPoll();
  PlacementsHeld = !mayPlace(Now);
  if (!PlacementsHeld && (PollPending || (Wake && *Wake <= Now)))
    place(Now);
  return Dispatcher.takeActions();
}

std::size_t decision_core::queued() const {
  return withPolicy([](auto &Policy) { return Policy.queued(); });
}

std::optional<mono_time> decision_core::nextPoll() const {
  return withPolicy([&](auto &Policy) { return Policy.nextWake(); });
}

std::optional<mono_time> decision_core::nextWake() const {
  std::optional<mono_time> Next = Dispatcher.nextWake();
  const std::optional<mono_time> Poll = PlacementsHeld ? std::nullopt : nextPoll();
  for (const auto &Other : {Poll, Placer.permits().nextWake()})
    if (Other && (!Next || *Other < *Next))
      Next = Other;
  return Next;
}

bool decision_core::supportsCancel(const backend_key &Backend) const {
  // Backend servers of the directory end an attempt when its connection closes.
  if (usesPlacer())
    return false;
  const auto Found = Backends.find(Backend);
  return Found == Backends.end() || Found->second.Announcement.Capabilities.Model;
}

} // namespace pollenstall
