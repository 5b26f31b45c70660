/** @file host_table_base.h Merges claims about the system's own hosts. */
#ifndef POLLENSTALL_MEMBERSHIP_HOST_TABLE_BASE_H
#define POLLENSTALL_MEMBERSHIP_HOST_TABLE_BASE_H

#include "membership/membership_message_type.h"
#include "membership/membership_settings_type.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

/// The effect of a claim on the table.
enum class merge_outcome : std::uint8_t {
  Unchanged, ///< The claim is already known or stale.
  Confirmed, ///< A further host suspects independently; the claim has to be gossiped.
  Changed,   ///< The claim replaced the record.
  Rejected,  ///< The table is full.
};

/// What this host knows of one host.
struct host_entry {
  host_record Record;
  std::set<host_name> Accusers; ///< Hosts that suspect it at this refutation number.
  mono_duration SuspectSince{}; ///< On the connected clock.
};

/**
 * Claims about hosts. A higher incarnation prevails, then Left, then a higher refutation number,
 * then the stronger status. Any two hosts that have received the same claims therefore hold the
 * same table.
 */
class host_table {
public:
  /// @param Own This process. The caller refutes claims about it instead of merging them.
  host_table(process_key Own, std::size_t Capacity);

  /**
   * Merges a claim.
   * @param ConnectedTime The connected clock, on which the suspicion timeout runs.
   */
  merge_outcome merge(const host_record &Claim, mono_duration ConnectedTime);

  /// Replaces this process's own record.
  void setSelf(const host_record &Record);

  /// @return Records of hosts whose suspicion timeout has passed; the timeout depends on the number
  /// of live hosts.
  [[nodiscard]] std::vector<host_record> expiredSuspicions(const membership_settings &Settings,
                                                           mono_duration ConnectedTime) const;

  /// @return The entry of a host, or null.
  [[nodiscard]] const host_entry *find(const host_name &Host) const;
  [[nodiscard]] const host_entry *find(std::uint64_t Subject) const;
  /// @return This process's own record.
  [[nodiscard]] const host_record &self() const;
  /// @return Other hosts that are Alive or Suspect.
  [[nodiscard]] std::vector<const host_record *> reachable() const;
  /// @return Other hosts that are Dead.
  [[nodiscard]] std::vector<const host_record *> dead() const;
  /// @return Number of hosts that are Alive or Suspect, this one included.
  [[nodiscard]] std::size_t liveHostCount() const { return LiveHosts; }
  /// @return All entries by subject.
  [[nodiscard]] const std::map<std::uint64_t, host_entry> &entries() const { return Entries; }
  /// @return The hash of each sync bucket; only the last HostBuckets are used here.
  [[nodiscard]] const std::array<std::uint64_t, SyncBuckets> &buckets() const { return Buckets; }

private:
  void store(host_entry &Entry, const host_record &Record);
  static std::size_t liveCountOf(const host_record &Record);

  process_key Self;
  std::size_t MaxHosts;
  std::map<std::uint64_t, host_entry> Entries;
  std::array<std::uint64_t, SyncBuckets> Buckets{};
  std::size_t LiveHosts{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_HOST_TABLE_BASE_H
