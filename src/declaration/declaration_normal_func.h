/** @file declaration_normal_func.h One form for declarations that mean the same. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_NORMAL_FUNC_H
#define POLLENSTALL_DECLARATION_DECLARATION_NORMAL_FUNC_H

#include "declaration/declaration_type.h"

namespace pollenstall {

/// Brings hosts, header names, methods and path prefixes into one spelling.
void normaliseSpelling(fleet_declaration &Fleet);

/// Sorts what has no order of its own: everything but the selectors.
void normaliseOrder(fleet_declaration &Fleet);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_NORMAL_FUNC_H
