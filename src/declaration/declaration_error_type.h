/** @file declaration_error_type.h What is wrong, or only doubtful, in a declaration. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_ERROR_TYPE_H
#define POLLENSTALL_DECLARATION_DECLARATION_ERROR_TYPE_H

#include <compare>
#include <string>
#include <vector>

namespace pollenstall {

/// Why a declaration is refused; one for each place that is wrong.
struct declaration_error {
  std::string File;
  int Line{0};         ///< From 1; 0 where the text has no such place.
  std::string Key;     ///< As "selector[2].groups[0].group", counted from 0; empty for bad TOML.
  std::string Allowed; ///< What would have been right.

  auto operator<=>(const declaration_error &) const = default;
};

/// Something that is allowed but is hardly meant.
struct declaration_warning {
  std::string Item; ///< As "selector long-canary".
  std::string Message;

  auto operator<=>(const declaration_warning &) const = default;
};

/// @return "file:line: key: allowed: …", one error a line.
std::string toText(const std::vector<declaration_error> &Errors);

/// @return "warning: item: message", one warning a line.
std::string toText(const std::vector<declaration_warning> &Warnings);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_ERROR_TYPE_H
