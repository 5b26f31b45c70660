/** @file retry_world.cpp Events of the entries, the network and the service. */
#include "retry_world.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr int MaxRetries = 2; ///< Of one request.
constexpr milliseconds LeaseRenewal{300};
constexpr milliseconds MaxCallerDelay{5};
constexpr std::chrono::seconds CallerPatience{10}; ///< Callers of a frozen entry leave then.
constexpr milliseconds MinFailureDelay{2};
constexpr milliseconds MaxFailureDelay{40};
constexpr milliseconds RetryWait{100};
constexpr milliseconds WaitInterval{5};
constexpr milliseconds ConnectInterval{3}; ///< Between two entries that connect to a new leader.
const service_name Service("llm");

std::size_t countBetween(const std::vector<mono_time> &Times, mono_time From, mono_time To) {
  return static_cast<std::size_t>(std::upper_bound(Times.begin(), Times.end(), To) -
                                  std::lower_bound(Times.begin(), Times.end(), From));
}

} // namespace

retry_world::retry_world(const world_settings &Values)
    : Settings(Values), Random(Values.Seed), Nodes(Values.Entries) {
  for (std::size_t Entry = 0; Entry < Nodes.size(); ++Entry) {
    Nodes[Entry].Address = "10.1.0." + std::to_string(Entry) + ":7";
    IndexByAddress[Nodes[Entry].Address] = Entry;
    start(Entry);
    generate(Entry);
  }
  announceList(listed());
}

void retry_world::start(std::size_t Entry) {
  node &Node = Nodes[Entry];
  Node.Up = true;
  Node.Frozen = false;
  Node.Start = ++Starts;
  Node.Waiting = 0;
  Node.Held.clear();
  Node.Budget = std::make_unique<shared_retry_budget>(
      retry_allowance{Settings.Reserve, Settings.Window}, retry_budget_tuning{}, Starts, Now);
  Node.Budget->setShare(Settings.Share);
  renewLease(Entry);
}

void retry_world::at(mono_time Time, std::function<void()> Action) {
  Events.emplace(Time, std::move(Action));
}

void retry_world::atEntry(std::size_t Entry, mono_time Time, std::function<void()> Action) {
  at(Time, [this, Entry, Start = Nodes[Entry].Start, Action = std::move(Action)] {
    node &Node = Nodes[Entry];
    if (!Node.Up || Node.Start != Start)
      return;
    if (Node.Frozen)
      Node.Held.push_back(Action);
    else
      Action();
  });
}

void retry_world::run(mono_duration Duration) {
  const mono_time End = Now + Duration;
  while (!Events.empty() && Events.begin()->first <= End) {
    const auto Next = Events.extract(Events.begin());
    Now = Next.key();
    Next.mapped()();
  }
  Now = End;
}

mono_duration retry_world::between(mono_duration Low, mono_duration High) {
  return Low + mono_duration(static_cast<std::int64_t>(
                   Random.below(static_cast<std::uint64_t>((High - Low).count()) + 1)));
}

void retry_world::renewLease(std::size_t Entry) {
  node &Node = Nodes[Entry];
  if (!Node.Cut)
    Node.Budget->confirmContact(Now + Settings.Lease, Now);
  flush(Entry);
  atEntry(Entry, Now + LeaseRenewal, [this, Entry] { renewLease(Entry); });
}

void retry_world::generate(std::size_t Entry) {
  // Callers go on while their entry is down; their requests count although they do not arrive.
  const double Rate =
      Settings.RequestsPerSecond / static_cast<double>(Nodes.size()) * Nodes[Entry].Load;
  const double MeanSeconds = Rate > 0 ? 1 / Rate : 1;
  const auto Pause = std::chrono::duration_cast<mono_duration>(
      std::chrono::duration<double>(MeanSeconds * 2 * Random.uniform()));
  at(Now + Pause, [this, Entry] {
    if (Nodes[Entry].Load > 0)
      beginRequest(Entry);
    generate(Entry);
  });
}

