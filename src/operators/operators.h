/** @file operators.h Public header of operators: the HTTP server for operators and the
 * platform. */
#ifndef POLLENSTALL_OPERATORS_OPERATORS_H
#define POLLENSTALL_OPERATORS_OPERATORS_H

#include "operators/key_hash_func.h"        // IWYU pragma: export
#include "operators/operator_server_base.h" // IWYU pragma: export
#include "operators/operator_type.h"        // IWYU pragma: export

#endif // POLLENSTALL_OPERATORS_OPERATORS_H
