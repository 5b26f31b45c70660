/** @file toml_text.h Public header of toml_text: TOML nodes with their lines, and a validating
 * reader. */
#ifndef POLLENSTALL_TOML_TEXT_TOML_TEXT_H
#define POLLENSTALL_TOML_TEXT_TOML_TEXT_H

#include "toml_text/toml_node_type.h"   // IWYU pragma: export
#include "toml_text/toml_parse_func.h"  // IWYU pragma: export
#include "toml_text/toml_reader_base.h" // IWYU pragma: export
#include "toml_text/toml_write_func.h"  // IWYU pragma: export

#endif // POLLENSTALL_TOML_TEXT_TOML_TEXT_H
