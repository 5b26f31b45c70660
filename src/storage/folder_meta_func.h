/** @file folder_meta_func.h Identity and hard state files of a data folder. */
#ifndef POLLENSTALL_STORAGE_FOLDER_META_FUNC_H
#define POLLENSTALL_STORAGE_FOLDER_META_FUNC_H

#include "storage/file_handle_base.h"

namespace pollenstall {

/// @return The identity, or nothing if the folder has no identity file yet.
result<std::optional<folder_identity>, storage_error>
readIdentity(const std::filesystem::path &Folder);

storage_result writeIdentity(const file_system &FileSystem, const std::filesystem::path &Folder,
                             const folder_identity &Identity);

/// @return The hard state; a folder with an identity file always has one.
result<hard_state, storage_error> readHardState(const std::filesystem::path &Folder);

storage_result writeHardState(const file_system &FileSystem, const std::filesystem::path &Folder,
                              const hard_state &Hard);

} // namespace pollenstall

#endif // POLLENSTALL_STORAGE_FOLDER_META_FUNC_H
