/** @file selection_func.h Selectors, tested in order; the first that matches decides. */
#ifndef POLLENSTALL_DECLARATION_SELECTION_FUNC_H
#define POLLENSTALL_DECLARATION_SELECTION_FUNC_H

#include "declaration/declaration_type.h"
#include "declaration/selection_type.h"

#include <optional>
#include <string>

namespace pollenstall {

/// @return The first condition that does not hold, or nothing if the selector matches. The service
/// is not compared.
std::optional<selector_mismatch> findMismatch(const selector_declaration &Selector,
                                              const selector_input &Input);

/**
 * Tests the selectors of the request's service in order and records why each earlier one did not
 * match. Entries use declaration_index::select(), which records no mismatches.
 */
selection select(const fleet_declaration &Declaration, const selector_input &Input);

/// @return Whether the selector has no conditions other than its service.
bool matchesEverything(const selector_declaration &Selector);

/// @return Whether A matches every request that B matches, with each condition compared on its own.
bool covers(const selector_declaration &A, const selector_declaration &B);

/// @return One sentence for operators that names the condition the request does not meet.
std::string explainMismatch(const selector_mismatch &Miss, const selector_declaration &Selector,
                            const selector_input &Input);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_SELECTION_FUNC_H
