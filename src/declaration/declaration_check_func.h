/** @file declaration_check_func.h Checks rules that span several items of a declaration. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_CHECK_FUNC_H
#define POLLENSTALL_DECLARATION_DECLARATION_CHECK_FUNC_H

#include "declaration/declaration_error_type.h"
#include "declaration/declaration_type.h"

#include <string>
#include <vector>

namespace pollenstall {

/// A violated rule; the parser adds file and line.
struct declaration_violation {
  std::string Key;     ///< As declaration_error::Key.
  std::string Allowed; ///< The accepted values, in words.
};

/**
 * Checks names, references and overlaps, and that the last selector of every service has no
 * conditions.
 * @return The violations; empty if all rules hold.
 */
std::vector<declaration_violation> checkDeclaration(const fleet_declaration &Declaration);

/// @return Warnings, for example of selectors that no request reaches and of unused groups.
std::vector<declaration_warning> findWarnings(const fleet_declaration &Declaration);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_CHECK_FUNC_H
