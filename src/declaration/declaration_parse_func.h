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
 * Reads and checks a declaration. Items whose order has no meaning come out sorted, and header
 * names, hosts and methods in one case, so that equal declarations compare equal.
 * @param Toml The text of the file.
 * @param FileName Only for the errors.
 * @return The declaration, or everything that is wrong with it: types, ranges and unknown keys
 * first; references between items only once those are right.
 */
result<fleet_declaration, std::vector<declaration_error>>
parseDeclaration(std::string_view Toml, std::string_view FileName);

/// Reads a declaration from text of any format. @return The declaration, or what is wrong with it.
using declaration_reader =
    std::function<result<fleet_declaration, std::string>(const std::string &Text)>;

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_PARSE_FUNC_H
