/** @file declaration.h Public header of declaration: parses, checks, compares and looks up
 * what operators declare. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_H
#define POLLENSTALL_DECLARATION_DECLARATION_H

#include "declaration/declaration_check_func.h"     // IWYU pragma: export
#include "declaration/declaration_diff_func.h"      // IWYU pragma: export
#include "declaration/declaration_error_type.h"     // IWYU pragma: export
#include "declaration/declaration_index_base.h"     // IWYU pragma: export
#include "declaration/declaration_normalise_func.h" // IWYU pragma: export
#include "declaration/declaration_parse_func.h"     // IWYU pragma: export
#include "declaration/declaration_text_func.h"      // IWYU pragma: export
#include "declaration/declaration_type.h"           // IWYU pragma: export
#include "declaration/request_path_func.h"          // IWYU pragma: export
#include "declaration/selection_func.h"             // IWYU pragma: export

#endif // POLLENSTALL_DECLARATION_DECLARATION_H
