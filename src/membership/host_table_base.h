/** @file host_table_base.h The system's own hosts: which claim about a host prevails. */
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

/// What a claim did to the table.
enum class merge_outcome : std::uint8_t {
  Nothing,   ///< Known already, or older than what is known.
  Confirmed, ///< A further host suspects independently: worth passing on.
  Changed,   ///< It prevails.
  Refused,   ///< Malformed, or the table is full.
};

/// One host as this host knows it.
struct host_entry {
  host_record Record;
  std::set<host_name> Accusers; ///< Who suspects it, for this refutation number.
  mono_duration SuspectSince{}; ///< On the listening clock.
};

/**
 * Claims about hosts. A higher incarnation prevails, then Left, then a higher refutation number,
 * then the stronger standing; so any two hosts that have heard the same claims hold the same table.
 */
class host_table {
public:
  /// @param Own This process; claims about it are not merged here but refuted by the caller.
  host_table(process_key Own, std::size_t Capacity);

  /**
   * Merges a claim.
   * @param Listened The listening clock, from which a suspicion's time runs.
   */
  merge_outcome merge(const host_record &Claim, mono_duration Listened);

  /// Replaces this process's own record.
  void putSelf(const host_record &Record);

  /// @return Hosts whose suspicion has run out, given how many hosts there are.
  [[nodiscard]] std::vector<host_record> overdue(const membership_settings &Settings,
                                                 mono_duration Listened) const;

  /// @return The entry of a host, or null.
  [[nodiscard]] const host_entry *find(const host_name &Host) const;
  [[nodiscard]] const host_entry *find(std::uint64_t Subject) const;
  /// @return This process's own record.
  [[nodiscard]] const host_record &self() const;
  /// @return Other hosts that are Alive or Suspect.
  [[nodiscard]] std::vector<const host_record *> reachable() const;
  /// @return Other hosts that are Dead.
  [[nodiscard]] std::vector<const host_record *> dead() const;
  /// @return Hosts that are Alive or Suspect, this one included.
  [[nodiscard]] std::size_t living() const { return Living; }
  /// @return All entries by subject.
  [[nodiscard]] const std::map<std::uint64_t, host_entry> &entries() const { return Entries; }
  /// @return The hash of each bucket, at the places that hosts have among SyncBuckets.
  [[nodiscard]] const std::array<std::uint64_t, SyncBuckets> &buckets() const { return Buckets; }

private:
  void store(host_entry &Entry, const host_record &Record);
  static std::size_t counts(const host_record &Record);

  process_key Self;
  std::size_t MaxHosts;
  std::map<std::uint64_t, host_entry> Entries;
  std::array<std::uint64_t, SyncBuckets> Buckets{};
  std::size_t Living{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_HOST_TABLE_BASE_H
