/** @file toml_parse_func.h Turns TOML text into plain nodes. */
#ifndef POLLENSTALL_TOML_TEXT_TOML_PARSE_FUNC_H
#define POLLENSTALL_TOML_TEXT_TOML_PARSE_FUNC_H

#include "core/core.h"
#include "toml_text/toml_node_type.h"

#include <string_view>

namespace pollenstall {

/// @return The root table, or the first place where the text is not TOML.
result<toml_node, toml_fault> parseToml(std::string_view Text);

/**
 * Finds where a key stands.
 * @param Root The root table of a document.
 * @param Path A path as in toml_fault::Key.
 * @return The line of the node, or of the nearest enclosing node that the document has.
 */
int lineOf(const toml_node &Root, std::string_view Path);

} // namespace pollenstall

#endif // POLLENSTALL_TOML_TEXT_TOML_PARSE_FUNC_H
