/** @file snapshot_files_base.h Snapshot files; the two newest are kept. */
#ifndef POLLENSTALL_STORAGE_SNAPSHOT_FILES_BASE_H
#define POLLENSTALL_STORAGE_SNAPSHOT_FILES_BASE_H

#include "storage/file_handle_base.h"

#include <memory>

namespace pollenstall {

/// Writes and reads snapshots. The previous snapshot is used if the newest is corrupt.
class snapshot_files {
public:
  snapshot_files(file_system SystemCalls, std::filesystem::path FolderPath)
      : FileSystem(std::move(SystemCalls)), Folder(std::move(FolderPath)) {}

  /// @return The index in a snapshot's file name, or nothing for other files.
  static std::optional<log_index> indexFromName(const std::string &Name);

  /// Finds the newest readable snapshot. @param Repairs Receives a line for each skipped snapshot.
  storage_result open(std::vector<std::string> &Repairs);
  /// Stores a snapshot durably and removes all but the newest two.
  storage_result store(std::shared_ptr<const log_snapshot> Snapshot);
  /// Removes all snapshots but the newest, if the log no longer connects an older one to it.
  storage_result removeOlder();

  /// @return The newest readable snapshot, or null.
  [[nodiscard]] const std::shared_ptr<const log_snapshot> &newest() const { return Newest; }
  /// @return The index up to which the log may be removed such that it still continues every kept
  /// snapshot.
  [[nodiscard]] log_index compactionLimit() const;

private:
  storage_result removeAllBut(std::size_t MaxKept);

  file_system FileSystem;
  std::filesystem::path Folder;
  std::vector<log_index> StoredIndexes; ///< Ascending.
  std::shared_ptr<const log_snapshot> Newest;
};

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_SNAPSHOT_FILES_BASE_H
