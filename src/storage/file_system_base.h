/** @file file_system_base.h The file operations of storage, replaceable for fault injection. */
#ifndef POLLENSTALL_STORAGE_FILE_SYSTEM_BASE_H
#define POLLENSTALL_STORAGE_FILE_SYSTEM_BASE_H

#include <cstddef>
#include <functional>
#include <sys/types.h>

namespace pollenstall {

/**
 * Operations that change or sync a file, with the semantics and errno of the system calls of the
 * same names. Tests substitute operations that fail, tear writes or flip bits.
 */
struct file_system {
  std::function<ssize_t(int File, const void *Bytes, std::size_t Size)> Write;
  std::function<int(int File)> SyncData; ///< fdatasync
  std::function<int(int File)> Sync;     ///< fsync, for folders too
  std::function<int(const char *From, const char *To)> Rename;
  std::function<int(int File, off_t Size)> Truncate; ///< ftruncate
};

/// @return The operations of the operating system.
file_system osFileSystem();

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_FILE_SYSTEM_BASE_H
