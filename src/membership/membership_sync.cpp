/** @file membership_sync.cpp fleet_membership: anti-entropy with another host. */
#include "membership/membership.h"

#include <algorithm>
#include <set>

namespace pollenstall {

namespace {

constexpr std::size_t VersionsPerAnswer = 40; // fits a datagram
constexpr std::size_t AnswersPerRequest = 4;
constexpr std::uint64_t UnreachableSyncPeriod = 4; // one sync in four contacts a dead host too
constexpr mono_duration DifferingInterval = std::chrono::seconds(1);
constexpr mono_duration NoPeersInterval = std::chrono::seconds(1);

constexpr std::uint64_t bit(std::size_t Bucket) { return 1ULL << Bucket; }

} // namespace

void fleet_membership::sync() {
  mono_duration Interval = Settings.SyncInterval * (75 + Random.below(50)) / 100;
  if (LastSyncDiffered)
    Interval = DifferingInterval;
  if (hasNoPeers())
    Interval = NoPeersInterval;
  if (Resyncing)
    Interval = Settings.ResyncInterval;
  NextSync = Clock.now() + Interval;
  LastSyncDiffered = false;
  for (const peer_address &Peer : randomPeers(1))
    sendSync(Peer);
  syncWithUnreachable();
}

void fleet_membership::syncWithUnreachable() {
  // After a partition in which both halves declared each other dead, they only meet again if a host
  // continues to contact dead hosts. A host without peers contacts several at once, because all but
  // one of its seeds may be down.
  if (!hasNoPeers() && Random.below(UnreachableSyncPeriod) != 0)
    return;
  std::vector<peer_address> Candidates = unreachableAddresses();
  for (std::uint32_t Contacted = 0; !Candidates.empty() && Contacted < Settings.Fanout;
       ++Contacted) {
    std::swap(Candidates[Random.below(Candidates.size())], Candidates.back());
    sendSync(Candidates.back());
    Candidates.pop_back();
    if (!hasNoPeers())
      return;
  }
}

std::vector<peer_address> fleet_membership::unreachableAddresses() const {
  std::set<peer_address> Known(Identity.Addresses.begin(), Identity.Addresses.end());
  for (const host_record *Host : Hosts.reachable())
    Known.insert(Host->Addresses.begin(), Host->Addresses.end());
  std::vector<peer_address> Candidates;
  for (const peer_address &Seed : Identity.Seeds)
    if (Known.count(Seed) == 0)
      Candidates.push_back(Seed);
  for (const host_record *Host : Hosts.dead())
    Candidates.push_back(Host->Addresses.front());
  return Candidates;
}

void fleet_membership::sendSync(const peer_address &To) {
  const std::uint64_t Nonce = Random();
  ContactNonces[Nonce] = Clock.now();
  membership_message Message = makeMessage(sync_request{Nonce, buckets()});
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
  for (sync_versions &Answer : syncAnswers(Body)) {
    membership_message Message = makeMessage(std::move(Answer));
    Message.Hosts.push_back(Hosts.self());
    send(From, std::move(Message));
  }
}

std::vector<sync_versions> fleet_membership::syncAnswers(const sync_request &Request) {
  const std::array<std::uint64_t, SyncBuckets> Own = buckets();
  sync_versions Empty;
  Empty.Nonce = Request.Nonce;
  for (std::size_t Bucket = 0; Bucket < SyncBuckets; ++Bucket)
    if (Own[Bucket] != Request.Buckets[Bucket])
      Empty.Differing |= bit(Bucket);
  std::vector<sync_versions> Answers{Empty};
  // Starts at a random bucket, so that repeated exchanges cover all buckets if one exchange cannot
  // hold them.
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
    // A bucket that exceeds one datagram is listed in part and does not count as covered.
    const std::size_t Listed = std::min(Versions.size(), VersionsPerAnswer);
    const std::size_t Offset = Random.below(Versions.size() - Listed + 1);
    const auto Begin = Versions.begin() + static_cast<std::ptrdiff_t>(Offset);
    auto &LastAnswer = Answers.back();
    LastAnswer.Versions.insert(LastAnswer.Versions.end(), Begin,
                               Begin + static_cast<std::ptrdiff_t>(Listed));
    if (Listed == Versions.size())
      LastAnswer.Covered |= bit(Bucket);
  }
  return Answers;
}

void fleet_membership::handle(const sync_versions &Body, const membership_message & /*Message*/,
                              const peer_address &From) {
  const auto PendingNonce = ContactNonces.find(Body.Nonce);
  if (PendingNonce == ContactNonces.end())
    return; // the request was sent before a pause, or not by this process
  if ((Body.Differing & BackendBucketMask) == 0)
    Resyncing = false;
  recordContact(PendingNonce->second);
  LastSyncDiffered = LastSyncDiffered || Body.Differing != 0;
  fetch(subjectsToFetch(Body), From);
  sendRecords(subjectsToSend(Body), From);
}

std::optional<subject_version> fleet_membership::localVersion(std::uint64_t Subject) const {
  if (isHost(Subject)) {
    const host_entry *Entry = Hosts.find(Subject);
    return Entry == nullptr ? std::nullopt : std::optional(versionOf(Entry->Record));
  }
  const backend_entry *Entry = Backends.find(Subject);
  if (Entry == nullptr)
    return std::nullopt;
  return versionOf(Entry->Announcement, Entry->Sequence);
}

std::vector<std::uint64_t> fleet_membership::subjectsToFetch(const sync_versions &Answer) const {
  std::vector<std::uint64_t> Subjects;
  for (const subject_version &RemoteVersion : Answer.Versions) {
    const auto Own = localVersion(RemoteVersion.Subject);
    if (!Own || newerThan(RemoteVersion, *Own))
      Subjects.push_back(RemoteVersion.Subject);
  }
  return Subjects;
}

std::vector<std::uint64_t> fleet_membership::subjectsToSend(const sync_versions &Answer) const {
  std::map<std::uint64_t, subject_version> Listed;
  for (const subject_version &RemoteVersion : Answer.Versions)
    Listed.emplace(RemoteVersion.Subject, RemoteVersion);
  std::vector<std::uint64_t> Subjects;
  for (std::size_t Bucket = 0; Bucket < SyncBuckets; ++Bucket) {
    if ((Answer.Differing & bit(Bucket)) == 0)
      continue;
    const bool Covered = (Answer.Covered & bit(Bucket)) != 0;
    for (const subject_version &Own : bucketVersions(Bucket)) {
      const auto RemoteVersion = Listed.find(Own.Subject);
      const bool Missing = RemoteVersion == Listed.end() && Covered;
      if (Missing || (RemoteVersion != Listed.end() && newerThan(Own, RemoteVersion->second)))
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
    send(From, makeMessage(std::move(Fetch)));
  }
}

void fleet_membership::handle(const sync_fetch &Body, const membership_message & /*Message*/,
                              const peer_address &From) {
  sendRecords(Body.Subjects, From);
}

void fleet_membership::sendRecords(const std::vector<std::uint64_t> &Subjects,
                                   const peer_address &To) {
  membership_message Message = makeMessage(record_updates{});
  for (const std::uint64_t Subject : Subjects) {
    if (!localVersion(Subject))
      continue;
    if (appendRecord(Subject, Message))
      continue;
    send(To, std::move(Message));
    Message = makeMessage(record_updates{});
    appendRecord(Subject, Message);
  }
  if (!Message.Hosts.empty() || !Message.Backends.empty())
    send(To, std::move(Message));
}

} // namespace pollenstall
