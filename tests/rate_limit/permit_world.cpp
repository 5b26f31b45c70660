/** @file permit_world.cpp Events of the entries, the network and the server. */
#include "permit_world.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds StepInterval{10};
constexpr milliseconds ServerDelay{1};
constexpr milliseconds MinAnswerDelay{30};
constexpr milliseconds MaxAnswerDelay{250};
constexpr std::chrono::seconds Window{4};
constexpr std::uint64_t FirstServer = 77;
const backend_key Server{backend_address("10.0.0.1:1"), incarnation(FirstServer)};

} // namespace

permit_world::permit_world(const world_settings &Values)
    : Settings(Values), Random(Values.Seed), Nodes(Values.Entries) {
  for (std::size_t At = 0; At < Values.Servers; ++At)
    Servers.push_back(
        {backend_address("10.0.0.1:" + std::to_string(1 + At)), incarnation(FirstServer + At)});
  for (std::size_t Entry = 0; Entry < Nodes.size(); ++Entry) {
    Nodes[Entry].Address = "10.1.0." + std::to_string(Entry) + ":7";
    IndexByAddress[Nodes[Entry].Address] = Entry;
  }
  for (std::size_t Entry = 0; Entry < Nodes.size(); ++Entry)
    start(Entry);
}

void permit_world::start(std::size_t Entry) {
  node &Node = Nodes[Entry];
  Node.Up = true;
  Node.Start = ++Starts;
  Node.Client = std::make_unique<permit_client>(Settings.Permits);
  Node.Exchange = std::make_unique<permit_exchange>(
      process_key{host_name(Node.Address), incarnation(1'000 + Starts)}, Node.Address,
      Settings.Permits);
  Node.KnowsCold = false;
  if (Now < ColdUntil)
    learnCold(Entry, false); // It gets the list before it serves.
  announceList();
  atEntry(Entry, Now + between(milliseconds(0), StepInterval),
          [this, Entry, Start = Starts] { tick(Entry, Start); });
}

void permit_world::tick(std::size_t Entry, std::uint64_t Start) {
  if (!Nodes[Entry].Up || Nodes[Entry].Start != Start)
    return;
  step(Entry);
  atEntry(Entry, Now + StepInterval, [this, Entry, Start] { tick(Entry, Start); });
}

void permit_world::announceList() {
  ++Lists;
  std::vector<std::string> Addresses;
  for (const node &Node : Nodes)
    if (Node.Up && Node.CutAt == mono_time::max() && !Node.Frozen)
      Addresses.push_back(Node.Address);
  for (std::size_t Entry = 0; Entry < Nodes.size(); ++Entry) {
    const auto Apply = [this, Entry, Addresses, Version = Lists] {
      node &Node = Nodes[Entry];
      if (!Node.Exchange || Node.CutAt != mono_time::max() || Version < Node.ListVersion)
        return;
      Node.ListVersion = Version;
      Node.Exchange->setEntries(Addresses, Now);
    };
    if (Now == mono_time(std::chrono::seconds(1'000)))
      Apply(); // At the start all entries are known.
    else
      atEntry(Entry, Now + between(Settings.MinListDelay, Settings.MaxListDelay), Apply);
  }
}

void permit_world::at(mono_time Time, std::function<void()> Action) {
  Events.emplace(Time, std::move(Action));
}

void permit_world::atEntry(std::size_t Entry, mono_time Time, std::function<void()> Action) {
  at(Time, [this, Entry, Action = std::move(Action)] {
    if (Nodes[Entry].Frozen)
      Nodes[Entry].Held.push_back(Action);
    else
      Action();
  });
}

void permit_world::run(mono_duration Duration) {
  const mono_time End = Now + Duration;
  while (!Events.empty() && Events.begin()->first <= End) {
    const auto Next = Events.extract(Events.begin());
    Now = Next.key();
    Next.mapped()();
  }
  Now = End;
}

void permit_world::state(std::optional<double> Value) { Limit = Value; }

void permit_world::step(std::size_t Entry) {
  node &Node = Nodes[Entry];
  Node.Exchange->advance(Now);
  for (const backend_key &Each : Servers)
    trySend(Node, Entry, Each);
  flush(Entry);
}

void permit_world::turnCold(double PerSecond, mono_duration ColdTime, mono_duration MaxDelay,
                            bool WasWarm) {
  ColdPerSecond = PerSecond;
  ColdUntil = Now + ColdTime;
  for (std::size_t Entry = 0; Entry < Nodes.size(); ++Entry)
    atEntry(Entry, Now + between(mono_duration(0), MaxDelay),
            [this, Entry, WasWarm] { learnCold(Entry, WasWarm); });
}

void permit_world::learnCold(std::size_t Entry, bool WasWarm) {
  node &Node = Nodes[Entry];
  if (!Node.Up || Node.KnowsCold)
    return;
  Node.KnowsCold = true;
  for (const backend_key &Each : Servers)
    Node.Client->setCold(Each.Incarnation, requests_per_second(ColdPerSecond), ColdUntil,
                         WasWarm ? std::optional(Now) : std::nullopt);
}

void permit_world::trySend(node &Node, std::size_t Entry, const backend_key &Server) {
  const bool Admits = Node.CutAt == mono_time::max() || Now - Node.CutAt < Settings.Lease;
  if (!Admits)
    return;
  if (!Node.Client->needsPermit(Server.Incarnation, Now)) {
    const double Probability = Settings.UnlimitedRate / static_cast<double>(Nodes.size()) *
                               std::chrono::duration<double>(StepInterval).count();
    if (static_cast<double>(Random.below(1'000'000)) < Probability * 1e6)
      send(Entry, Server, {});
    return;
  }
  if (!Settings.WorkWaits)
    return;
  if (Node.Client->hasPermit(Server.Incarnation, Now))
    send(Entry, Server, Node.Client->take(Server.Incarnation, Now));
  else
    Node.Client->askPatiently(Server.Incarnation, Now);
}

void permit_world::send(std::size_t Entry, const backend_key &Server, const permit_stamp &Permit) {
  at(Now + ServerDelay, [this, Entry, Server, Permit] {
    Arrivals.push_back(Now);
    ArrivalsAt[Server.Incarnation].push_back(Now);
    rate_limit_answer Answer{Server, {}, no_rate_limit{}, Permit};
    if (Limit)
      Answer.Stated = requests_per_second(*Limit);
    atEntry(Entry, Now + between(MinAnswerDelay, MaxAnswerDelay),
            [this, Entry, Answer, Alive = Nodes[Entry].Client.get()] {
              if (!Nodes[Entry].Up || Nodes[Entry].Client.get() != Alive)
                return;
              Alive->record(Answer, Now);
              flush(Entry);
            });
  });
}

void permit_world::flush(std::size_t Entry) {
  node &Node = Nodes[Entry];
  for (const permit_message &Message : Node.Client->takeMessages(Now))
    Node.Exchange->send(Message, Now);
  for (const permit_reply &Reply : Node.Exchange->takeReplies())
    Node.Client->receive(Reply, Now);
  for (const permit_datagram &Datagram : Node.Exchange->takeDatagrams())
    deliver(Entry, Datagram);
}

void permit_world::deliver(std::size_t From, const permit_datagram &Datagram) {
  ++Datagrams;
  const std::size_t To = IndexByAddress.at(Datagram.To);
  const bool Lost = static_cast<double>(Random.below(1'000'000)) < Settings.LostFraction * 1e6;
  if (Lost || Nodes[From].CutAt <= Now)
    return;
  atEntry(To, Now + between(Settings.MinDelay, Settings.MaxDelay),
          [this, To, Message = Datagram.Message, Sender = Nodes[From].Address] {
            if (!Nodes[To].Up || Nodes[To].CutAt <= Now)
              return;
            Nodes[To].Exchange->receive(Message, Sender, Now);
            flush(To);
          });
}

mono_duration permit_world::between(mono_duration Low, mono_duration High) {
  return Low + mono_duration(static_cast<std::int64_t>(
                   Random.below(static_cast<std::uint64_t>((High - Low).count()) + 1)));
}

std::size_t permit_world::issuer() {
  for (node &Node : Nodes)
    if (Node.Up)
      return IndexByAddress.at(Node.Exchange->issuerOf(Server.Incarnation));
  return 0;
}

void permit_world::kill(std::size_t Entry) {
  Nodes[Entry].Up = false;
  Nodes[Entry].Held.clear();
  announceList();
}

void permit_world::restart(std::size_t Entry) { start(Entry); }

void permit_world::freeze(std::size_t Entry) {
  Nodes[Entry].Frozen = true;
  announceList();
}

void permit_world::thaw(std::size_t Entry) {
  Nodes[Entry].Frozen = false;
  for (const auto &Action : std::exchange(Nodes[Entry].Held, {}))
    Action();
  announceList();
}

void permit_world::cut(std::size_t Entry) {
  Nodes[Entry].CutAt = Now;
  atEntry(Entry, Now + Settings.Lease, [this, Entry, CutAt = Now] {
    if (Nodes[Entry].Exchange && Nodes[Entry].CutAt == CutAt)
      Nodes[Entry].Exchange->setEntries({}, Now);
  });
  announceList();
}

void permit_world::heal(std::size_t Entry) {
  Nodes[Entry].CutAt = mono_time::max();
  announceList();
}

std::size_t permit_world::mostInWindow(mono_time EndsFrom) const {
  std::size_t Most = 0;
  for (auto First = Arrivals.begin(), Last = First; Last != Arrivals.end(); ++Last) {
    while (*Last - *First > Window)
      ++First;
    if (*Last >= EndsFrom)
      Most = std::max(Most, static_cast<std::size_t>(Last - First) + 1);
  }
  return Most;
}

std::size_t permit_world::mostInSecond(mono_time BeginsFrom) const {
  constexpr std::chrono::seconds Second{1};
  std::size_t Most = 0;
  for (const auto &[Id, Times] : ArrivalsAt)
    for (auto First = std::lower_bound(Times.begin(), Times.end(), BeginsFrom), Last = First;
         Last != Times.end(); ++Last) {
      while (*Last - *First >= Second)
        ++First;
      Most = std::max(Most, static_cast<std::size_t>(Last - First) + 1);
    }
  return Most;
}

std::size_t permit_world::fewestSince(mono_time From) const {
  std::size_t Fewest = ArrivalsAt.size() < Servers.size() ? 0 : Arrivals.size();
  for (const auto &[Id, Times] : ArrivalsAt) {
    const auto First = std::lower_bound(Times.begin(), Times.end(), From);
    Fewest = std::min(Fewest, static_cast<std::size_t>(Times.end() - First));
  }
  return Fewest;
}

std::size_t permit_world::arrivedSince(mono_time From) const {
  return static_cast<std::size_t>(std::count_if(Arrivals.begin(), Arrivals.end(),
                                                [From](mono_time Time) { return Time >= From; }));
}

std::size_t permit_world::knowing() const {
  return static_cast<std::size_t>(std::count_if(Nodes.begin(), Nodes.end(), [](const node &Node) {
    return Node.Up && Node.Client->limitOf(Server.Incarnation).has_value();
  }));
}

} // namespace pollenstall
