/** @file declaration_check_func.h Rules that join several items of a declaration. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_CHECK_FUNC_H
#define POLLENSTALL_DECLARATION_DECLARATION_CHECK_FUNC_H

#include "declaration/declaration_error_type.h"
#include "declaration/declaration_type.h"

#include <string>
#include <vector>

namespace pollenstall {

/// A broken rule; the parser adds file and line.
struct declaration_fault {
  std::string Key;     ///< As declaration_error::Key.
  std::string Allowed; ///< What would have been right.
};

/**
 * Checks names, references, overlaps and that every service ends in a selector without conditions.
 * @return Nothing where all rules hold.
 */
std::vector<declaration_fault> checkDeclaration(const fleet_declaration &Declaration);

/// @return Selectors that no request reaches, groups that no selector names, and the like.
std::vector<declaration_warning> findWarnings(const fleet_declaration &Declaration);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_CHECK_FUNC_H
