/** @file log_files_base.h The log as a row of segments. */
#ifndef POLLENSTALL_STORAGE_LOG_FILES_BASE_H
#define POLLENSTALL_STORAGE_LOG_FILES_BASE_H

#include "storage/log_segment_base.h"

#include <deque>

namespace pollenstall {

/// Entries without gaps over several files; the last file grows.
class log_files {
public:
  log_files(file_system SystemCalls, std::filesystem::path Where, std::uint64_t BytesPerSegment)
      : FileSystem(std::move(SystemCalls)), Folder(std::move(Where)),
        SegmentBytes(BytesPerSegment) {}

  /// Reads all segments. @param Entries Receives what they hold. @param Repairs Receives what was
  /// cut, for the log.
  storage_result open(std::vector<log_entry> &Entries, std::vector<std::string> &Repairs);

  /// Writes entries without syncing the last segment; closed ones are synced.
  storage_result append(const std::vector<log_entry> &Entries);
  storage_result sync();
  /// Drops Index and what follows, durably.
  storage_result truncateFrom(log_index Index);
  /// Drops whole segments that end at or before Index.
  storage_result compactTo(log_index Index);
  /// Drops everything, last segment first: a crash leaves a log without a gap.
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
