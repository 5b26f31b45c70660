/** @file storage.h Public header of storage: a member's hard state, log and snapshots on disk. */
#ifndef POLLENSTALL_STORAGE_STORAGE_H
#define POLLENSTALL_STORAGE_STORAGE_H

#include "storage/data_folder_base.h" // IWYU pragma: export
#include "storage/file_system_base.h" // IWYU pragma: export
#include "storage/storage_type.h"     // IWYU pragma: export

#endif // POLLENSTALL_STORAGE_STORAGE_H
