/** @file scratch_folder_base.h A temporary data folder and a file system with injected faults. */
#ifndef POLLENSTALL_TESTS_STORAGE_SCRATCH_FOLDER_BASE_H
#define POLLENSTALL_TESTS_STORAGE_SCRATCH_FOLDER_BASE_H

#include "storage/storage.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace pollenstall {

/// The file operations that fail from now on.
struct file_faults {
  bool SyncFails{false};
  std::optional<std::size_t> BytesLeft; ///< Writes beyond this number of bytes fail with ENOSPC.
};

/// Returns the operations of the operating system with the faults of Faults.
inline file_system faultyFileSystem(file_faults &Faults) {
  file_system FileSystem = osFileSystem();
  FileSystem.Write = [&Faults, Write = FileSystem.Write](int File, const void *Bytes,
                                                         std::size_t Size) {
    if (!Faults.BytesLeft)
      return Write(File, Bytes, Size);
    if (*Faults.BytesLeft == 0) {
      errno = ENOSPC;
      return ssize_t{-1};
    }
    const ssize_t Written = Write(File, Bytes, std::min(Size, *Faults.BytesLeft));
    *Faults.BytesLeft -= static_cast<std::size_t>(Written);
    return Written;
  };
  FileSystem.SyncData = [&Faults, Sync = FileSystem.SyncData](int File) {
    if (!Faults.SyncFails)
      return Sync(File);
    errno = EIO;
    return -1;
  };
  return FileSystem;
}

inline log_entry entryAt(std::uint64_t Index, std::uint64_t Term = 1, std::string Payload = "") {
  if (Payload.empty())
    Payload = "entry " + std::to_string(Index);
  return {log_index(Index), term_number(Term), entry_kind::Command, std::move(Payload)};
}

inline persist_log writeOf(std::uint64_t First, std::uint64_t Last, std::uint64_t Term = 1) {
  persist_log Write;
  for (std::uint64_t Index = First; Index <= Last; ++Index)
    Write.Entries.push_back(entryAt(Index, Term));
  return Write;
}

inline std::shared_ptr<const log_snapshot> snapshotAt(std::uint64_t Index, std::uint64_t Term = 1) {
  const member_set Members{cluster_id(5),
                           {{{member_id(1), disk_identity(9)}, voting_status::Voter}}};
  return std::make_shared<const log_snapshot>(
      log_snapshot{log_index(Index), term_number(Term), Members, "state " + std::to_string(Index)});
}

/// A temporary data folder, removed by the destructor.
class scratch_folder {
public:
  scratch_folder() {
    std::string Pattern = (std::filesystem::temp_directory_path() / "storage-XXXXXX").string();
    Path = ::mkdtemp(Pattern.data());
    Options = {Path / "data", "accra", member_id(1), disk_identity(9), 4U << 20U};
  }
  ~scratch_folder() { std::filesystem::remove_all(Path); }
  scratch_folder(const scratch_folder &) = delete;
  scratch_folder &operator=(const scratch_folder &) = delete;

  result<std::unique_ptr<data_folder>, storage_error> tryOpen() const {
    return data_folder::open(Options);
  }
  std::unique_ptr<data_folder> open(file_system FileSystem = osFileSystem()) const {
    auto Opened = data_folder::open(Options, std::move(FileSystem));
    EXPECT_TRUE(succeeded(Opened)) << toText(errorOf(Opened));
    return std::move(valueOf(Opened));
  }

  /// Opens the folder, writes one batch and closes the folder.
  void writeOnce(const std::vector<persist_log> &Batch) const {
    const auto Written = open()->write(Batch);
    ASSERT_TRUE(succeeded(Written)) << toText(errorOf(Written));
  }

  /// @return The last segment's path.
  [[nodiscard]] std::filesystem::path lastSegment() const {
    std::filesystem::path Last;
    for (const auto &File : std::filesystem::directory_iterator(Options.Folder))
      if (File.path().filename().string().starts_with("log-"))
        Last = std::max(Last, File.path());
    return Last;
  }

  /// Changes one byte of a file.
  static void flipByte(const std::filesystem::path &Path, std::uint64_t Offset) {
    std::fstream File(Path, std::ios::in | std::ios::out | std::ios::binary);
    File.seekg(static_cast<std::streamoff>(Offset));
    const int Byte = File.get();
    File.seekp(static_cast<std::streamoff>(Offset));
    File.put(static_cast<char>(Byte ^ 0x40));
  }

  std::filesystem::path Path;
  storage_options Options;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_STORAGE_SCRATCH_FOLDER_BASE_H
