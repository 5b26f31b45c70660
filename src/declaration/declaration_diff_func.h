/** @file declaration_diff_func.h Compares two declarations item by item. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_DIFF_FUNC_H
#define POLLENSTALL_DECLARATION_DECLARATION_DIFF_FUNC_H

#include "declaration/declaration_diff_type.h"
#include "declaration/declaration_type.h"

#include <string>
#include <string_view>

namespace pollenstall {

/// @return The changes that turn From into To.
declaration_difference diff(const fleet_declaration &From, const fleet_declaration &To);

/// @return The name of the item kind: "service", "group" and so on.
std::string_view itemText(declaration_item Item);

/// @return The name of the change kind: "added", "removed" and so on.
std::string_view kindText(change_kind Kind);

/// @return One line for each change, as "+ group canary" or "~ account x: share 1 -> 2".
std::string toText(const declaration_difference &Difference);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_DIFF_FUNC_H