void retry_world::beginRequest(std::size_t Entry) {
  Requests.push_back(Now);
  if (!Nodes[Entry].Up)
    return;
  atEntry(Entry, Now + between(mono_duration(0), MaxCallerDelay), [this, Entry, SentAt = Now] {
    if (Now - SentAt > CallerPatience)
      return;
    Nodes[Entry].Budget->deposit(Service, Now);
    endAttempt(Entry, 0);
  });
}

void retry_world::endAttempt(std::size_t Entry, int RetriesSoFar) {
  if (RetriesSoFar >= MaxRetries || !Random.chance(Nodes[Entry].FailProbability))
    return;
  atEntry(Entry, Now + between(MinFailureDelay, MaxFailureDelay),
          [this, Entry, RetriesSoFar] { tryRetry(Entry, RetriesSoFar, Now + RetryWait); });
}

void retry_world::tryRetry(std::size_t Entry, int RetriesSoFar, mono_time Until) {
  shared_retry_budget &Budget = *Nodes[Entry].Budget;
  if (Budget.tryWithdraw(Service, Now))
    return startRetry(Entry, RetriesSoFar);
  if (Now >= Until || !Budget.mayBorrow(Service, Now))
    return;
  Budget.want(Service, ++Nodes[Entry].Waiting, Now);
  flush(Entry);
  atEntry(Entry, Now + WaitInterval, [this, Entry, RetriesSoFar, Until] {
    --Nodes[Entry].Waiting;
    tryRetry(Entry, RetriesSoFar, Until);
  });
}

void retry_world::startRetry(std::size_t Entry, int RetriesSoFar) {
  at(Now + between(mono_duration(0), Settings.MaxLateness), [this] { Retries.push_back(Now); });
  endAttempt(Entry, RetriesSoFar + 1);
}

void retry_world::flush(std::size_t Entry) {
  for (const retry_datagram &Datagram : Nodes[Entry].Budget->takeDatagrams(Now))
    deliver(Entry, Datagram);
}

void retry_world::deliver(std::size_t From, const retry_datagram &Datagram) {
  ++Datagrams;
  const std::size_t To = IndexByAddress.at(Datagram.To);
  if (Random.chance(Settings.LostFraction) || Nodes[From].Cut || !Nodes[To].Up)
    return;
  atEntry(To, Now + between(Settings.MinDelay, Settings.MaxDelay),
          [this, To, Message = Datagram.Message, Sender = Nodes[From].Address] {
            if (Nodes[To].Cut)
              return;
            Nodes[To].Budget->receive({Sender, Message}, Now);
            flush(To);
          });
}

std::vector<std::size_t> retry_world::listed() const {
  std::vector<std::size_t> Members;
  for (std::size_t Entry = 0; Entry < Nodes.size(); ++Entry)
    if (Nodes[Entry].Up && !Nodes[Entry].Frozen && !Nodes[Entry].Cut)
      Members.push_back(Entry);
  return Members;
}

void retry_world::announceList(const std::vector<std::size_t> &Members) {
  ++Lists;
  for (const std::size_t Entry : Members)
    atEntry(Entry, Now + between(Settings.MinListDelay, Settings.MaxListDelay),
            [this, Entry, Members, Version = Lists] {
              node &Node = Nodes[Entry];
              if (Node.Cut || Version < Node.ListVersion)
                return;
              Node.ListVersion = Version;
              applyList(Entry, Members);
            });
}

void retry_world::applyList(std::size_t Entry, const std::vector<std::size_t> &Members) {
  retry_sharers Sharers;
  Sharers.Count = Members.size();
  for (const std::size_t Member : Members) {
    if (Member != Entry)
      Sharers.Others.push_back(Nodes[Member].Address);
    Sharers.Rank += Member < Entry ? 1 : 0;
  }
  Nodes[Entry].Budget->setEntries(std::move(Sharers), Now);
}

