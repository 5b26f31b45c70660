/** @file log_files_base.h The log as a sequence of segment files. */
#ifndef POLLENSTALL_STORAGE_LOG_FILES_BASE_H
#define POLLENSTALL_STORAGE_LOG_FILES_BASE_H

#include "storage/log_segment_base.h"

#include <deque>

namespace pollenstall {

/// Consecutive entries in several segment files; entries are appended to the last one.
class log_files {
public:
  log_files(file_system SystemCalls, std::filesystem::path FolderPath,
            std::uint64_t BytesPerSegment)
      : FileSystem(std::move(SystemCalls)), Folder(std::move(FolderPath)),
        SegmentBytes(BytesPerSegment) {}

  /// Reads all segments. @param Entries Receives their entries. @param Repairs Receives a line for
  /// the log about a truncated tail.
  storage_result open(std::vector<log_entry> &Entries, std::vector<std::string> &Repairs);

  /// Writes entries without syncing the last segment; full segments are synced.
  storage_result append(const std::vector<log_entry> &Entries);
  storage_result sync();
  /// Removes the entries from Index on, durably.
  storage_result truncateFrom(log_index Index);
  /// Removes the segments that end at or before Index.
  storage_result compactTo(log_index Index);
  /// Removes all segments, the last one first, so that a crash leaves no gap in the log.
  storage_result removeAll();

private:
  storage_result rollOver(log_index First);

  file_system FileSystem;
  std::filesystem::path Folder;
  std::uint64_t SegmentBytes;
  std::deque<log_segment> Segments;
  bool Unsynced{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_LOG_FILES_BASE_H
