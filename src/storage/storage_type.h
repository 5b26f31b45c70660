/** @file storage_type.h Settings, contents and errors of a data folder. */
#ifndef POLLENSTALL_STORAGE_STORAGE_TYPE_H
#define POLLENSTALL_STORAGE_STORAGE_TYPE_H

#include "consensus/consensus_type.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <variant>

namespace pollenstall {

/// What the identity file says; written once when the folder is made.
struct folder_identity {
  std::string Fleet;
  member_key Key;

  bool operator==(const folder_identity &) const = default;
};

/// How a data folder is opened.
struct storage_options {
  std::filesystem::path Folder; ///< Made where it is missing.
  std::string Fleet;            ///< Must equal the identity file's.
  member_id Member; ///< Must equal the identity file's; 0 takes that, or a fresh disk's number.
  disk_identity NewDiskIdentity;         ///< Random; taken where the folder is empty.
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

/// The operating system refused something.
struct file_failure {
  std::string Operation; ///< "open", "write", "sync", ...
  std::filesystem::path Path;
  int Errno{0};
};

/// No space left; what was durable before is undamaged.
struct disk_full {
  std::filesystem::path Path;
};

/// Bytes that were durable once do not read back: the disk has lied or decayed.
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
