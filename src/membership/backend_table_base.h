/** @file backend_table_base.h Merges backend server records and detects expired backend servers. */
#ifndef POLLENSTALL_MEMBERSHIP_BACKEND_TABLE_BASE_H
#define POLLENSTALL_MEMBERSHIP_BACKEND_TABLE_BASE_H

#include "membership/membership_message_type.h"
#include "membership/membership_settings_type.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/// The time of an event on both clocks.
struct event_time {
  mono_time Now;
  mono_duration ConnectedTime; ///< See connected_clock.
};

/// What this host knows of one backend server address. The entry of a backend server that has
/// been lost for TombstoneAfter remains as a tombstone, so that no older incarnation returns.
struct backend_entry {
  backend_announcement Announcement; ///< Of the highest known incarnation.
  std::uint64_t Sequence{0}; ///< Sequence of the report at which the announcement last changed.
  backend_load Load;
  mono_time ReportedAt;                  ///< When the backend server made the report in Load.
  mono_duration ReportedConnectedTime{}; ///< On the connected clock; expiry counts from here.
  mono_duration QueriedConnectedTime{};  ///< When this host last sent a load_query for it.
  mono_duration GossipedConnectedTime{}; ///< When this host last gossiped one of its reports.
  std::uint32_t DirectReports{0};        ///< Consecutive reports that this host received directly.
  bool Lost{false};
  bool Tombstone{false};
};

/// The effect of an event on the entry of one backend server.
struct backend_change {
  std::uint64_t Subject{0};
  bool Rejected{false};      ///< The table is full.
  bool Stale{false};         ///< The event belongs to an incarnation that a newer one has replaced.
  bool RecordChanged{false}; ///< The record changed and has to be gossiped.
  bool LoadChanged{false};   ///< A newer load report was stored.
  bool StatusChanged{false}; ///< Leaving or Lost changed.
  bool ReportedLossIsStale{false}; ///< Another host reported a loss, but this host has a newer
                                   ///< report, which has to be gossiped.
  bool NeedsRecord{false}; ///< The caller must fetch the full record, because a newer digest
                           ///< arrived for a tombstone.
  std::optional<backend_key> Replaced; ///< The incarnation that a newer one replaced.

  /// @return Whether the backend_view changed.
  [[nodiscard]] bool viewChanged() const {
    return RecordChanged || LoadChanged || StatusChanged || Replaced.has_value();
  }
};

/**
 * Records of backend servers. The result of merging does not depend on the order of arrival: the
 * higher incarnation prevails; within an incarnation, Leaving sticks and the higher report sequence
 * prevails; at the same sequence, Lost prevails until a newer report contradicts it.
 */
class backend_table {
public:
  explicit backend_table(const membership_settings &Values) : Settings(Values) {}

  /// Merges an announcement that the backend server sent to this host.
  backend_change announce(const backend_announcement &Announcement, const backend_load &Load,
                          event_time Time);
  /// Merges a record received from another host.
  backend_change merge(const backend_record &Record, event_time Time);
  /// Merges a load digest received from another host. Ignores the digest of an unknown backend
  /// server.
  backend_change merge(const load_digest &Digest, event_time Time);

  /// Returns the backend servers whose reports are overdue and about which this host should query
  /// its peers, and records the query time.
  std::vector<std::uint64_t> takeQueriesDue(mono_duration ConnectedTime);
  /// Marks backend servers whose expiry timeout has passed as lost. @return Their subjects.
  std::vector<std::uint64_t> expire(mono_duration ConnectedTime);
  /// Replaces the records of backend servers that have been lost for TombstoneAfter by tombstones.
  /// @return Their keys.
  std::vector<backend_key> createTombstones(mono_duration ConnectedTime);

  /// Returns whether this host has to gossip the report that it just received directly, and if so,
  /// records the time.
  bool takeGossipTurn(std::uint64_t Subject, mono_duration ConnectedTime);
  /// @return Time between two gossiped reports of one backend server, as the bandwidth budget
  /// permits.
  [[nodiscard]] mono_duration loadGossipInterval() const;

  [[nodiscard]] const backend_entry *find(std::uint64_t Subject) const;
  [[nodiscard]] const std::map<std::uint64_t, backend_entry> &entries() const { return Entries; }
  /// @return The subject of a digest id, or nothing if the id is unknown or ambiguous.
  [[nodiscard]] std::optional<std::uint64_t> subjectOfDigest(std::uint32_t Id) const;
  /// @return Whether two known backend servers share the digest id. Full records must then be sent
  /// instead of digests.
  [[nodiscard]] bool hasDigestIdCollision(std::uint64_t Subject) const;
  [[nodiscard]] backend_record record(std::uint64_t Subject, mono_time Now) const;
  [[nodiscard]] load_digest digest(std::uint64_t Subject, mono_time Now) const;
  [[nodiscard]] backend_view view(std::uint64_t Subject) const;
  /// @return The hash of each sync bucket; only the first BackendBuckets are used here.
  [[nodiscard]] const std::array<std::uint64_t, SyncBuckets> &buckets() const { return Buckets; }

private:
  backend_entry *findOrCreate(std::uint64_t Subject);
  bool evictTombstone();
  void replaceIncarnation(std::uint64_t Subject, backend_entry &Entry,
                          const backend_announcement &Announcement, backend_change &Change);
  void replaceRecord(std::uint64_t Subject, backend_entry &Entry,
                     const backend_announcement &Announcement, std::uint64_t Sequence);
  void markLeaving(std::uint64_t Subject, backend_entry &Entry, backend_change &Change);
  void mergeRecord(std::uint64_t Subject, backend_entry &Entry, const backend_record &Record,
                   backend_change &Change);
  void mergeLoad(backend_entry &Entry, const backend_load &Load, const load_digest &Digest,
                 event_time Time, backend_change &Change);
  void toggleBucket(std::uint64_t Subject, const backend_entry &Entry);
  void dropDigestId(std::uint64_t Subject, const backend_key &Key);
  [[nodiscard]] bool isExpired(const backend_entry &Entry, mono_duration ConnectedTime) const;
  [[nodiscard]] mono_duration indirectExpiry() const;
  [[nodiscard]] mono_duration expiryTimeout(const backend_entry &Entry) const;

  membership_settings Settings;
  std::map<std::uint64_t, backend_entry> Entries;
  std::unordered_map<std::uint32_t, std::vector<std::uint64_t>> ByDigest;
  std::array<std::uint64_t, SyncBuckets> Buckets{};
  std::size_t LiveBackends{0}; ///< Number of entries that are not Lost.
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_BACKEND_TABLE_BASE_H
