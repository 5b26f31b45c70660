/** @file host_table.cpp Merges claims about the system's own hosts. */
#include "membership/host_table_base.h"

#include "membership/record_func.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

constexpr std::size_t ExpectedConfirmations = 3;

bool isLive(const host_record &Record) { return Record.Status <= host_status::Suspect; }

/// Returns Lifeguard's suspicion timeout, which falls from the maximum to the minimum with each
/// independent suspicion.
mono_duration suspicionTime(const membership_settings &Settings, std::size_t Hosts,
                            std::size_t Accusers) {
  const double Scale = std::max(1.0, std::log10(static_cast<double>(Hosts)));
  const double Minimum = static_cast<double>(Settings.SuspicionMinimum.count()) * Scale;
  const double Maximum = static_cast<double>(Settings.SuspicionMaximum.count()) * Scale;
  // In a fleet of three hosts only one other host can confirm.
  const std::size_t MaxConfirmations = Hosts > 2 ? Hosts - 2 : 1;
  const auto Needed = static_cast<double>(std::min(ExpectedConfirmations, MaxConfirmations));
  const double Counted = std::min(static_cast<double>(Accusers), Needed);
  const double Timeout =
      Maximum - (Maximum - Minimum) * std::log(Counted + 1.0) / std::log(Needed + 1.0);
  return mono_duration(static_cast<mono_duration::rep>(Timeout));
}

} // namespace

host_table::host_table(process_key Own, std::size_t Capacity)
    : Self(std::move(Own)), MaxHosts(Capacity) {}

std::size_t host_table::liveCountOf(const host_record &Record) { return isLive(Record) ? 1 : 0; }

void host_table::store(host_entry &Entry, const host_record &Record) {
  const std::uint64_t Subject = subjectOf(Record.Key.Host);
  std::uint64_t &Bucket = Buckets[hostBucket(Subject)];
  const bool Replaces = !Entry.Record.Key.Host.empty();
  if (Replaces) {
    Bucket ^= hashOf(versionOf(Entry.Record));
    LiveHosts -= liveCountOf(Entry.Record);
    requireInvariant(Record.Key.Incarnation >= Entry.Record.Key.Incarnation,
                     "no older incarnation of a host replaces a newer one");
  }
  Entry.Record = Record;
  Bucket ^= hashOf(versionOf(Record));
  LiveHosts += liveCountOf(Record);
}

void host_table::setSelf(const host_record &Record) {
  store(Entries[subjectOf(Record.Key.Host)], Record);
}

merge_outcome host_table::merge(const host_record &Claim, mono_duration ConnectedTime) {
  const std::uint64_t Subject = subjectOf(Claim.Key.Host);
  auto Found = Entries.find(Subject);
  if (Found == Entries.end()) {
    if (Entries.size() >= MaxHosts)
      return merge_outcome::Rejected;
    Found = Entries.emplace(Subject, host_entry{}).first;
  } else if (!newerThan(versionOf(Claim), versionOf(Found->second.Record))) {
    host_entry &Entry = Found->second;
    const bool SameSuspicion =
        Claim.Status == host_status::Suspect && versionOf(Claim) == versionOf(Entry.Record);
    if (!SameSuspicion || Entry.Accusers.size() >= ExpectedConfirmations + 1)
      return merge_outcome::Unchanged;
    return Entry.Accusers.insert(Claim.Accuser).second ? merge_outcome::Confirmed
                                                       : merge_outcome::Unchanged;
  }
  host_entry &Entry = Found->second;
  store(Entry, Claim);
  Entry.Accusers.clear();
  if (Claim.Status == host_status::Suspect) {
    Entry.Accusers.insert(Claim.Accuser);
    Entry.SuspectSince = ConnectedTime;
  }
  return merge_outcome::Changed;
}

std::vector<host_record> host_table::expiredSuspicions(const membership_settings &Settings,
                                                       mono_duration ConnectedTime) const {
  std::vector<host_record> ExpiredSuspicions;
  for (const auto &[Subject, Entry] : Entries) {
    if (Entry.Record.Status != host_status::Suspect)
      continue;
    // The first accuser raised the suspicion; only further ones confirm it.
    const std::size_t Confirmations = Entry.Accusers.empty() ? 0 : Entry.Accusers.size() - 1;
    if (ConnectedTime - Entry.SuspectSince >= suspicionTime(Settings, LiveHosts, Confirmations))
      ExpiredSuspicions.push_back(Entry.Record);
  }
  return ExpiredSuspicions;
}

const host_entry *host_table::find(std::uint64_t Subject) const {
  const auto Found = Entries.find(Subject);
  return Found == Entries.end() ? nullptr : &Found->second;
}

const host_entry *host_table::find(const host_name &Host) const { return find(subjectOf(Host)); }

const host_record &host_table::self() const { return find(Self.Host)->Record; }

std::vector<const host_record *> host_table::reachable() const {
  std::vector<const host_record *> Hosts;
  for (const auto &[Subject, Entry] : Entries)
    if (isLive(Entry.Record) && Entry.Record.Key.Host != Self.Host)
      Hosts.push_back(&Entry.Record);
  return Hosts;
}

std::vector<const host_record *> host_table::dead() const {
  std::vector<const host_record *> Hosts;
  for (const auto &[Subject, Entry] : Entries)
    if (Entry.Record.Status == host_status::Dead && Entry.Record.Key.Host != Self.Host)
      Hosts.push_back(&Entry.Record);
  return Hosts;
}

} // namespace pollenstall
