/** @file declaration_parse_func.h Reads a declaration from its TOML text. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_PARSE_FUNC_H
#define POLLENSTALL_DECLARATION_DECLARATION_PARSE_FUNC_H

#include "declaration/declaration_error_type.h"
#include "declaration/declaration_type.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/**
 * Parses and checks a declaration. Lists whose order has no meaning are sorted, and header names,
 * hosts and methods get a uniform letter case, so that equivalent declarations compare equal.
 * @param Toml The text of the file.
 * @param FileName The file name for error messages.
 * @return The declaration, or all its errors. Types, ranges and unknown keys are checked first;
 * references between items are checked only if those are valid.
 */
result<fleet_declaration, std::vector<declaration_error>>
parseDeclaration(std::string_view Toml, std::string_view FileName);

/// Reads a declaration from text of any format. @return The declaration, or an error message.
using declaration_reader =
    std::function<result<fleet_declaration, std::string>(const std::string &Text)>;

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_PARSE_FUNC_H
