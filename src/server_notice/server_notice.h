/** @file server_notice.h Public header of server_notice: what backend servers say of themselves in
 * their answers. */
#ifndef POLLENSTALL_SERVER_NOTICE_SERVER_NOTICE_H
#define POLLENSTALL_SERVER_NOTICE_SERVER_NOTICE_H

#include "server_notice/pause_statement_func.h" // IWYU pragma: export
#include "server_notice/pause_table_base.h"     // IWYU pragma: export
#include "server_notice/server_notice_type.h"   // IWYU pragma: export

#endif // POLLENSTALL_SERVER_NOTICE_SERVER_NOTICE_H
