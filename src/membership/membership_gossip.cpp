/** @file membership_gossip.cpp fleet_membership: passing on news and load digests. */
#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

constexpr mono_duration UrgentSpacing = std::chrono::milliseconds(40);
constexpr std::size_t NewsBacklog = 64; // beyond it anti-entropy is cheaper than gossip

} // namespace

void fleet_membership::gossip() {
  const mono_time Now = Clock.now();
  LastGossip = Now;
  NextGossip = Now + Settings.GossipInterval;
  checkBackends();
  refillLoadBudget();
  if (News.empty() && FreshLoads.empty())
    return;
  const std::vector<peer_address> Targets = randomPeers(Settings.Fanout);
  if (Targets.empty()) {
    FreshLoads.clear();
    return;
  }
  membership_message Message = envelope(news{});
  fillNews(Message);
  fillLoads(Message, Targets.size());
  while (!Message.Hosts.empty() || !Message.Backends.empty() || !Message.Loads.empty()) {
    for (const peer_address &Target : Targets)
      send(Target, Message);
    Message = envelope(news{});
    fillLoads(Message, Targets.size());
  }
}

std::uint32_t fleet_membership::spreadRounds() const {
  constexpr std::uint32_t LeastRounds = 2;
  const auto Living = static_cast<double>(Hosts.living());
  return LeastRounds + static_cast<std::uint32_t>(std::ceil(std::log10(Living + 1)));
}

void fleet_membership::addNews(std::uint64_t Subject, news_priority Priority, bool Whole) {
  if (alone() && Priority == news_priority::Announcement)
    return; // whoever joins gets it by anti-entropy
  if (Priority == news_priority::Announcement && News.size() >= NewsBacklog)
    return;
  News.add({Subject, Priority, spreadRounds(), Whole});
  if (Priority != news_priority::Announcement)
    NextGossip = std::min(NextGossip, std::max(Clock.now(), LastGossip + UrgentSpacing));
}

void fleet_membership::addLoad(std::uint64_t Subject) {
  if (std::find(FreshLoads.begin(), FreshLoads.end(), Subject) == FreshLoads.end())
    FreshLoads.push_back(Subject);
}

void fleet_membership::fillNews(membership_message &Message) {
  for (const news_item &Item : News.inOrder())
    if (appendNews(Item, Message))
      News.sent(Item.Subject);
}

bool fleet_membership::appendNews(const news_item &Item, membership_message &Message) const {
  if (Item.Whole || isHost(Item.Subject) || Backends.ambiguous(Item.Subject))
    return appendRecord(Item.Subject, Message);
  if (wireBytes(Message) + DigestWireBytes > MaxDatagramBytes)
    return false;
  if (Message.Loads.size() >= MaxMessageItems)
    return false;
  Message.Loads.push_back(Backends.digest(Item.Subject, Clock.now()));
  return true;
}

bool fleet_membership::appendRecord(std::uint64_t Subject, membership_message &Message) const {
  const std::size_t Used = wireBytes(Message);
  if (isHost(Subject)) {
    const host_entry *Entry = Hosts.find(Subject);
    if (Entry == nullptr || Used + wireBytes(Entry->Record) > MaxDatagramBytes)
      return false;
    Message.Hosts.push_back(Entry->Record);
    return true;
  }
  if (Backends.find(Subject) == nullptr)
    return false;
  backend_record Record = Backends.record(Subject, Clock.now());
  if (Used + wireBytes(Record) > MaxDatagramBytes)
    return false;
  Message.Backends.push_back(std::move(Record));
  return true;
}

void fleet_membership::fillLoads(membership_message &Message, std::size_t Targets) {
  const bool Empty = Message.Hosts.empty() && Message.Backends.empty() && Message.Loads.empty();
  // A datagram that goes out anyway costs the digests in it only.
  const std::size_t Envelope = Empty ? PacketBytes + wireBytes(Message) : 0;
  double Left = LoadBudget - static_cast<double>(Envelope * Targets);
  std::size_t Room =
      (MaxDatagramBytes - std::min(MaxDatagramBytes, wireBytes(Message))) / DigestWireBytes;
  Room = std::min(Room, MaxMessageItems - Message.Loads.size());
  const auto Each = static_cast<double>(DigestWireBytes * Targets);
  std::size_t Taken = 0;
  while (Taken < FreshLoads.size() && Taken < Room && Left >= Each) {
    Message.Loads.push_back(Backends.digest(FreshLoads[Taken], Clock.now()));
    Left -= Each;
    ++Taken;
  }
  if (Taken > 0)
    LoadBudget = Left;
  FreshLoads.erase(FreshLoads.begin(), FreshLoads.begin() + static_cast<std::ptrdiff_t>(Taken));
}

void fleet_membership::refillLoadBudget() {
  const std::chrono::duration<double> Elapsed = Clock.now() - LoadBudgetAt;
  LoadBudgetAt = Clock.now();
  const double Rate = Settings.LoadBytesPerSecond;
  LoadBudget = std::min(LoadBudget + Rate * Elapsed.count(), Rate);
}

void fleet_membership::checkBackends() {
  askForNews();
  for (const std::uint64_t Subject : Backends.expire(Clock.listened())) {
    backend_change Change;
    Change.Subject = Subject;
    Change.Standing = true;
    noteBackend(Change);
  }
  for (const backend_key &Key : Backends.forget(Clock.listened()))
    Actions.emplace_back(backend_gone{Key});
}

void fleet_membership::askForNews() {
  load_query Query;
  for (const std::uint64_t Subject : Backends.takeDoubtful(Clock.listened()))
    if (Query.Backends.size() < MaxMessageItems)
      Query.Backends.push_back(digestId(Backends.find(Subject)->Announcement.Key));
  if (Query.Backends.empty())
    return;
  for (const peer_address &Peer : randomPeers(Settings.Fanout))
    send(Peer, envelope(Query));
}

void fleet_membership::send(const peer_address &To, membership_message Message) {
  Actions.emplace_back(send_message{To, std::move(Message)});
}

membership_message fleet_membership::envelope(membership_body Body) const {
  membership_message Message;
  Message.Sender = Identity.Self;
  Message.Body = std::move(Body);
  return Message;
}

std::vector<peer_address> fleet_membership::randomPeers(std::size_t Count,
                                                        const host_name &Except) {
  std::vector<const host_record *> Pool = Hosts.reachable();
  std::erase_if(Pool, [&](const host_record *Host) { return Host->Key.Host == Except; });
  std::vector<peer_address> Picked;
  while (Picked.size() < Count && !Pool.empty()) {
    const std::size_t Index = Random.below(Pool.size());
    Picked.push_back(Pool[Index]->Addresses.front());
    Pool[Index] = Pool.back();
    Pool.pop_back();
  }
  return Picked;
}

} // namespace pollenstall
