/** @file directory.h Public header of directory: which backend servers there are, kept by the
 * leader.
 */
#ifndef POLLENSTALL_DIRECTORY_DIRECTORY_H
#define POLLENSTALL_DIRECTORY_DIRECTORY_H

#include "directory/backend_directory_base.h"  // IWYU pragma: export
#include "directory/directory_follower_base.h" // IWYU pragma: export
#include "directory/directory_type.h"          // IWYU pragma: export

#endif // POLLENSTALL_DIRECTORY_DIRECTORY_H
