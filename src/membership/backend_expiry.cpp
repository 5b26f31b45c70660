/** @file backend_expiry.cpp backend_table: expiry of backend servers, gossip turns and views. */
#include "membership/backend_table_base.h"

#include "membership/load_digest_func.h"
#include "membership/record_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

// With 8 hosts and random routing, six consecutive reports reach the same host with a probability
// below 1 in 30,000.
constexpr std::uint32_t MinDirectReports = 6;
constexpr double EnvelopeAllowance = 120; // bytes of a datagram besides its digests
constexpr double BudgetHeadroom = 1.1;    // avoids the queueing delay of a fully used budget

} // namespace

mono_duration backend_table::loadGossipInterval() const {
  const std::chrono::duration<double> Round = Settings.GossipInterval;
  const double Datagram = Settings.LoadBytesPerSecond * Round.count() / Settings.Fanout;
  const double Digests = std::max(1.0, (Datagram - EnvelopeAllowance) / DigestWireBytes);
  const auto Rounds = static_cast<double>(LiveBackends) / Digests * BudgetHeadroom;
  const auto Budgeted = std::chrono::duration_cast<mono_duration>(Round * Rounds);
  return std::max(Settings.AnnouncementInterval, Budgeted);
}

mono_duration backend_table::indirectExpiry() const {
  return Settings.BackendExpiry + 2 * (loadGossipInterval() - Settings.AnnouncementInterval);
}

mono_duration backend_table::expiryTimeout(const backend_entry &Entry) const {
  // A host that receives every report directly may use the short timeout, so it detects a loss
  // first. If reports reach alternating hosts, a report that is missing here may have reached
  // another host. This host must then also allow for the delay of the gossip and for the answers to
  // its queries.
  return Entry.DirectReports >= MinDirectReports ? Settings.BackendExpiry
                                                 : indirectExpiry() + Settings.QueryGrace;
}

bool backend_table::isExpired(const backend_entry &Entry, mono_duration ConnectedTime) const {
  return ConnectedTime - Entry.ReportedConnectedTime >= expiryTimeout(Entry);
}

std::vector<std::uint64_t> backend_table::takeQueriesDue(mono_duration ConnectedTime) {
  std::vector<std::uint64_t> QueriesDue;
  for (auto &[Subject, Entry] : Entries) {
    if (Entry.Lost ||
        ConnectedTime - Entry.ReportedConnectedTime < expiryTimeout(Entry) - Settings.QueryGrace ||
        ConnectedTime - Entry.QueriedConnectedTime < Settings.QueryGrace / 2)
      continue;
    Entry.QueriedConnectedTime = ConnectedTime;
    QueriesDue.push_back(Subject);
  }
  return QueriesDue;
}

std::vector<std::uint64_t> backend_table::expire(mono_duration ConnectedTime) {
  std::vector<std::uint64_t> Expired;
  for (auto &[Subject, Entry] : Entries) {
    if (Entry.Lost || !isExpired(Entry, ConnectedTime))
      continue;
    Entry.Lost = true;
    Entry.DirectReports = 0;
    Expired.push_back(Subject);
  }
  LiveBackends -= Expired.size();
  return Expired;
}

std::vector<backend_key> backend_table::createTombstones(mono_duration ConnectedTime) {
  std::vector<backend_key> Retired;
  for (auto &[Subject, Entry] : Entries) {
    if (!Entry.Lost || Entry.Tombstone ||
        ConnectedTime - Entry.ReportedConnectedTime < Settings.TombstoneAfter)
      continue;
    Entry.Tombstone = true;
    backend_announcement Remnant;
    Remnant.Key = Entry.Announcement.Key;
    Remnant.Leaving = Entry.Announcement.Leaving;
    Entry.Announcement = Remnant;
    Retired.push_back(Remnant.Key);
  }
  return Retired;
}

bool backend_table::takeGossipTurn(std::uint64_t Subject, mono_duration ConnectedTime) {
  backend_entry &Entry = Entries.at(Subject);
  const mono_duration Interval = loadGossipInterval();
  const auto ReportsPerTurn =
      static_cast<std::uint64_t>((Interval + Settings.AnnouncementInterval - mono_duration(1)) /
                                 Settings.AnnouncementInterval);
  // Reports may reach alternating hosts. The sequence of a report determines whether it is
  // gossiped, so all hosts select the same reports. With a timer alone, each host that the last
  // gossiped report has not reached yet would gossip another one.
  const bool HasTurn = Entry.Load.Sequence % ReportsPerTurn == Subject % ReportsPerTurn;
  // A backend server may increase its sequence by more than one, or the selected report was lost.
  const bool IsOverdue = ConnectedTime - Entry.GossipedConnectedTime >= 2 * Interval;
  if (!HasTurn && !IsOverdue)
    return false;
  Entry.GossipedConnectedTime = ConnectedTime;
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

bool backend_table::hasDigestIdCollision(std::uint64_t Subject) const {
  return !subjectOfDigest(digestId(Entries.at(Subject).Announcement.Key)).has_value();
}

load_digest backend_table::digest(std::uint64_t Subject, mono_time Now) const {
  const backend_entry &Entry = Entries.at(Subject);
  return packLoad(Entry.Announcement.Key, Entry.Load,
                  {Now - Entry.ReportedAt, Entry.Announcement.Leaving, Entry.Lost});
}

backend_record backend_table::record(std::uint64_t Subject, mono_time Now) const {
  const backend_entry &Entry = Entries.at(Subject);
  return {Entry.Announcement, Entry.Sequence, Entry.Load.Sequence, digest(Subject, Now),
          Entry.Tombstone};
}

backend_view backend_table::view(std::uint64_t Subject) const {
  const backend_entry &Entry = Entries.at(Subject);
  backend_status Status = backend_status::Active;
  if (Entry.Announcement.Leaving)
    Status = backend_status::Leaving;
  if (Entry.Lost)
    Status = backend_status::Lost;
  return {Entry.Announcement, Entry.Load, Status, Entry.ReportedAt};
}

} // namespace pollenstall
