/** @file selection_func.h Selectors, tested in order; the first that matches decides. */
#ifndef POLLENSTALL_DECLARATION_SELECTION_FUNC_H
#define POLLENSTALL_DECLARATION_SELECTION_FUNC_H

#include "declaration/declaration_type.h"
#include "declaration/selection_type.h"

#include <optional>
#include <string>

namespace pollenstall {

/// @return The condition that did not hold, or nothing where the selector matches; the service is
/// not looked at.
std::optional<selector_miss> missOf(const selector_declaration &Selector,
                                    const selector_input &Input);

/**
 * Tests the selectors of the request's service in order and says why each earlier one was passed
 * over. Entries use declaration_index::select(), which keeps no such account.
 */
selection select(const fleet_declaration &Declaration, const selector_input &Input);

/// @return Whether the selector has no conditions but its service.
bool matchesEverything(const selector_declaration &Selector);

/// @return Whether A matches every request that B matches, as far as each condition alone tells.
bool covers(const selector_declaration &A, const selector_declaration &B);

/// @return One sentence for operators: which condition the request did not meet.
std::string explainMiss(const selector_miss &Miss, const selector_declaration &Selector,
                        const selector_input &Input);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_SELECTION_FUNC_H
