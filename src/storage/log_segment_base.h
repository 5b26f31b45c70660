/** @file log_segment_base.h One file of the log. */
#ifndef POLLENSTALL_STORAGE_LOG_SEGMENT_BASE_H
#define POLLENSTALL_STORAGE_LOG_SEGMENT_BASE_H

#include "storage/file_handle_base.h"
#include "storage/record_type.h"

#include <vector>

namespace pollenstall {

/// Consecutive entries in one file, named for the first of them.
class log_segment {
public:
  /// Makes an empty segment, durably.
  static result<log_segment, storage_error>
  create(const file_system &FileSystem, const std::filesystem::path &Folder, log_index First);

  /// What reading a segment gave.
  struct open_result;

  /**
   * Reads a segment. Only the last one may end in a torn record, which is cut off; any other fault
   * is damage.
   */
  static result<open_result, storage_error> open(const file_system &FileSystem,
                                                 const std::filesystem::path &Path, log_index First,
                                                 bool IsLast);

  /// @return The first index in a segment's file name, or nothing for other files.
  static std::optional<log_index> firstIndexFromName(const std::string &Name);

  [[nodiscard]] log_index first() const { return First; }
  /// @return The last entry's index; before first() where there is none.
  [[nodiscard]] log_index last() const { return log_index(First.value() + Offsets.size() - 1); }
  [[nodiscard]] std::uint64_t size() const { return Size; }
  [[nodiscard]] const std::filesystem::path &path() const { return Path; }

  /// Writes entries without syncing them.
  storage_result append(const file_system &FileSystem, const log_entry *Begin,
                        const log_entry *End);
  storage_result sync(const file_system &FileSystem);
  /// Cuts off Index and what follows, durably.
  storage_result truncateFrom(const file_system &FileSystem, log_index Index);

private:
  log_segment(std::filesystem::path Where, log_index FirstIndex, file_handle Opened);
  storage_result truncateTo(const file_system &FileSystem, std::uint64_t Length);

  std::filesystem::path Path;
  log_index First;
  file_handle File;
  std::vector<std::uint64_t> Offsets; ///< Of each entry.
  std::uint64_t Size{0};
  std::uint64_t Synced{0}; ///< Bytes that are known to be on the disk.
};

struct log_segment::open_result {
  log_segment Segment;
  std::vector<log_entry> Entries;
  std::uint64_t TruncatedBytes{0}; ///< What the torn tail held.
};

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_LOG_SEGMENT_BASE_H
