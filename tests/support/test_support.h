/** @file test_support.h Public header of test_support: real processes, files and HTTP for tests. */
#ifndef POLLENSTALL_SUPPORT_TEST_SUPPORT_H
#define POLLENSTALL_SUPPORT_TEST_SUPPORT_H

#include "support/backend_process_base.h" // IWYU pragma: export
#include "support/child_process_base.h"   // IWYU pragma: export
#include "support/eventually_func.h"      // IWYU pragma: export
#include "support/free_address_func.h"    // IWYU pragma: export
#include "support/http_client_base.h"     // IWYU pragma: export
#include "support/http_stub_base.h"       // IWYU pragma: export
#include "support/raw_socket_base.h"      // IWYU pragma: export
#include "support/scripted_server_base.h" // IWYU pragma: export
#include "support/temp_folder_base.h"     // IWYU pragma: export

#endif // POLLENSTALL_SUPPORT_TEST_SUPPORT_H
