/** @file declaration_text_func.h A declaration as keys and values, and as one canonical text. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_TEXT_FUNC_H
#define POLLENSTALL_DECLARATION_DECLARATION_TEXT_FUNC_H

#include "declaration/declaration_diff_type.h"
#include "declaration/declaration_type.h"

#include <string>
#include <vector>

namespace pollenstall {

/// A key of an item with its value in TOML syntax.
struct item_field {
  std::string Key;
  std::string Value;
};

/// One item of a declaration with all its keys, including defaults.
struct item_description {
  declaration_item Item{declaration_item::Service};
  std::string Name; ///< Empty for the policy and the limits.
  std::vector<item_field> Fields;
};

/// @return All items in the order of the canonical text.
std::vector<item_description> describe(const fleet_declaration &Declaration);

/**
 * @return TOML that parseDeclaration() reads back as an equal declaration. It includes every
 * default, so that a later change of a default does not change an accepted declaration.
 */
std::string toCanonicalText(const fleet_declaration &Declaration);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_TEXT_FUNC_H
