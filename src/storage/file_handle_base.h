/** @file file_handle_base.h RAII file descriptors and file operations with errors. */
#ifndef POLLENSTALL_STORAGE_FILE_HANDLE_BASE_H
#define POLLENSTALL_STORAGE_FILE_HANDLE_BASE_H

#include "storage/file_system_base.h"
#include "storage/storage_type.h"

#include <string_view>

namespace pollenstall {

using storage_result = result<done, storage_error>;

/// Owns a file descriptor.
class file_handle {
public:
  file_handle() = default;
  explicit file_handle(int NewDescriptor) : Descriptor(NewDescriptor) {}
  ~file_handle();
  file_handle(file_handle &&Other) noexcept;
  file_handle &operator=(file_handle &&Other) noexcept;
  file_handle(const file_handle &) = delete;
  file_handle &operator=(const file_handle &) = delete;

  [[nodiscard]] int descriptor() const { return Descriptor; }

private:
  int Descriptor{-1};
};

/// @return The error for errno after Operation on Path; disk_full if no space is left.
storage_error errorFromErrno(std::string Operation, const std::filesystem::path &Path);

/// Opens a file with O_CLOEXEC. @param Flags Flags of open(2).
result<file_handle, storage_error> openFile(const std::filesystem::path &Path, int Flags);

/// Writes all bytes at the file's position.
storage_result writeAll(const file_system &FileSystem, const file_handle &File,
                        std::string_view Bytes, const std::filesystem::path &Path);

/// @return All of the file's bytes.
result<std::string, storage_error> readEntireFile(const std::filesystem::path &Path);

/// Makes renames, creations and removals in the folder durable.
storage_result syncFolder(const file_system &FileSystem, const std::filesystem::path &Folder);

/// Replaces the file atomically: a crash leaves either the old or the new contents.
storage_result replaceFile(const file_system &FileSystem, const std::filesystem::path &Path,
                           std::string_view Bytes);

/// Removes a file without making that durable. A missing file is not an error.
storage_result removeFile(const std::filesystem::path &Path);

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_FILE_HANDLE_BASE_H
