/** @file file_system_base.h The few calls on files that storage makes, so that tests can fail them.
 */
#ifndef POLLENSTALL_STORAGE_FILE_SYSTEM_BASE_H
#define POLLENSTALL_STORAGE_FILE_SYSTEM_BASE_H

#include <cstddef>
#include <functional>
#include <sys/types.h>

namespace pollenstall {

/**
 * Calls that change or sync a file, with the meaning and errno of the system calls they are named
 * after. Tests put in others that fail, tear or flip.
 */
struct file_system {
  std::function<ssize_t(int File, const void *Bytes, std::size_t Size)> Write;
  std::function<int(int File)> SyncData; ///< fdatasync
  std::function<int(int File)> Sync;     ///< fsync, for folders too
  std::function<int(const char *From, const char *To)> Rename;
  std::function<int(int File, off_t Size)> Truncate; ///< ftruncate
};

/// @return The operating system's calls.
file_system osFileSystem();

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_FILE_SYSTEM_BASE_H
