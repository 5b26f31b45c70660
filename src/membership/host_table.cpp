/** @file host_table.cpp The system's own hosts: which claim about a host prevails. */
#include "membership/host_table_base.h"

#include "membership/record_func.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

constexpr std::size_t ExpectedConfirmations = 3;

bool lives(const host_record &Record) { return Record.Standing <= host_standing::Suspect; }

/// Lifeguard's rule: from the maximum down to the minimum with each independent suspicion.
mono_duration suspicionTime(const membership_settings &Settings, std::size_t Hosts,
                            std::size_t Accusers) {
  const double Scale = std::max(1.0, std::log10(static_cast<double>(Hosts)));
  const double Least = static_cast<double>(Settings.SuspicionMinimum.count()) * Scale;
  const double Most = static_cast<double>(Settings.SuspicionMaximum.count()) * Scale;
  // In a fleet of three only one other host can confirm.
  const std::size_t Possible = Hosts > 2 ? Hosts - 2 : 1;
  const auto Needed = static_cast<double>(std::min(ExpectedConfirmations, Possible));
  const double Seen = std::min(static_cast<double>(Accusers), Needed);
  const double Span = Most - (Most - Least) * std::log(Seen + 1.0) / std::log(Needed + 1.0);
  return mono_duration(static_cast<mono_duration::rep>(Span));
}

} // namespace

host_table::host_table(process_key Own, std::size_t Capacity)
    : Self(std::move(Own)), MaxHosts(Capacity) {}

std::size_t host_table::counts(const host_record &Record) { return lives(Record) ? 1 : 0; }

void host_table::store(host_entry &Entry, const host_record &Record) {
  const std::uint64_t Subject = subjectOf(Record.Key.Host);
  std::uint64_t &Bucket = Buckets[hostBucket(Subject)];
  const bool Known = !Entry.Record.Key.Host.empty();
  if (Known) {
    Bucket ^= hashOf(versionOf(Entry.Record));
    Living -= counts(Entry.Record);
    requireInvariant(Record.Key.Incarnation >= Entry.Record.Key.Incarnation,
                     "no older incarnation of a host replaces a newer one");
  }
  Entry.Record = Record;
  Bucket ^= hashOf(versionOf(Record));
  Living += counts(Record);
}

void host_table::putSelf(const host_record &Record) {
  store(Entries[subjectOf(Record.Key.Host)], Record);
}

merge_outcome host_table::merge(const host_record &Claim, mono_duration Listened) {
  const std::uint64_t Subject = subjectOf(Claim.Key.Host);
  auto Found = Entries.find(Subject);
  if (Found == Entries.end()) {
    if (Entries.size() >= MaxHosts)
      return merge_outcome::Refused;
    Found = Entries.emplace(Subject, host_entry{}).first;
  } else if (!newerThan(versionOf(Claim), versionOf(Found->second.Record))) {
    host_entry &Entry = Found->second;
    const bool SameSuspicion =
        Claim.Standing == host_standing::Suspect && versionOf(Claim) == versionOf(Entry.Record);
    if (!SameSuspicion || Entry.Accusers.size() >= ExpectedConfirmations + 1)
      return merge_outcome::Nothing;
    return Entry.Accusers.insert(Claim.Accuser).second ? merge_outcome::Confirmed
                                                       : merge_outcome::Nothing;
  }
  host_entry &Entry = Found->second;
  store(Entry, Claim);
  Entry.Accusers.clear();
  if (Claim.Standing == host_standing::Suspect) {
    Entry.Accusers.insert(Claim.Accuser);
    Entry.SuspectSince = Listened;
  }
  return merge_outcome::Changed;
}

std::vector<host_record> host_table::overdue(const membership_settings &Settings,
                                             mono_duration Listened) const {
  std::vector<host_record> Overdue;
  for (const auto &[Subject, Entry] : Entries) {
    if (Entry.Record.Standing != host_standing::Suspect)
      continue;
    // The first accuser is the suspicion itself; only further ones confirm it.
    const std::size_t Confirmations = Entry.Accusers.empty() ? 0 : Entry.Accusers.size() - 1;
    if (Listened - Entry.SuspectSince >= suspicionTime(Settings, Living, Confirmations))
      Overdue.push_back(Entry.Record);
  }
  return Overdue;
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
    if (lives(Entry.Record) && Entry.Record.Key.Host != Self.Host)
      Hosts.push_back(&Entry.Record);
  return Hosts;
}

std::vector<const host_record *> host_table::dead() const {
  std::vector<const host_record *> Hosts;
  for (const auto &[Subject, Entry] : Entries)
    if (Entry.Record.Standing == host_standing::Dead && Entry.Record.Key.Host != Self.Host)
      Hosts.push_back(&Entry.Record);
  return Hosts;
}

} // namespace pollenstall
