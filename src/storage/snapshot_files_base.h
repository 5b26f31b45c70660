/** @file snapshot_files_base.h Snapshots as files, the newest two of them kept. */
#ifndef POLLENSTALL_STORAGE_SNAPSHOT_FILES_BASE_H
#define POLLENSTALL_STORAGE_SNAPSHOT_FILES_BASE_H

#include "storage/file_handle_base.h"

#include <memory>

namespace pollenstall {

/// Writes and finds snapshots; the one before the newest serves where the newest has decayed.
class snapshot_files {
public:
  snapshot_files(file_system SystemCalls, std::filesystem::path Where)
      : FileSystem(std::move(SystemCalls)), Folder(std::move(Where)) {}

  /// @return The index in a snapshot's file name, or nothing for other files.
  static std::optional<log_index> indexFromName(const std::string &Name);

  /// Finds the newest readable snapshot. @param Repairs Receives what had to be passed over.
  storage_result open(std::vector<std::string> &Repairs);
  /// Stores a snapshot durably and drops all but the newest two.
  storage_result store(std::shared_ptr<const log_snapshot> Snapshot);
  /// Drops all but the newest: the log no longer leads from an older one to it.
  storage_result removeOlder();

  /// @return The newest readable snapshot, or null.
  [[nodiscard]] const std::shared_ptr<const log_snapshot> &newest() const { return Newest; }
  /// @return Up to where the log may be dropped so that every kept snapshot still leads on.
  [[nodiscard]] log_index compactionLimit() const;

private:
  storage_result removeAllBut(std::size_t Kept);

  file_system FileSystem;
  std::filesystem::path Folder;
  std::vector<log_index> StoredIndexes; ///< Rising.
  std::shared_ptr<const log_snapshot> Newest;
};

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_SNAPSHOT_FILES_BASE_H
