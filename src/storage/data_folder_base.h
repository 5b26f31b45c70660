/** @file data_folder_base.h The data folder of one member. */
#ifndef POLLENSTALL_STORAGE_DATA_FOLDER_BASE_H
#define POLLENSTALL_STORAGE_DATA_FOLDER_BASE_H

#include "storage/file_system_base.h"
#include "storage/storage_type.h"

#include <memory>
#include <vector>

namespace pollenstall {

/**
 * An open and locked data folder. Not thread-safe; used by one thread only.
 * After write() has failed, all later writes fail: the process must end and open the folder again,
 * because the page cache is in an unknown state after a failed sync.
 */
class data_folder {
public:
  /// Opens, locks and checks the folder; the only repair is to truncate a torn tail.
  /// @param FileSystem The file operations to use.
  static result<std::unique_ptr<data_folder>, storage_error>
  open(const storage_options &Options, file_system FileSystem = osFileSystem());

  ~data_folder();
  data_folder(const data_folder &) = delete;
  data_folder &operator=(const data_folder &) = delete;

  /// @return The owner of this folder; its Key is passed to replica_builder.
  [[nodiscard]] const folder_identity &identity() const;

  /// @return The contents of the folder when it was opened; the caller may move from it.
  [[nodiscard]] restored_log &restored();

  /// @return One line for the log for each truncated tail and skipped snapshot found by open().
  [[nodiscard]] const std::vector<std::string> &repairs() const;

  /**
   * Executes persist actions in order with one sync of the log for all of them.
   * @return Success once all actions are durable, so that the last action's number may be
   * confirmed.
   */
  result<done, storage_error> write(const std::vector<persist_log> &Batch);

private:
  struct impl;
  explicit data_folder(std::unique_ptr<impl> Opened);

  std::unique_ptr<impl> Impl;
};

/// @return Whether a probe file can be written and synced in the folder. Removes the file.
bool isWritable(const std::filesystem::path &Folder);

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_DATA_FOLDER_BASE_H
