/** @file suspect.h Public header of suspect: requests that are suspected to crash backend servers.
 */
#ifndef POLLENSTALL_SUSPECT_SUSPECT_H
#define POLLENSTALL_SUSPECT_SUSPECT_H

#include "suspect/prompt_part_history_base.h" // IWYU pragma: export
#include "suspect/suspect_list_base.h"        // IWYU pragma: export
#include "suspect/suspect_table_base.h"       // IWYU pragma: export
#include "suspect/suspect_type.h"             // IWYU pragma: export

#endif // POLLENSTALL_SUSPECT_SUSPECT_H
