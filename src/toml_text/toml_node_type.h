/** @file toml_node_type.h Values of a parsed TOML document, each with its line. */
#ifndef POLLENSTALL_TOML_TEXT_TOML_NODE_TYPE_H
#define POLLENSTALL_TOML_TEXT_TOML_NODE_TYPE_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

struct toml_node;
struct toml_member;

using toml_list = std::vector<toml_node>;    ///< In the order of the file.
using toml_table = std::vector<toml_member>; ///< Sorted by key; keys are unique.

/// A value of a TOML document; monostate represents dates and times, which no reader accepts.
struct toml_node {
  std::variant<std::monostate, bool, std::int64_t, double, std::string, toml_list, toml_table>
      Value;
  int Line{0}; ///< Counted from 1; 0 if unknown.
};

/// A key of a table with its value.
struct toml_member {
  std::string Key;
  toml_node Node;
};

/// An error at one position of a document.
struct toml_error {
  int Line{0};
  std::string Key;     ///< Path from the root, as "selector[2].groups"; empty for a syntax error.
  std::string Allowed; ///< The accepted values, in words.
};

} // namespace pollenstall

#endif // POLLENSTALL_TOML_TEXT_TOML_NODE_TYPE_H
