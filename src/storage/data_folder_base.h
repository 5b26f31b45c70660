/** @file data_folder_base.h The data folder of one member. */
#ifndef POLLENSTALL_STORAGE_DATA_FOLDER_BASE_H
#define POLLENSTALL_STORAGE_DATA_FOLDER_BASE_H

#include "storage/file_system_base.h"
#include "storage/storage_type.h"

#include <memory>
#include <vector>

namespace pollenstall {

/**
 * Holds a data folder open and locked. Used by one thread, the disk's.
 * After write() has failed, nothing more may be confirmed from this folder: the process must end
 * and open it anew (what a failed sync left in the page cache is unknown).
 */
class data_folder {
public:
  /// Opens, locks, checks and repairs (a torn tail only). @param Files Calls on files.
  static result<std::unique_ptr<data_folder>, storage_error>
  open(const storage_options &Options, file_system FileSystem = osFileSystem());

  ~data_folder();
  data_folder(const data_folder &) = delete;
  data_folder &operator=(const data_folder &) = delete;

  /// @return Who this folder belongs to; its Key is what the replica is built with.
  [[nodiscard]] const folder_identity &identity() const;

  /// @return What the folder held when it was opened; the caller may move it away.
  [[nodiscard]] restored_log &restored();

  /// @return What opening cut off or passed over, one line each, for the log.
  [[nodiscard]] const std::vector<std::string> &repairs() const;

  /**
   * Carries out persist actions in order with one sync of the log for all of them.
   * @return Success once all of them are durable: confirm the last one's number.
   */
  result<done, storage_error> write(const std::vector<persist_log> &Batch);

private:
  struct impl;
  explicit data_folder(std::unique_ptr<impl> Opened);

  std::unique_ptr<impl> Impl;
};

/// @return Whether a file of some size can be written and synced in the folder now; it is removed.
bool isWritable(const std::filesystem::path &Folder);

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_DATA_FOLDER_BASE_H
