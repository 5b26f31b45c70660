/** @file declaration_diff_type.h Differences between two declarations. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_DIFF_TYPE_H
#define POLLENSTALL_DECLARATION_DECLARATION_DIFF_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// Kinds of declared items, in the order of the canonical text.
enum class declaration_item : std::uint8_t {
  Service,
  Group,
  Selector,
  Placement,
  Account,
  Policy,
  Limits
};

/// How an item changed.
enum class change_kind : std::uint8_t {
  Added,
  Removed,
  Changed, ///< One key of the item has another value.
  Moved,   ///< A selector is tested earlier or later than before.
};

/// One difference.
struct declaration_change {
  change_kind Kind{change_kind::Changed};
  declaration_item Item{declaration_item::Service};
  std::string Name; ///< Empty for the policy and the limits.
  std::string Key;  ///< Set only for Changed.
  std::string From; ///< The value as TOML; for Moved, the position among the selectors kept.
  std::string To;

  bool operator==(const declaration_change &) const = default;
};

/// Removed items come first, then the others in the order of the canonical text. Empty if the
/// declarations are equal.
struct declaration_difference {
  std::vector<declaration_change> Changes;

  bool operator==(const declaration_difference &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_DIFF_TYPE_H
