/** @file toml_parse_func.h Parses TOML text into nodes. */
#ifndef POLLENSTALL_TOML_TEXT_TOML_PARSE_FUNC_H
#define POLLENSTALL_TOML_TEXT_TOML_PARSE_FUNC_H

#include "core/core.h"
#include "toml_text/toml_node_type.h"

#include <string_view>

namespace pollenstall {

/// @return The root table, or the first syntax error.
result<toml_node, toml_error> parseToml(std::string_view Text);

/**
 * Finds the line of a key.
 * @param Root The root table of a document.
 * @param Path A path as in toml_error::Key.
 * @return The line of the node, or of its nearest enclosing node that exists.
 */
int findLine(const toml_node &Root, std::string_view Path);

} // namespace pollenstall

#endif // POLLENSTALL_TOML_TEXT_TOML_PARSE_FUNC_H
