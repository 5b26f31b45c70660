/** @file suspect_table_base.h Counts crashes of backend servers for each request that they ran, and
 * for each part of its prompt. */
#ifndef POLLENSTALL_SUSPECT_SUSPECT_TABLE_BASE_H
#define POLLENSTALL_SUSPECT_SUSPECT_TABLE_BASE_H

#include "suspect/suspect_type.h"

#include <map>
#include <vector>

namespace pollenstall {

/**
 * Detects requests that crash backend servers and blocks them.
 * One of the requests on a crashed backend server may be the cause, while the others only ran
 * there. The causing request recurs in several crashes and the others differ from crash to crash,
 * so crashes are counted for each request. Each incarnation of a server counts once, and a
 * successful run clears the request.
 *
 * A part of a prompt may crash each server that begins to answer a request with it. The other parts
 * of these requests are shared by requests whose answers begin. So a part is blocked for crashes
 * only as far as answers that have begun do not outweigh them, after a time in which entries can
 * report these. Of the parts that fit, the one with most crashes is blocked, and those whose
 * crashes it explains are forgotten.
 *
 * The state depends only on the sequence of calls, so that it is identical on all control hosts.
 */
class suspect_table {
public:
  explicit suspect_table(const suspect_tuning &TuningValues = {}) : Tuning(TuningValues) {}

  /// Records that a backend server crashed while it ran these requests.
  /// @param Now Must not decrease between calls.
  void recordCrash(const std::vector<request_fingerprint> &Fingerprints, incarnation Incarnation,
                   std::chrono::milliseconds Now);
  /// Records that an answer to a request with this part of a prompt has begun.
  /// @param High request_fingerprint::High of the part.
  void recordRunBegun(std::uint64_t High, std::chrono::milliseconds Now);
  /// Removes a request after a successful run, or what an operator unblocks.
  /// @param High request_fingerprint::High of the records to remove.
  void clearByHigh(std::uint64_t High);

  /// @return Whether there is a record of the fingerprint.
  [[nodiscard]] bool contains(const request_fingerprint &Fingerprint) const {
    return Records.contains(Fingerprint);
  }
  /// @return The requests and parts of prompts that entries, at Now, must refuse or whose
  /// successful runs they must report.
  [[nodiscard]] std::vector<published_suspect> published(std::chrono::milliseconds Now) const;
  /// @return A number that increases whenever a call changes published(), and sometimes without
  /// such a change. The passage of time does not increase it.
  [[nodiscard]] std::uint64_t version() const { return Version; }

  /// @return All records, ordered by fingerprint.
  [[nodiscard]] std::vector<suspect_record> records() const;
  /// Restores the records of a snapshot. @return Whether they are unique and within MaxRecords and
  /// MaxIncarnations; otherwise the table is unchanged.
  bool restore(const std::vector<suspect_record> &SnapshotRecords, std::uint64_t SnapshotVersion);

private:
  using record_map = std::map<request_fingerprint, suspect_record>;

  void recordCrashOf(const request_fingerprint &Fingerprint, incarnation Incarnation,
                     std::chrono::milliseconds Now);
  [[nodiscard]] bool isBlocked(const request_fingerprint &Fingerprint,
                               std::chrono::milliseconds Now) const;
  [[nodiscard]] bool isExplained(incarnation Crashed, std::chrono::milliseconds Now) const;
  void recordCrashOfPart(suspect_record &Record, std::chrono::milliseconds Now);
  [[nodiscard]] bool mayBlockPart(const suspect_record &Record,
                                  std::chrono::milliseconds Now) const;
  void blockLikeliestPart(const std::vector<request_fingerprint> &Fingerprints,
                          std::chrono::milliseconds Now);
  [[nodiscard]] std::int64_t weightOf(const suspect_record &Record) const;
  [[nodiscard]] bool hasLikelierCause(const suspect_record &Record,
                                      std::chrono::milliseconds Now) const;
  void discountExplained(const suspect_record &Cause, std::chrono::milliseconds Now);
  [[nodiscard]] bool isExpired(const suspect_record &Record, std::chrono::milliseconds Now) const;
  void block(suspect_record &Record, std::chrono::milliseconds Now);
  void expireRecords(std::chrono::milliseconds Now);
  bool makeRoom(std::uint64_t Account, std::chrono::milliseconds Now);
  template <typename Predicate>
  bool evictOldest(std::chrono::milliseconds Now, const Predicate &IsCandidate);
  [[nodiscard]] static bool isPublished(const suspect_record &Record,
                                        std::chrono::milliseconds Now);

  suspect_tuning Tuning;
  record_map Records;
  std::uint64_t Version{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_SUSPECT_SUSPECT_TABLE_BASE_H
