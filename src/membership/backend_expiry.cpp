/** @file backend_expiry.cpp Backend servers: when silence means lost, and what others are told. */
#include "membership/backend_table_base.h"

#include "membership/load_digest_func.h"
#include "membership/record_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::uint32_t SteadyRun = 6;    // by chance rarer than 1 in 30,000 among 8 hosts
constexpr double EnvelopeAllowance = 120; // bytes of a datagram that are no digests
constexpr double Slack = 1.1;             // a full queue would add its own lag to every report

} // namespace

mono_duration backend_table::releaseInterval() const {
  const std::chrono::duration<double> Round = Settings.GossipInterval;
  const double Datagram = Settings.LoadBytesPerSecond * Round.count() / Settings.Fanout;
  const double Digests = std::max(1.0, (Datagram - EnvelopeAllowance) / DigestWireBytes);
  const auto Rounds = static_cast<double>(Present) / Digests * Slack;
  const auto Budgeted = std::chrono::duration_cast<mono_duration>(Round * Rounds);
  return std::max(Settings.AnnouncementInterval, Budgeted);
}

mono_duration backend_table::quietExpiry() const {
  return Settings.BackendExpiry + 2 * (releaseInterval() - Settings.AnnouncementInterval);
}

mono_duration backend_table::patience(const backend_entry &Entry) const {
  // Whoever heard it regularly is the first to know. Reports that reach now this host, now that one
  // prove nothing by staying away from here, nor does the lag of the gossip.
  return Entry.DirectRun >= SteadyRun ? Settings.BackendExpiry
                                      : quietExpiry() + Settings.QueryGrace;
}

bool backend_table::givenUp(const backend_entry &Entry, mono_duration Listened) const {
  return Listened - Entry.HeardListening >= patience(Entry);
}

std::vector<std::uint64_t> backend_table::takeDoubtful(mono_duration Listened) {
  std::vector<std::uint64_t> Doubtful;
  for (auto &[Subject, Entry] : Entries) {
    if (Entry.Lost || Listened - Entry.HeardListening < patience(Entry) - Settings.QueryGrace ||
        Listened - Entry.QueriedListening < Settings.QueryGrace / 2)
      continue;
    Entry.QueriedListening = Listened;
    Doubtful.push_back(Subject);
  }
  return Doubtful;
}

std::vector<std::uint64_t> backend_table::expire(mono_duration Listened) {
  std::vector<std::uint64_t> Expired;
  for (auto &[Subject, Entry] : Entries) {
    if (Entry.Lost || !givenUp(Entry, Listened))
      continue;
    Entry.Lost = true;
    Entry.DirectRun = 0;
    Expired.push_back(Subject);
  }
  Present -= Expired.size();
  return Expired;
}

std::vector<backend_key> backend_table::forget(mono_duration Listened) {
  std::vector<backend_key> Gone;
  for (auto &[Subject, Entry] : Entries) {
    if (!Entry.Lost || Entry.Forgotten || Listened - Entry.HeardListening < Settings.ForgetAfter)
      continue;
    Entry.Forgotten = true;
    backend_announcement Stub;
    Stub.Key = Entry.Announcement.Key;
    Stub.Leaving = Entry.Announcement.Leaving;
    Entry.Announcement = Stub;
    Gone.push_back(Stub.Key);
  }
  return Gone;
}

bool backend_table::takeRelease(std::uint64_t Subject, mono_duration Listened) {
  backend_entry &Entry = Entries.at(Subject);
  const mono_duration Interval = releaseInterval();
  const auto Every =
      static_cast<std::uint64_t>((Interval + Settings.AnnouncementInterval - mono_duration(1)) /
                                 Settings.AnnouncementInterval);
  // Reports reach now this host, now that one. By time alone each host that the last release has
  // not reached yet would release its own; by the report's number all agree on which one it is.
  const bool Turn = Entry.Load.Sequence % Every == Subject % Every;
  // A backend server may count its reports in other steps than one, or the turn's report was lost.
  const bool Overdue = Listened - Entry.ReleasedListening >= 2 * Interval;
  if (!Turn && !Overdue)
    return false;
  Entry.ReleasedListening = Listened;
  return true;
}

const backend_entry *backend_table::find(std::uint64_t Subject) const {
  const auto Found = Entries.find(Subject);
  return Found == Entries.end() ? nullptr : &Found->second;
}

std::optional<std::uint64_t> backend_table::subjectOfDigest(std::uint32_t Id) const {
  const auto Found = ByDigest.find(Id);
  if (Found == ByDigest.end() || Found->second.size() != 1)
    return std::nullopt;
  return Found->second.front();
}

bool backend_table::ambiguous(std::uint64_t Subject) const {
  return !subjectOfDigest(digestId(Entries.at(Subject).Announcement.Key)).has_value();
}

load_digest backend_table::digest(std::uint64_t Subject, mono_time Now) const {
  const backend_entry &Entry = Entries.at(Subject);
  return packLoad(Entry.Announcement.Key, Entry.Load,
                  {Now - Entry.HeardAt, Entry.Announcement.Leaving, Entry.Lost});
}

backend_record backend_table::record(std::uint64_t Subject, mono_time Now) const {
  const backend_entry &Entry = Entries.at(Subject);
  return {Entry.Announcement, Entry.Sequence, Entry.Load.Sequence, digest(Subject, Now),
          Entry.Forgotten};
}

backend_view backend_table::view(std::uint64_t Subject) const {
  const backend_entry &Entry = Entries.at(Subject);
  backend_standing Standing = backend_standing::Active;
  if (Entry.Announcement.Leaving)
    Standing = backend_standing::Leaving;
  if (Entry.Lost)
    Standing = backend_standing::Lost;
  return {Entry.Announcement, Entry.Load, Standing, Entry.HeardAt};
}

} // namespace pollenstall
