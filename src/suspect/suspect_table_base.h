/** @file suspect_table_base.h Counts the crashes of backend servers by the requests that they ran.
 */
#ifndef POLLENSTALL_SUSPECT_SUSPECT_TABLE_BASE_H
#define POLLENSTALL_SUSPECT_SUSPECT_TABLE_BASE_H

#include "suspect/suspect_type.h"

#include <map>
#include <vector>

namespace pollenstall {

/**
 * One of the requests on a backend server may be why it crashed; the others only ran there. The
 * cause is what several crashes have in common: crashes are counted by request, each life of a
 * server once, and a run that ends well clears the request.
 *
 * A function of the calls alone, so that it is the same on every control host.
 */
class suspect_table {
public:
  explicit suspect_table(const suspect_tuning &Values = {}) : Tuning(Values) {}

  /// These requests were running on a backend server when it crashed.
  /// @param Now Never less than before.
  void noteCrash(const std::vector<request_mark> &Marks, incarnation Incarnation,
                 std::chrono::milliseconds Now);
  /// A run of the request ended well, or an operator says that it may run.
  /// @param High Of its mark.
  void clear(std::uint64_t High);

  /// @return Requests to refuse or to watch, as of then.
  [[nodiscard]] std::vector<told_suspect> told(std::chrono::milliseconds Now) const;
  /// @return A number that rises where told() has changed otherwise than by time.
  [[nodiscard]] std::uint64_t version() const { return Version; }

  /// @return All records, by their marks.
  [[nodiscard]] std::vector<suspect_record> records() const;
  /// @return Whether the records are within the bounds; otherwise nothing is taken.
  bool restore(const std::vector<suspect_record> &Kept, std::uint64_t KeptVersion);

private:
  using record_map = std::map<request_mark, suspect_record>;

  void noteOne(const request_mark &Mark, incarnation Incarnation, std::chrono::milliseconds Now);
  void block(suspect_record &Record, std::chrono::milliseconds Now);
  void forgetOld(std::chrono::milliseconds Now);
  bool makeRoom(std::uint64_t Account, std::chrono::milliseconds Now);
  template <typename Counts> bool dropOldest(std::chrono::milliseconds Now, const Counts &Of);
  [[nodiscard]] static bool isTold(const suspect_record &Record, std::chrono::milliseconds Now);

  suspect_tuning Tuning;
  record_map Records;
  std::uint64_t Version{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_SUSPECT_SUSPECT_TABLE_BASE_H