void retry_world::replaceLeader() {
  std::vector<std::size_t> Connected;
  mono_time Time = Now;
  for (const std::size_t Entry : listed()) {
    Connected.push_back(Entry);
    Time += ConnectInterval;
    at(Time, [this, Connected] { announceList(Connected); });
  }
}

void retry_world::fail(double Probability) {
  for (node &Node : Nodes)
    Node.FailProbability = Probability;
}

void retry_world::failAt(std::size_t Entry, double Probability) {
  Nodes[Entry].FailProbability = Probability;
}

void retry_world::shiftLoad(const std::vector<std::size_t> &From) {
  const double Moved = static_cast<double>(From.size());
  const double Rest = static_cast<double>(Nodes.size()) - Moved;
  for (node &Node : Nodes)
    Node.Load = 1 + Moved / Rest;
  for (const std::size_t Entry : From)
    Nodes[Entry].Load = 0;
}

void retry_world::concentrateLoad(std::size_t Entry) {
  constexpr double ConcentratedShare = 0.5;
  const double Count = static_cast<double>(Nodes.size());
  for (node &Node : Nodes)
    Node.Load = Count * (1 - ConcentratedShare) / (Count - 1);
  Nodes[Entry].Load = Count * ConcentratedShare;
}

void retry_world::breakStreams(std::size_t Entry, std::size_t Count) {
  for (std::size_t Stream = 0; Stream < Count; ++Stream)
    atEntry(Entry, Now, [this, Entry] { tryRetry(Entry, MaxRetries, Now + RetryWait); });
}

void retry_world::disturb() {
  const std::size_t Entry = Random.below(Nodes.size());
  node &Node = Nodes[Entry];
  if (!Node.Up)
    return restart(Entry);
  if (Node.Frozen)
    return thaw(Entry);
  if (Node.Cut)
    return heal(Entry);
  switch (Random.below(5)) {
  case 0:
    return kill(Entry);
  case 1:
    return freeze(Entry);
  case 2:
    return cut(Entry);
  case 3:
    return replaceLeader();
  default:
    return shiftLoad({Entry});
  }
}

void retry_world::kill(std::size_t Entry) {
  Nodes[Entry].Up = false;
  announceList(listed());
}

void retry_world::restart(std::size_t Entry) {
  start(Entry);
  announceList(listed());
}

void retry_world::freeze(std::size_t Entry) {
  Nodes[Entry].Frozen = true;
  announceList(listed());
}

void retry_world::thaw(std::size_t Entry) {
  Nodes[Entry].Frozen = false;
  for (const auto &Action : std::exchange(Nodes[Entry].Held, {}))
    Action();
  announceList(listed());
}

void retry_world::cut(std::size_t Entry) {
  Nodes[Entry].Cut = true;
  announceList(listed());
}

void retry_world::heal(std::size_t Entry) {
  Nodes[Entry].Cut = false;
  announceList(listed());
}

double retry_world::allowed(mono_time End) const {
  std::size_t Most = 0;
  for (const mono_duration Earlier : {mono_duration(0), Settings.Window / 2, Settings.Window})
    Most = std::max(Most, countBetween(Requests, End - Settings.Window - Earlier, End - Earlier));
  return Settings.Share * static_cast<double>(Most) + Settings.Reserve;
}

double retry_world::retried(mono_time End) const {
  return static_cast<double>(countBetween(Retries, End - Settings.Window, End));
}

double retry_world::worstExcess() const {
  double Worst = -Settings.Reserve;
  for (const mono_time End : Retries)
    Worst = std::max(Worst, retried(End) - allowed(End));
  return Worst;
}

double retry_world::use(mono_time From, mono_time To) const {
  double Sum = 0;
  int Windows = 0;
  for (mono_time End = From + Settings.Window; End <= To; End += std::chrono::seconds(1)) {
    Sum += retried(End) / allowed(End);
    ++Windows;
  }
  return Windows == 0 ? 0 : Sum / Windows;
}

std::size_t retry_world::retriesSince(mono_time From) const {
  return countBetween(Retries, From, mono_time::max());
}

} // namespace pollenstall
