/** @file declaration_diff_type.h What two declarations differ in. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_DIFF_TYPE_H
#define POLLENSTALL_DECLARATION_DECLARATION_DIFF_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// The kinds of item, in the order of the canonical text.
enum class declaration_item : std::uint8_t {
  Service,
  Group,
  Selector,
  Placement,
  Account,
  Policy,
  Limits
};

/// What became of an item.
enum class change_kind : std::uint8_t {
  Added,
  Removed,
  Changed, ///< One key of it has another value.
  Moved,   ///< A selector that is tested earlier or later than before.
};

/// One difference.
struct declaration_change {
  change_kind Kind{change_kind::Changed};
  declaration_item Item{declaration_item::Service};
  std::string Name; ///< Empty for the policy and the limits.
  std::string Key;  ///< Only for Changed.
  std::string From; ///< The value as TOML; the place among the selectors kept for Moved.
  std::string To;

  bool operator==(const declaration_change &) const = default;
};

/// Removed items first, then the others in the order of the canonical text; empty for equal ones.
struct declaration_difference {
  std::vector<declaration_change> Changes;

  bool operator==(const declaration_difference &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_DIFF_TYPE_H
