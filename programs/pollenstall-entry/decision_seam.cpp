/** @file decision_seam.cpp What dispatcher and scheduler tell each other. */
#include "decision_seam_base.h"

#include "dispatch_dump_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

dispatcher buildDispatcher(process_key Self, std::uint64_t Seed, dispatcher_callbacks Hooks) {
  auto Built = dispatcher_builder()
                   .process(std::move(Self))
                   .limits({})
                   .seed(Seed)
                   .callbacks(std::move(Hooks))
                   .build();
  requireInvariant(succeeded(Built), "the dispatcher has all it needs");
  return valueOf(std::move(Built));
}

/// Backend servers announce themselves about once a second: a new leader has heard of all by then.
constexpr mono_duration NewLeaderGrace = std::chrono::milliseconds(3000);

attempt_report reportOf(const attempt_result &Ending) {
  attempt_report Report;
  Report.Completed = Ending.End == attempt_end::Completed;
  Report.Failure = Ending.Failure;
  Report.PromptTokens = Ending.PromptTokens;
  Report.AnswerTokens = Ending.AnswerTokens;
  Report.CachedTokens = Ending.CachedTokens;
  Report.AtFault = Ending.AtFault;
  return Report;
}

} // namespace

decision_seam::decision_seam(const process_key &Self, std::uint64_t Seed, backend_source Known)
    : Source(Known), Patrol(Self, {}),
      Scheduler(scheduler_builder().seed(Seed).host(Self.Host).build()), Placer(Self.Host, Seed),
      Directory(NewLeaderGrace), Dispatcher(buildDispatcher(Self, Seed, hooks())) {}

dispatcher_callbacks decision_seam::hooks() {
  dispatcher_callbacks Hooks;
  Hooks.Submit = [this](const work_item &Item, mono_time Now) { return submit(Item, Now); };
  Hooks.Withdraw = [this](request_number Request) { withdraw(Request); };
  Hooks.AttemptStarted = [this](const started_attempt &Start, mono_time Now) {
    noteStart(Start, Now);
  };
  Hooks.AttemptAnswering = [this](const attempt_id &Attempt, mono_time Now) {
    noteAnswering(Attempt, Now);
  };
  Hooks.AttemptAdvanced = [this](const attempt_id &Attempt, std::uint64_t Events, mono_time Now) {
    Scheduler.attemptProgressed(Attempt, Events, Now);
  };
  Hooks.AttemptAbandoned = [this](const attempt_id &Attempt, std::optional<attempt_failure> Failure,
                                  mono_time Now) {
    if (Failure)
      withPolicy([&](auto &Policy) { Policy.attemptFailed(Attempt, *Failure, Now); });
  };
  Hooks.AttemptEnded = [this](const attempt_result &Ending, mono_time Now) {
    noteEnd(Ending, Now);
  };
  Hooks.GroupsFor = [this](const request_facts &Facts) { return groupsFor(Facts); };
  Hooks.Resumes = [this](const backend_key &Backend) {
    const auto Found = Backends.find(Backend);
    return Found != Backends.end() && Found->second.Announcement.Capabilities.Resumes;
  };
  return Hooks;
}

std::variant<done, work_refusal> decision_seam::submit(const work_item &Item, mono_time Now) {
  PollDue = true;
  auto Taken = withPolicy([&](auto &Policy) { return Policy.submit(Item, Now); });
  if (succeeded(Taken))
    Waiting.insert_or_assign(Item.Request, Item);
  return Taken;
}

void decision_seam::withdraw(request_number Request) {
  Waiting.erase(Request);
  withPolicy([&](auto &Policy) { Policy.withdraw(Request); });
}

void decision_seam::noteAnswering(const attempt_id &Attempt, mono_time Now) {
  PollDue = true;
  withPolicy([&](auto &Policy) { Policy.attemptAnswering(Attempt, Now); });
}

