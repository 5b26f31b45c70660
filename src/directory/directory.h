/** @file directory.h Public header of directory: the leader's list of backend servers and its
 * copies. */
#ifndef POLLENSTALL_DIRECTORY_DIRECTORY_H
#define POLLENSTALL_DIRECTORY_DIRECTORY_H

#include "directory/backend_directory_base.h"  // IWYU pragma: export
#include "directory/directory_follower_base.h" // IWYU pragma: export
#include "directory/directory_type.h"          // IWYU pragma: export

#endif // POLLENSTALL_DIRECTORY_DIRECTORY_H
