/** @file toml_parse.cpp The only file of this library that sees tomlplusplus and its exceptions. */
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
  toml_node Plain;
  Plain.Line = static_cast<int>(Node.source().begin.line);
  if (const auto *Table = Node.as_table())
    Plain.Value = convertTable(*Table);
  else if (const auto *Array = Node.as_array())
    Plain.Value = convertList(*Array);
  else if (const auto Flag = Node.value_exact<bool>())
    Plain.Value = *Flag;
  else if (const auto Whole = Node.value_exact<std::int64_t>())
    Plain.Value = *Whole;
  else if (const auto Real = Node.value_exact<double>())
    Plain.Value = *Real;
  else if (const auto Text = Node.value_exact<std::string>())
    Plain.Value = *Text;
  return Plain;
}

const toml_node *memberOf(const toml_node &Node, std::string_view Key) {
  const auto *Table = std::get_if<toml_table>(&Node.Value);
  if (!Table)
    return nullptr;
  const auto Found = std::find_if(Table->begin(), Table->end(),
                                  [Key](const toml_member &Member) { return Member.Key == Key; });
  return Found == Table->end() ? nullptr : &Found->Node;
}

const toml_node *itemOf(const toml_node &Node, std::string_view Digits) {
  const auto *List = std::get_if<toml_list>(&Node.Value);
  const auto Index = parseNumber<std::size_t>(Digits);
  return List && Index && *Index < List->size() ? &(*List)[*Index] : nullptr;
}

/// Takes the first step, ".key", "key" or "[index]", off a path.
const toml_node *step(const toml_node &Node, std::string_view &Path) {
  if (Path.front() == '[') {
    const std::size_t End = std::min(Path.find(']'), Path.size() - 1);
    const std::string_view Digits = Path.substr(1, End - 1);
    Path.remove_prefix(End + 1);
    return itemOf(Node, Digits);
  }
  if (Path.front() == '.')
    Path.remove_prefix(1);
  const std::size_t End = std::min(Path.find_first_of(".["), Path.size());
  const std::string_view Key = Path.substr(0, End);
  Path.remove_prefix(End);
  return memberOf(Node, Key);
}

} // namespace

result<toml_node, toml_fault> parseToml(std::string_view Text) {
  // Debian builds the library with exceptions only, so they end here.
  try {
    return convert(toml::parse(Text));
  } catch (const toml::parse_error &Error) {
    return toml_fault{static_cast<int>(Error.source().begin.line), "",
                      "valid TOML: " + std::string(Error.description())};
  }
}

int lineOf(const toml_node &Root, std::string_view Path) {
  const toml_node *Node = &Root;
  int Line = 0;
  while (Node) {
    if (Node->Line > 0)
      Line = Node->Line;
    if (Path.empty())
      break;
    Node = step(*Node, Path);
  }
  return Line;
}

} // namespace pollenstall