std::vector<candidate_group> decision_seam::groupsFor(const request_facts &Facts) const {
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

void decision_seam::noteStart(const started_attempt &Start, mono_time Now) {
  const auto Found = Waiting.find(Start.Request);
  requireInvariant(Found != Waiting.end(), "an attempt starts for work that was submitted");
  const work_item Item = std::move(Found->second);
  Waiting.erase(Found);
  withPolicy([&](auto &Policy) { Policy.attemptStarted(Start.Attempt, Item, Start.Backend, Now); });
}

void decision_seam::noteEnd(const attempt_result &Ending, mono_time Now) {
  PollDue = true;
  withPolicy([&](auto &Policy) { Policy.attemptEnded(Ending.Attempt, reportOf(Ending), Now); });
}

void decision_seam::useDeclaration(declaration_view View) {
  Declaration = std::move(View);
  withPolicy([&](auto &Policy) { Policy.applyDeclaration(Declaration->declaration()); });
  Dispatcher.applyLimits(Declaration->declaration().Limits);
  PollDue = true;
}

backend_view decision_seam::withDrain(backend_view View) const {
  const bool Drains = Drained.contains(View.Announcement.Key.Address);
  if (Drains && View.Standing == backend_standing::Active)
    View.Standing = backend_standing::Leaving;
  return View;
}

void decision_seam::useDrains(const std::vector<backend_address> &Addresses, mono_time Now) {
  Drained = std::set<backend_address>(Addresses.begin(), Addresses.end());
  for (const auto &[Key, View] : Backends)
    Scheduler.updateBackend(withDrain(View), Now);
  PollDue = true;
}

void decision_seam::noteBackend(const backend_view &View, mono_time Now) {
  const backend_key &Key = View.Announcement.Key;
  const auto Before = Backends.find(Key);
  const bool WasLost =
      Before != Backends.end() && Before->second.Standing == backend_standing::Lost;
  Backends.insert_or_assign(Key, View);
  Scheduler.updateBackend(withDrain(View), Now);
  Patrol.addEngine(View.Announcement);
  if (View.Standing == backend_standing::Lost && !WasLost)
    Dispatcher.backendLost(Key, Now);
  PollDue = true;
}

void decision_seam::noteGone(const backend_key &Backend, mono_time Now) {
  Dispatcher.backendGone(Backend, Now);
  Scheduler.removeBackend(Backend, Now);
  Patrol.removeEngine(Backend);
  Backends.erase(Backend);
  PollDue = true;
}

void decision_seam::take(const membership_event &Event, mono_time Now) {
  std::visit(
      overloaded{[this, Now](const backend_changed &Change) { noteBackend(Change.View, Now); },
                 [this, Now](const backend_gone &Gone) { noteGone(Gone.Key, Now); },
                 [this](const views_fresh &Fresh) { FreshUntil = Fresh.Until; },
                 [this](const superseded &) { Superseded = true; },
                 [this, Now](const host_changed &Change) { Patrol.updateHost(Change.View, Now); }},
      Event);
}

void decision_seam::take(const backends_listed &Listed, mono_time Now) {
  const std::vector<backend_listing> Changes =
      Listed.IsFullList ? Directory.takeAll(Listed.Listings, Now) : Directory.take(Listed.Listings);
  for (const backend_listing &Listing : Changes)
    noteListing(Listing, Now);
}

void decision_seam::noteListing(const backend_listing &Listing, mono_time Now) {
  PollDue = true;
  if (Listing.State != listing_state::Gone)
    return Placer.updateBackend(Listing);
  Dispatcher.backendGone(Listing.Key, Now);
  Placer.removeBackend(Listing.Key);
}

bool decision_seam::isLeaving(const backend_key &Backend) const {
  if (usesPlacer()) {
    const backend_listing *Listing = Directory.find(Backend);
    return Listing && Listing->State == listing_state::Leaving;
  }
  const auto Found = Backends.find(Backend);
  return Found != Backends.end() && Found->second.Standing == backend_standing::Leaving;
}

std::string decision_seam::instanceOf(const backend_key &Backend) const {
  const backend_listing *Listing = Directory.find(Backend);
  return Listing ? Listing->Instance.str() : std::string();
}

mono_time decision_seam::viewsUsableUntil() const {
  // On old views a server that has said it leaves could still be given work.
  if (usesPlacer())
    return Directory.told() ? mono_time::max() : mono_time::min();
  return FreshUntil;
}

void decision_seam::take(const dispatch_event &Event, mono_time Now) {
  Dispatcher.handle(Event, Now);
}

std::vector<cancel_attempt> decision_seam::orphansIn(const attempts_listed &Listed, mono_time Now) {
  std::vector<cancel_attempt> Orphans;
  for (const attempt_id &Attempt : Listed.Attempts)
    if (Patrol.isOrphan(Attempt, Now))
      Orphans.push_back({Attempt, Listed.Backend});
  return Orphans;
}

void decision_seam::setReady(bool Ready) { Dispatcher.setReady(Ready); }

void decision_seam::beginShutdown(mono_time Now, mono_duration Limit) {
  Dispatcher.beginShutdown(Now, Limit);
}

void decision_seam::place(mono_time Now) {
  PollDue = false;
  const poll_outcome Outcome = withPolicy([&](auto &Policy) { return Policy.poll(Now); });
  for (const work_placement &Placement : Outcome.Placements)
    Dispatcher.place(Placement, Now);
  for (const work_expiry &Expiry : Outcome.Expiries) {
    Waiting.erase(Expiry.Request);
    Dispatcher.expire(Expiry, Now);
  }
}

std::vector<dispatch_action> decision_seam::step(mono_time Now) {
  for (const backend_listing &Listing : Directory.advance(Now))
    noteListing(Listing, Now);
  Dispatcher.advance(Now);
  const auto Wake = nextPoll();
  if (Now <= viewsUsableUntil() && (PollDue || (Wake && *Wake <= Now)))
    place(Now);
  return Dispatcher.takeActions();
}

std::size_t decision_seam::queued() const {
  return withPolicy([](auto &Policy) { return Policy.queued(); });
}

std::optional<mono_time> decision_seam::nextPoll() const {
  return withPolicy([&](auto &Policy) { return Policy.nextWake(); });
}

std::optional<mono_time> decision_seam::nextWake() const {
  std::optional<mono_time> Next = Dispatcher.nextWake();
  const auto Poll = nextPoll();
  if (Poll && (!Next || *Poll < *Next))
    Next = Poll;
  return Next;
}

bool decision_seam::takesCancels(const backend_key &Backend) const {
  // Servers of the directory end what they run when its connection closes.
  if (usesPlacer())
    return false;
  const auto Found = Backends.find(Backend);
  return Found == Backends.end() || Found->second.Announcement.Capabilities.Model;
}

std::string decision_seam::dump(mono_time Now) const {
  return R"({"dispatch":)" + dumpText(Dispatcher.dump(Now)) + R"(,"scheduling":)" +
         (usesPlacer() ? Placer.dump(Now) : Scheduler.dump()) + "}";
}

} // namespace pollenstall
