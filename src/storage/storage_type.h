/** @file storage_type.h Settings, contents and errors of a data folder. */
#ifndef POLLENSTALL_STORAGE_STORAGE_TYPE_H
#define POLLENSTALL_STORAGE_STORAGE_TYPE_H

#include "consensus/consensus_type.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <variant>

namespace pollenstall {

/// Contents of the identity file, which is written once when the folder is created.
struct folder_identity {
  std::string Fleet;
  member_key Key;

  bool operator==(const folder_identity &) const = default;
};

/// Options for opening a data folder.
struct storage_options {
  std::filesystem::path Folder; ///< Created if it is missing.
  std::string Fleet;            ///< Must equal the fleet in the identity file.
  member_id Member; ///< Must equal the member in the identity file. 0 accepts any; in an empty
                    ///< folder it makes the value of NewDiskIdentity the member's id.
  disk_identity NewDiskIdentity;         ///< Random; used if the folder is empty.
  std::uint64_t SegmentBytes{4U << 20U}; ///< A segment is closed beyond this size.
};

/// Another process holds the folder's lock.
struct folder_in_use {
  std::filesystem::path Folder;
};

/// The folder belongs to another fleet or member.
struct foreign_folder {
  folder_identity Found;
};

/// A system call failed.
struct file_failure {
  std::string Operation; ///< "open", "write", "sync", ...
  std::filesystem::path Path;
  int Errno{0};
};

/// No space is left; data that was durable before is intact.
struct disk_full {
  std::filesystem::path Path;
};

/// Durable data cannot be read back: the disk did not honor a sync or the data has decayed.
struct corrupt_file {
  std::filesystem::path Path;
  std::uint64_t Offset{0};
  std::string Reason;
};

using storage_error =
    std::variant<folder_in_use, foreign_folder, file_failure, disk_full, corrupt_file>;

/// @return One line that names the file.
std::string toText(const storage_error &Error);

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_STORAGE_TYPE_H
