/** @file backend_table_base.h Backend servers: which record prevails, and when silence means lost.
 */
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

/// The moment of an event on both clocks.
struct table_time {
  mono_time Now;
  mono_duration Listened; ///< See listening_clock.
};

/// One backend server address as this host knows it; kept for good, so that no older life returns.
struct backend_entry {
  backend_announcement Announcement; ///< The highest incarnation heard of.
  std::uint64_t Sequence{0};         ///< Report at which the announcement last changed.
  backend_load Load;
  mono_time HeardAt;                 ///< When the backend server made that report.
  mono_duration HeardListening{};    ///< The same on the listening clock; expiry counts from here.
  mono_duration QueriedListening{};  ///< When others were last asked for news of it.
  mono_duration ReleasedListening{}; ///< When a report of it last entered the gossip.
  std::uint32_t DirectRun{0};        ///< Reports in a row that this host heard itself.
  bool Lost{false};
  bool Forgotten{false};
};

/// What an event did to one backend server.
struct backend_change {
  std::uint64_t Subject{0};
  bool Refused{false};     ///< Malformed or the table is full.
  bool Older{false};       ///< Of an incarnation that was replaced.
  bool Record{false};      ///< The record changed and is worth spreading.
  bool Load{false};        ///< A newer report.
  bool Standing{false};    ///< Leaving or Lost changed.
  bool Contradicts{false}; ///< Given up elsewhere for a silence that is known to have ended.
  bool NeedsBody{false};   ///< Heard again after its announcement was forgotten here.
  std::optional<backend_key> Replaced; ///< The incarnation that is gone for good.

  /// @return Whether the view changed.
  [[nodiscard]] bool any() const { return Record || Load || Standing || Replaced.has_value(); }
};

/**
 * Records of backend servers, merged so that the order of arrival does not matter: the higher
 * incarnation prevails; within one, Leaving sticks and the higher report sequence prevails; at the
 * same sequence Lost prevails until a newer report contradicts it.
 */
class backend_table {
public:
  explicit backend_table(const membership_settings &Values) : Settings(Values) {}

  /// The backend server told this host itself.
  backend_change announce(const backend_announcement &Announcement, const backend_load &Load,
                          table_time Time);
  /// Another host passed on a record.
  backend_change merge(const backend_record &Record, table_time Time);
  /// Another host passed on a load digest; one of an unknown backend server does nothing.
  backend_change merge(const load_digest &Digest, table_time Time);

  /// @return Those silent for so long that others should be asked; marks them as asked.
  std::vector<std::uint64_t> takeDoubtful(mono_duration Listened);
  /// Gives up those that stayed silent. @return Their subjects.
  std::vector<std::uint64_t> expire(mono_duration Listened);
  /// Drops the announcements of those lost for long. @return Their keys.
  std::vector<backend_key> forget(mono_duration Listened);

  /// @return Whether a report heard directly is due to enter the gossip; notes that it did.
  bool takeRelease(std::uint64_t Subject, mono_duration Listened);
  /// @return Time between two reports of one backend server in the gossip, from the byte budget.
  [[nodiscard]] mono_duration releaseInterval() const;

  [[nodiscard]] const backend_entry *find(std::uint64_t Subject) const;
  [[nodiscard]] const std::map<std::uint64_t, backend_entry> &entries() const { return Entries; }
  /// @return The subject of a digest id, or nothing where it is unknown or ambiguous.
  [[nodiscard]] std::optional<std::uint64_t> subjectOfDigest(std::uint32_t Id) const;
  /// @return Whether two known backend servers share the digest id, so that records must be sent.
  [[nodiscard]] bool ambiguous(std::uint64_t Subject) const;
  [[nodiscard]] backend_record record(std::uint64_t Subject, mono_time Now) const;
  [[nodiscard]] load_digest digest(std::uint64_t Subject, mono_time Now) const;
  [[nodiscard]] backend_view view(std::uint64_t Subject) const;
  /// @return The hash of each bucket, at the places that backend servers have among SyncBuckets.
  [[nodiscard]] const std::array<std::uint64_t, SyncBuckets> &buckets() const { return Buckets; }

private:
  backend_entry *admit(std::uint64_t Subject);
  bool evictOne();
  void replaceIncarnation(std::uint64_t Subject, backend_entry &Entry,
                          const backend_announcement &Announcement, backend_change &Change);
  void rewrite(std::uint64_t Subject, backend_entry &Entry,
               const backend_announcement &Announcement, std::uint64_t Sequence);
  void markLeaving(std::uint64_t Subject, backend_entry &Entry, backend_change &Change);
  void mergeBody(std::uint64_t Subject, backend_entry &Entry, const backend_record &Record,
                 backend_change &Change);
  void mergeLoad(backend_entry &Entry, const backend_load &Load, const load_digest &Digest,
                 table_time Time, backend_change &Change);
  void toggleBucket(std::uint64_t Subject, const backend_entry &Entry);
  void dropDigestId(std::uint64_t Subject, const backend_key &Key);
  [[nodiscard]] bool givenUp(const backend_entry &Entry, mono_duration Listened) const;
  [[nodiscard]] mono_duration quietExpiry() const;
  [[nodiscard]] mono_duration patience(const backend_entry &Entry) const;

  membership_settings Settings;
  std::map<std::uint64_t, backend_entry> Entries;
  std::unordered_map<std::uint32_t, std::vector<std::uint64_t>> ByDigest;
  std::array<std::uint64_t, SyncBuckets> Buckets{};
  std::size_t Present{0}; ///< Entries that are not Lost.
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_BACKEND_TABLE_BASE_H
