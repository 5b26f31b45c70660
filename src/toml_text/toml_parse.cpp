/** @file toml_parse.cpp Wraps tomlplusplus; no other file of this library uses it or sees its
 * exceptions. */
#include "toml_text/toml_parse_func.h"

#include "core/core.h"

#include <algorithm>

#include <toml++/toml.h>

namespace pollenstall {

namespace {

toml_node convert(const toml::node &Node);

toml_table convertTable(const toml::table &Table) {
  toml_table Members;
  for (const auto &[Key, Node] : Table)
    Members.push_back({std::string(Key.str()), convert(Node)});
  return Members;
}

toml_list convertList(const toml::array &Array) {
  toml_list Items;
  for (const toml::node &Node : Array)
    Items.push_back(convert(Node));
  return Items;
}

toml_node convert(const toml::node &Node) {
  toml_node Converted;
  Converted.Line = static_cast<int>(Node.source().begin.line);
  if (const auto *Table = Node.as_table())
    Converted.Value = convertTable(*Table);
  else if (const auto *Array = Node.as_array())
    Converted.Value = convertList(*Array);
  else if (const auto Flag = Node.value_exact<bool>())
    Converted.Value = *Flag;
  else if (const auto Whole = Node.value_exact<std::int64_t>())
    Converted.Value = *Whole;
  else if (const auto Real = Node.value_exact<double>())
    Converted.Value = *Real;
  else if (const auto Text = Node.value_exact<std::string>())
    Converted.Value = *Text;
  return Converted;
}

const toml_node *findMember(const toml_node &Node, std::string_view Key) {
  const auto *Table = std::get_if<toml_table>(&Node.Value);
  if (!Table)
    return nullptr;
  const auto Found = std::find_if(Table->begin(), Table->end(),
                                  [Key](const toml_member &Member) { return Member.Key == Key; });
  return Found == Table->end() ? nullptr : &Found->Node;
}

const toml_node *elementAt(const toml_node &Node, std::string_view Digits) {
  const auto *List = std::get_if<toml_list>(&Node.Value);
  const auto Index = parseNumber<std::size_t>(Digits);
  return List && Index && *Index < List->size() ? &(*List)[*Index] : nullptr;
}

/// Removes the first step, ".key", "key" or "[index]", from a path.
/// @return The node that it leads to, or null.
const toml_node *resolveStep(const toml_node &Node, std::string_view &Path) {
  if (Path.front() == '[') {
    const std::size_t End = std::min(Path.find(']'), Path.size() - 1);
    const std::string_view Digits = Path.substr(1, End - 1);
    Path.remove_prefix(End + 1);
    return elementAt(Node, Digits);
  }
  if (Path.front() == '.')
    Path.remove_prefix(1);
  const std::size_t End = std::min(Path.find_first_of(".["), Path.size());
  const std::string_view Key = Path.substr(0, End);
  Path.remove_prefix(End);
  return findMember(Node, Key);
}

} // namespace

result<toml_node, toml_error> parseToml(std::string_view Text) {
  // Debian's build of the library reports errors only by exception; convert it to an error here.
  try {
    return convert(toml::parse(Text));
  } catch (const toml::parse_error &Error) {
    return toml_error{static_cast<int>(Error.source().begin.line), "",
                      "valid TOML: " + std::string(Error.description())};
  }
}

int findLine(const toml_node &Root, std::string_view Path) {
  const toml_node *Node = &Root;
  int Line = 0;
  while (Node) {
    if (Node->Line > 0)
      Line = Node->Line;
    if (Path.empty())
      break;
    Node = resolveStep(*Node, Path);
  }
  return Line;
}

} // namespace pollenstall
