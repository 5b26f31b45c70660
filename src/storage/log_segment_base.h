/** @file log_segment_base.h One segment file of the log. */
#ifndef POLLENSTALL_STORAGE_LOG_SEGMENT_BASE_H
#define POLLENSTALL_STORAGE_LOG_SEGMENT_BASE_H

#include "storage/file_handle_base.h"
#include "storage/record_type.h"

#include <vector>

namespace pollenstall {

/// Consecutive entries in one file, which is named after the first index.
class log_segment {
public:
  /// Creates an empty segment, durably.
  static result<log_segment, storage_error>
  create(const file_system &FileSystem, const std::filesystem::path &Folder, log_index First);

  /// The result of open().
  struct open_result;

  /**
   * Reads a segment. The last segment may end in a torn record, which is truncated. Any other
   * invalid record is an error.
   */
  static result<open_result, storage_error> open(const file_system &FileSystem,
                                                 const std::filesystem::path &Path, log_index First,
                                                 bool IsLast);

  /// @return The first index in a segment's file name, or nothing for other files.
  static std::optional<log_index> firstIndexFromName(const std::string &Name);

  [[nodiscard]] log_index first() const { return First; }
  /// @return The index of the last entry; first() - 1 if the segment is empty.
  [[nodiscard]] log_index last() const { return log_index(First.value() + Offsets.size() - 1); }
  [[nodiscard]] std::uint64_t size() const { return Size; }
  [[nodiscard]] const std::filesystem::path &path() const { return Path; }

  /// Writes entries without syncing them.
  storage_result append(const file_system &FileSystem, const log_entry *Begin,
                        const log_entry *End);
  storage_result sync(const file_system &FileSystem);
  /// Removes the entries from Index on, durably.
  storage_result truncateFrom(const file_system &FileSystem, log_index Index);

private:
  log_segment(std::filesystem::path FilePath, log_index FirstIndex, file_handle NewFile);
  storage_result truncateTo(const file_system &FileSystem, std::uint64_t Length);

  std::filesystem::path Path;
  log_index First;
  file_handle File;
  std::vector<std::uint64_t> Offsets; ///< Offset of each entry in the file.
  std::uint64_t Size{0};
  std::uint64_t Synced{0}; ///< Bytes known to be durable.
};

struct log_segment::open_result {
  log_segment Segment;
  std::vector<log_entry> Entries;
  std::uint64_t TruncatedBytes{0}; ///< Size of the torn tail.
};

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_LOG_SEGMENT_BASE_H
