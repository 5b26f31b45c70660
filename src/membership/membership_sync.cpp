/** @file membership_sync.cpp fleet_membership: comparing records with another host. */
#include "membership/membership.h"

#include <algorithm>
#include <set>

namespace pollenstall {

namespace {

constexpr std::size_t VersionsPerAnswer = 40; // fits a datagram
constexpr std::size_t AnswersPerRequest = 4;
constexpr std::uint64_t StrangerChance = 4; // one sync in four also goes to a host thought dead
constexpr mono_duration DifferingInterval = std::chrono::seconds(1);
constexpr mono_duration LonelyInterval = std::chrono::seconds(1);

constexpr std::uint64_t bit(std::size_t Bucket) { return 1ULL << Bucket; }

} // namespace

void fleet_membership::sync() {
  mono_duration Interval = Settings.SyncInterval * (75 + Random.below(50)) / 100;
  if (Differed)
    Interval = DifferingInterval;
  if (alone())
    Interval = LonelyInterval;
  if (Resyncing)
    Interval = Settings.ResyncInterval;
  NextSync = Clock.now() + Interval;
  Differed = false;
  for (const peer_address &Peer : randomPeers(1))
    sendSync(Peer);
  askStrangers();
}

void fleet_membership::askStrangers() {
  // Two halves of a fleet that gave each other up meet again only where somebody goes on asking. A
  // host that knows nobody asks several at once: all but one of its seeds may be down.
  if (!alone() && Random.below(StrangerChance) != 0)
    return;
  std::vector<peer_address> Strangers = strangers();
  for (std::uint32_t Asked = 0; !Strangers.empty() && Asked < Settings.Fanout; ++Asked) {
    std::swap(Strangers[Random.below(Strangers.size())], Strangers.back());
    sendSync(Strangers.back());
    Strangers.pop_back();
    if (!alone())
      return;
  }
}

std::vector<peer_address> fleet_membership::strangers() const {
  std::set<peer_address> Known(Identity.Addresses.begin(), Identity.Addresses.end());
  for (const host_record *Host : Hosts.reachable())
    Known.insert(Host->Addresses.begin(), Host->Addresses.end());
  std::vector<peer_address> Strangers;
  for (const peer_address &Seed : Identity.Seeds)
    if (Known.count(Seed) == 0)
      Strangers.push_back(Seed);
  for (const host_record *Host : Hosts.dead())
    Strangers.push_back(Host->Addresses.front());
  return Strangers;
}

void fleet_membership::sendSync(const peer_address &To) {
  const std::uint64_t Nonce = Random();
  ProofNonces[Nonce] = Clock.now();
  membership_message Message = envelope(sync_request{Nonce, buckets()});
  Message.Hosts.push_back(Hosts.self());
  send(To, std::move(Message));
}

std::array<std::uint64_t, SyncBuckets> fleet_membership::buckets() const {
  std::array<std::uint64_t, SyncBuckets> All = Backends.buckets();
  for (std::size_t Bucket = BackendBuckets; Bucket < SyncBuckets; ++Bucket)
    All[Bucket] = Hosts.buckets()[Bucket];
  return All;
}

std::vector<subject_version> fleet_membership::bucketVersions(std::size_t Bucket) const {
  std::vector<subject_version> Versions;
  if (Bucket >= BackendBuckets) {
    for (const auto &[Subject, Entry] : Hosts.entries())
      if (hostBucket(Subject) == Bucket)
        Versions.push_back(versionOf(Entry.Record));
    return Versions;
  }
  for (const auto &[Subject, Entry] : Backends.entries())
    if (backendBucket(Subject) == Bucket)
      Versions.push_back(versionOf(Entry.Announcement, Entry.Sequence));
  return Versions;
}

void fleet_membership::handle(const sync_request &Body, const membership_message & /*Message*/,
                              const peer_address &From) {
  for (sync_versions &Answer : answersTo(Body)) {
    membership_message Message = envelope(std::move(Answer));
    Message.Hosts.push_back(Hosts.self());
    send(From, std::move(Message));
  }
}

std::vector<sync_versions> fleet_membership::answersTo(const sync_request &Request) {
  const std::array<std::uint64_t, SyncBuckets> Own = buckets();
  sync_versions Empty;
  Empty.Nonce = Request.Nonce;
  for (std::size_t Bucket = 0; Bucket < SyncBuckets; ++Bucket)
    if (Own[Bucket] != Request.Buckets[Bucket])
      Empty.Differing |= bit(Bucket);
  std::vector<sync_versions> Answers{Empty};
  // From a random bucket on, so that repeated exchanges reach all where one cannot hold them.
  const std::size_t First = Random.below(SyncBuckets);
  for (std::size_t Step = 0; Step < SyncBuckets; ++Step) {
    const std::size_t Bucket = (First + Step) % SyncBuckets;
    if ((Empty.Differing & bit(Bucket)) == 0)
      continue;
    const std::vector<subject_version> Versions = bucketVersions(Bucket);
    if (Answers.back().Versions.size() + Versions.size() > VersionsPerAnswer &&
        !Answers.back().Versions.empty())
      Answers.push_back(Empty);
    if (Answers.size() > AnswersPerRequest) {
      Answers.pop_back();
      break;
    }
    // A bucket too large for one datagram is listed in part and does not count as covered.
    const std::size_t Listed = std::min(Versions.size(), VersionsPerAnswer);
    const std::size_t Offset = Random.below(Versions.size() - Listed + 1);
    const auto Begin = Versions.begin() + static_cast<std::ptrdiff_t>(Offset);
    auto &Into = Answers.back();
    Into.Versions.insert(Into.Versions.end(), Begin, Begin + static_cast<std::ptrdiff_t>(Listed));
    if (Listed == Versions.size())
      Into.Covered |= bit(Bucket);
  }
  return Answers;
}

void fleet_membership::handle(const sync_versions &Body, const membership_message & /*Message*/,
                              const peer_address &From) {
  const auto Proof = ProofNonces.find(Body.Nonce);
  if (Proof == ProofNonces.end())
    return; // asked before a pause, or never
  if ((Body.Differing & BackendBucketMask) == 0)
    Resyncing = false;
  proveContact(Proof->second);
  Differed = Differed || Body.Differing != 0;
  fetch(wanted(Body), From);
  sendRecords(offered(Body), From);
}

std::optional<subject_version> fleet_membership::versionHere(std::uint64_t Subject) const {
  if (isHost(Subject)) {
    const host_entry *Entry = Hosts.find(Subject);
    return Entry == nullptr ? std::nullopt : std::optional(versionOf(Entry->Record));
  }
  const backend_entry *Entry = Backends.find(Subject);
  if (Entry == nullptr)
    return std::nullopt;
  return versionOf(Entry->Announcement, Entry->Sequence);
}

std::vector<std::uint64_t> fleet_membership::wanted(const sync_versions &Answer) const {
  std::vector<std::uint64_t> Subjects;
  for (const subject_version &Theirs : Answer.Versions) {
    const auto Own = versionHere(Theirs.Subject);
    if (!Own || newerThan(Theirs, *Own))
      Subjects.push_back(Theirs.Subject);
  }
  return Subjects;
}

std::vector<std::uint64_t> fleet_membership::offered(const sync_versions &Answer) const {
  std::map<std::uint64_t, subject_version> Listed;
  for (const subject_version &Theirs : Answer.Versions)
    Listed.emplace(Theirs.Subject, Theirs);
  std::vector<std::uint64_t> Subjects;
  for (std::size_t Bucket = 0; Bucket < SyncBuckets; ++Bucket) {
    if ((Answer.Differing & bit(Bucket)) == 0)
      continue;
    const bool Covered = (Answer.Covered & bit(Bucket)) != 0;
    for (const subject_version &Own : bucketVersions(Bucket)) {
      const auto Theirs = Listed.find(Own.Subject);
      const bool Missing = Theirs == Listed.end() && Covered;
      if (Missing || (Theirs != Listed.end() && newerThan(Own, Theirs->second)))
        Subjects.push_back(Own.Subject);
    }
  }
  return Subjects;
}

void fleet_membership::fetch(const std::vector<std::uint64_t> &Subjects, const peer_address &From) {
  for (std::size_t First = 0; First < Subjects.size(); First += MaxMessageItems) {
    const std::size_t Last = std::min(Subjects.size(), First + MaxMessageItems);
    sync_fetch Fetch;
    Fetch.Subjects.assign(Subjects.begin() + static_cast<std::ptrdiff_t>(First),
                          Subjects.begin() + static_cast<std::ptrdiff_t>(Last));
    send(From, envelope(std::move(Fetch)));
  }
}

void fleet_membership::handle(const sync_fetch &Body, const membership_message & /*Message*/,
                              const peer_address &From) {
  sendRecords(Body.Subjects, From);
}

void fleet_membership::sendRecords(const std::vector<std::uint64_t> &Subjects,
                                   const peer_address &To) {
  membership_message Message = envelope(news{});
  for (const std::uint64_t Subject : Subjects) {
    if (!versionHere(Subject))
      continue;
    if (appendRecord(Subject, Message))
      continue;
    send(To, std::move(Message));
    Message = envelope(news{});
    appendRecord(Subject, Message);
  }
  if (!Message.Hosts.empty() || !Message.Backends.empty())
    send(To, std::move(Message));
}

} // namespace pollenstall
