/** @file declaration_error_type.h Errors and warnings of a declaration. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_ERROR_TYPE_H
#define POLLENSTALL_DECLARATION_DECLARATION_ERROR_TYPE_H

#include <compare>
#include <string>
#include <vector>

namespace pollenstall {

/// A reason to reject a declaration; one for each faulty key.
struct declaration_error {
  std::string File;
  int Line{0};         ///< Counted from 1; 0 if the text has no such line.
  std::string Key;     ///< As "selector[2].groups[0].group", indexed from 0; empty for bad TOML.
  std::string Allowed; ///< The accepted values, in words.

  auto operator<=>(const declaration_error &) const = default;
};

/// A valid passage that is probably a mistake.
struct declaration_warning {
  std::string Item; ///< As "selector long-canary".
  std::string Message;

  auto operator<=>(const declaration_warning &) const = default;
};

/// @return One line for each error: "file:line: key: allowed: …".
std::string toText(const std::vector<declaration_error> &Errors);

/// @return One line for each warning: "warning: item message".
std::string toText(const std::vector<declaration_warning> &Warnings);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_ERROR_TYPE_H
