/** @file path.h Public header of path: by which way an entry connects to a backend server, and
 * whether servers send. */
#ifndef POLLENSTALL_PATH_PATH_H
#define POLLENSTALL_PATH_PATH_H

#include "path/connection_race_base.h" // IWYU pragma: export
#include "path/path_table_base.h"      // IWYU pragma: export
#include "path/path_type.h"            // IWYU pragma: export
#include "path/queue_place_func.h"     // IWYU pragma: export
#include "path/server_activity_base.h"
#include "path/tunnel_peers_base.h" // IWYU pragma: export

#endif // POLLENSTALL_PATH_PATH_H
