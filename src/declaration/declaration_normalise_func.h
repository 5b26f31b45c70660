/** @file declaration_normalise_func.h Converts equivalent declarations to one canonical form. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_NORMALISE_FUNC_H
#define POLLENSTALL_DECLARATION_DECLARATION_NORMALISE_FUNC_H

#include "declaration/declaration_type.h"

namespace pollenstall {

/// Normalises letter case of hosts, header names and methods, and the form of path prefixes.
void normaliseSpelling(fleet_declaration &Fleet);

/// Sorts all lists whose order has no meaning: every list except the selectors.
void normaliseOrder(fleet_declaration &Fleet);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_NORMALISE_FUNC_H
