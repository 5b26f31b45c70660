/** @file toml_node_type.h A parsed TOML document as plain values that know their line. */
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
using toml_table = std::vector<toml_member>; ///< Sorted by key; a key stands once.

/// A value of a TOML document; monostate stands for dates and times, which no reader here takes.
struct toml_node {
  std::variant<std::monostate, bool, std::int64_t, double, std::string, toml_list, toml_table>
      Value;
  int Line{0}; ///< From 1; 0 where the document gives none.
};

/// A key of a table with its value.
struct toml_member {
  std::string Key;
  toml_node Node;
};

/// What is wrong at one place of a document.
struct toml_fault {
  int Line{0};
  std::string Key;     ///< Path from the root, as "selector[2].groups"; empty for bad syntax.
  std::string Allowed; ///< What would have been right.
};

} // namespace pollenstall

#endif // POLLENSTALL_TOML_TEXT_TOML_NODE_TYPE_H
