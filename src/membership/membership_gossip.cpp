/** @file membership_gossip.cpp fleet_membership: gossip of updates and load digests. */
#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

constexpr mono_duration MinUrgentInterval = std::chrono::milliseconds(40);
// While this many updates are queued, further announcements are not added; anti-entropy is then
// cheaper than gossip.
constexpr std::size_t AnnouncementQueueLimit = 64;

} // namespace

void fleet_membership::gossip() {
  const mono_time Now = Clock.now();
  LastGossip = Now;
  NextGossip = Now + Settings.GossipInterval;
  expireBackends();
  refillLoadBudget();
  if (Updates.empty() && PendingLoads.empty())
    return;
  const std::vector<peer_address> Targets = randomPeers(Settings.Fanout);
  if (Targets.empty()) {
    PendingLoads.clear();
    return;
  }
  membership_message Message = makeMessage(record_updates{});
  appendUpdates(Message);
  appendLoads(Message, Targets.size());
  while (!Message.Hosts.empty() || !Message.Backends.empty() || !Message.Loads.empty()) {
    for (const peer_address &Target : Targets)
      send(Target, Message);
    Message = makeMessage(record_updates{});
    appendLoads(Message, Targets.size());
  }
}

std::uint32_t fleet_membership::gossipRounds() const {
  constexpr std::uint32_t MinRounds = 2;
  const auto LiveHosts = static_cast<double>(Hosts.liveHostCount());
  return MinRounds + static_cast<std::uint32_t>(std::ceil(std::log10(LiveHosts + 1)));
}

void fleet_membership::queueUpdate(std::uint64_t Subject, update_priority Priority,
                                   bool FullRecord) {
  if (hasNoPeers() && Priority == update_priority::Announcement)
    return; // a joining host gets it by anti-entropy
  if (Priority == update_priority::Announcement && Updates.size() >= AnnouncementQueueLimit)
    return;
  Updates.add({Subject, Priority, gossipRounds(), FullRecord});
  if (Priority != update_priority::Announcement)
    NextGossip = std::min(NextGossip, std::max(Clock.now(), LastGossip + MinUrgentInterval));
}

void fleet_membership::queueLoad(std::uint64_t Subject) {
  if (std::find(PendingLoads.begin(), PendingLoads.end(), Subject) == PendingLoads.end())
    PendingLoads.push_back(Subject);
}

void fleet_membership::appendUpdates(membership_message &Message) {
  for (const queued_update &Update : Updates.byUrgency())
    if (appendUpdate(Update, Message))
      Updates.recordSent(Update.Subject);
}

bool fleet_membership::appendUpdate(const queued_update &Update,
                                    membership_message &Message) const {
  if (Update.FullRecord || isHost(Update.Subject) || Backends.hasDigestIdCollision(Update.Subject))
    return appendRecord(Update.Subject, Message);
  if (wireBytes(Message) + DigestWireBytes > MaxDatagramBytes)
    return false;
  if (Message.Loads.size() >= MaxMessageItems)
    return false;
  Message.Loads.push_back(Backends.digest(Update.Subject, Clock.now()));
  return true;
}

bool fleet_membership::appendRecord(std::uint64_t Subject, membership_message &Message) const {
  const std::size_t UsedBytes = wireBytes(Message);
  if (isHost(Subject)) {
    const host_entry *Entry = Hosts.find(Subject);
    if (Entry == nullptr || UsedBytes + wireBytes(Entry->Record) > MaxDatagramBytes)
      return false;
    Message.Hosts.push_back(Entry->Record);
    return true;
  }
  if (Backends.find(Subject) == nullptr)
    return false;
  backend_record Record = Backends.record(Subject, Clock.now());
  if (UsedBytes + wireBytes(Record) > MaxDatagramBytes)
    return false;
  Message.Backends.push_back(std::move(Record));
  return true;
}

void fleet_membership::appendLoads(membership_message &Message, std::size_t Targets) {
  const bool Empty = Message.Hosts.empty() && Message.Backends.empty() && Message.Loads.empty();
  // If the datagram is sent anyway, only the digests in it count against the budget.
  const std::size_t EnvelopeCost = Empty ? PacketBytes + wireBytes(Message) : 0;
  double Budget = LoadBudget - static_cast<double>(EnvelopeCost * Targets);
  std::size_t Capacity =
      (MaxDatagramBytes - std::min(MaxDatagramBytes, wireBytes(Message))) / DigestWireBytes;
  Capacity = std::min(Capacity, MaxMessageItems - Message.Loads.size());
  const auto DigestCost = static_cast<double>(DigestWireBytes * Targets);
  std::size_t Appended = 0;
  while (Appended < PendingLoads.size() && Appended < Capacity && Budget >= DigestCost) {
    Message.Loads.push_back(Backends.digest(PendingLoads[Appended], Clock.now()));
    Budget -= DigestCost;
    ++Appended;
  }
  if (Appended > 0)
    LoadBudget = Budget;
  PendingLoads.erase(PendingLoads.begin(),
                     PendingLoads.begin() + static_cast<std::ptrdiff_t>(Appended));
}

void fleet_membership::refillLoadBudget() {
  const std::chrono::duration<double> Elapsed = Clock.now() - LoadBudgetAt;
  LoadBudgetAt = Clock.now();
  const double Rate = Settings.LoadBytesPerSecond;
  LoadBudget = std::min(LoadBudget + Rate * Elapsed.count(), Rate);
}

void fleet_membership::expireBackends() {
  queryOverdueBackends();
  for (const std::uint64_t Subject : Backends.expire(Clock.connectedTime())) {
    backend_change Change;
    Change.Subject = Subject;
    Change.StatusChanged = true;
    publishBackendChange(Change);
  }
  for (const backend_key &Key : Backends.createTombstones(Clock.connectedTime()))
    Actions.emplace_back(backend_gone{Key});
}

void fleet_membership::queryOverdueBackends() {
  load_query Query;
  for (const std::uint64_t Subject : Backends.takeQueriesDue(Clock.connectedTime()))
    if (Query.Backends.size() < MaxMessageItems)
      Query.Backends.push_back(digestId(Backends.find(Subject)->Announcement.Key));
  if (Query.Backends.empty())
    return;
  for (const peer_address &Peer : randomPeers(Settings.Fanout))
    send(Peer, makeMessage(Query));
}

void fleet_membership::send(const peer_address &To, membership_message Message) {
  Actions.emplace_back(send_message{To, std::move(Message)});
}

membership_message fleet_membership::makeMessage(membership_body Body) const {
  membership_message Message;
  Message.Sender = Identity.Self;
  Message.Body = std::move(Body);
  return Message;
}

std::vector<peer_address> fleet_membership::randomPeers(std::size_t Count,
                                                        const host_name &Except) {
  std::vector<const host_record *> Peers = Hosts.reachable();
  std::erase_if(Peers, [&](const host_record *Host) { return Host->Key.Host == Except; });
  std::vector<peer_address> PeerAddresses;
  while (PeerAddresses.size() < Count && !Peers.empty()) {
    const std::size_t Index = Random.below(Peers.size());
    PeerAddresses.push_back(Peers[Index]->Addresses.front());
    Peers[Index] = Peers.back();
    Peers.pop_back();
  }
  return PeerAddresses;
}

} // namespace pollenstall
