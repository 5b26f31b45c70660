/** @file scheduler.cpp Polls: the order of classes, placements, expiries and reviews. */
#include "scheduling/scheduler_base.h"

#include <algorithm>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

constexpr mono_duration ReviewInterval = 250ms;
/// Waiting requests looked at for one class in one round: enough to get past work that one full
/// group holds up, little enough that a round's time does not grow with the queue.
constexpr std::size_t TriedPerAccount = 4;
constexpr std::size_t TriedPerClass = 64;
/// A long prompt that has waited this part of its patience gets an engine held for it.
constexpr double HoldAfter = 0.25;

double secondsBetween(mono_time From, mono_time To) {
  return std::chrono::duration<double>(To - From).count();
}

} // namespace

scheduler::scheduler(scheduler_settings Given)
    : Settings(std::move(Given)),
      Random(combineHashes(Settings.Seed, stableHash(Settings.Host.str()))),
      Affinity(Settings.Tuning.AffinityBound) {}

void scheduler::applyDeclaration(const fleet_declaration &Declaration) {
  Declared = true;
  Policy = Declaration.Policy;
  Limits = Declaration.Limits;
  Queue.setBound(Limits.MaxQueued);
  Queue.dropIdleAccounts();
  for (const account_declaration &Account : Declaration.Accounts)
    Queue.setAccount(Account.Name, Account.Share, Account.MaxQueued);
  Pool.applyDeclaration(Declaration);
  NextReview = mono_time();
}

void scheduler::updateBackend(const backend_view &View, mono_time Now) {
  const scheduled_backend *Before = Pool.find(View.Announcement.Key);
  const bool NewReport = Before == nullptr || Before->View.Load.Sequence != View.Load.Sequence;
  const bool NewServer = Before == nullptr || Before->View.Standing != View.Standing;
  scheduled_backend &Record = Pool.update(View, Now);
  if (NewReport && View.Load.Sequence > 0)
    reportToLedgers(Record);
  if (NewServer)
    NextReview = mono_time();
  if (!Queue.empty())
    NextWake = Now;
}

void scheduler::removeBackend(const backend_key &Backend, mono_time Now) {
  for (auto Entry = Tickets.begin(); Entry != Tickets.end();) {
    const auto Current = Entry++;
    if (Current->second.Backend == Backend)
      closeTicket(Current);
  }
  Pool.remove(Backend);
  Affinity.forget(Backend);
  NextReview = mono_time();
  NextWake = Now;
}

void scheduler::withdraw(request_number Request) {
  Queue.withdraw(Request);
  const auto Found = Unstarted.find(Request);
  if (Found != Unstarted.end())
    closeTicket(Tickets.find(Found->second));
}

poll_outcome scheduler::poll(mono_time Now) {
  poll_outcome Outcome;
  dropUnstarted(Now);
  reviewServers(Now);
  expireLate(Now, Outcome);
  Failed.clear();
  Yielding.clear();
  HoldWanted = false;
  while (placeOne(Now, Outcome)) {
  }
  if (!HoldWanted)
    HeldForLong.reset();
  NextWake.reset();
  if (!Queue.empty())
    NextWake = Now + Settings.Tuning.PollInterval;
  return Outcome;
}

void scheduler::dropUnstarted(mono_time Now) {
  // A placement whose request was given up without a word would keep its memory for good. Past the
  // deadline no attempt is started any more, and none was: the engine holds nothing of it.
  for (auto Entry = Unstarted.begin(); Entry != Unstarted.end();) {
    const auto Ticket = Tickets.find((Entry++)->second);
    if (Ticket->second.Deadline < Now)
      closeTicket(Ticket);
  }
}

void scheduler::reviewServers(mono_time Now) {
  if (Now < NextReview)
    return;
  NextReview = Now + ReviewInterval;
  blameStalled(Now);
  Concurrency.adjust(LastFull != mono_time() && Now - LastFull < 2 * ReviewInterval);
  Pool.review(Limits.EjectPercent, Now);
  Pool.chooseLongEngines(Policy.LongEngineShare, Arrivals.longShare(Now));
}

void scheduler::expireLate(mono_time Now, poll_outcome &Outcome) {
  for (const waiting_work &Work : Queue.takeLate(Now)) {
    const work_refusal Refusal{failure_reason::DeadlineUnmeetable, retryAfter(Work, Now)};
    Outcome.Expiries.push_back({Work.Item.Request, Refusal});
  }
}

std::array<length_class, LengthClasses> scheduler::classOrder(mono_time Now) const {
  std::array<length_class, LengthClasses> Order{length_class::Short, length_class::Medium,
                                                length_class::Long};
  std::array<double, LengthClasses> Urgency{};
  for (const length_class Class : Order) {
    const auto Index = static_cast<std::size_t>(Class);
    const std::optional<mono_time> Oldest = Queue.oldest(Class);
    double Patience = Settings.Tuning.Patience[Index];
    if (Class == length_class::Long)
      Patience *= Policy.ShortWeight / std::max(0.01, Policy.LongWeight);
    if (Oldest)
      Urgency[Index] = secondsBetween(*Oldest, Now) / Patience;
  }
  std::stable_sort(Order.begin(), Order.end(), [&Urgency](length_class A, length_class B) {
    return Urgency[static_cast<std::size_t>(A)] > Urgency[static_cast<std::size_t>(B)];
  });
  return Order;
}

bool scheduler::placeOne(mono_time Now, poll_outcome &Outcome) {
  for (const length_class Class : classOrder(Now))
    if (placeOneOf(Class, Now, Outcome))
      return true;
  return false;
}

bool scheduler::placeOneOf(length_class Class, mono_time Now, poll_outcome &Outcome) {
  for (const waiting_work *Work : Queue.candidates(Class, TriedPerAccount, TriedPerClass)) {
    const bool Yields = yields(*Work, Now);
    const failed_key Kind{Work->Item.Service, Work->Item.Model, Work->Group, Class, Yields};
    const auto Before = Failed.find(Kind);
    if (Before != Failed.end() && Before->second <= Work->Item.Prompt)
      continue;
    const std::optional<choice> Choice = choose(*Work, Now);
    if (!Choice) {
      if (Work->Item.Avoid.empty())
        Failed[Kind] = Work->Item.Prompt;
      const double Waited = secondsBetween(Work->Item.Arrived, Now);
      if (Class == length_class::Long &&
          Waited > HoldAfter * Settings.Tuning.Patience[static_cast<std::size_t>(Class)])
        holdEngineFor(*Work, Now);
      continue;
    }
    const std::uint32_t Priority = priorityOf(*Work, Now);
    const std::optional<waiting_work> Taken = Queue.place(Work->Item.Request, Now);
    const ticket_number Number = openTicket(*Taken, *Choice, Now);
    Unstarted[Taken->Item.Request] = Number;
    Placed.add(Class, Taken->Cost, Now);
    const mono_duration Expected = Tickets.at(Number).Expected;
    Outcome.Placements.push_back({Taken->Item.Request, Choice->Record->key(), Priority, Expected});
    return true;
  }
  return false;
}

scheduler_builder &scheduler_builder::seed(std::uint64_t Seed) {
  Settings.Seed = Seed;
  return *this;
}

scheduler_builder &scheduler_builder::host(host_name Name) {
  Settings.Host = std::move(Name);
  return *this;
}

scheduler_builder &scheduler_builder::tuning(const scheduler_tuning &Tuning) {
  Settings.Tuning = Tuning;
  return *this;
}

} // namespace pollenstall
