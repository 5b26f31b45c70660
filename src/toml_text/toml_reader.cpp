/** @file toml_reader.cpp Checks type, range and rule of each key; every error has key and line. */
#include "toml_text/toml_reader_base.h"

#include "toml_text/toml_write_func.h"

#include <algorithm>

namespace pollenstall {

toml_reader::toml_reader(const toml_node &Node, std::string NodePath,
                         std::vector<toml_error> &ErrorList)
    : Members(std::get_if<toml_table>(&Node.Value)), Line(Node.Line), Path(std::move(NodePath)),
      Errors(&ErrorList) {
  if (!Members)
    addError(Line, Path, "a table");
}

std::string toml_reader::text(std::string_view Key, toml_presence Presence,
                              const toml_text_rule &Rule) {
  const toml_node *Node = find(Key, Presence, Rule.Allowed);
  return Node ? checkedText(*Node, keyPath(Key), Rule).value_or("") : std::string();
}

std::vector<std::string> toml_reader::texts(std::string_view Key, toml_presence Presence,
                                            const toml_text_rule &Rule) {
  const toml_node *Node = find(Key, Presence, "a list, each " + Rule.Allowed);
  if (!Node)
    return {};
  const auto *List = std::get_if<toml_list>(&Node->Value);
  if (!List) {
    addError(Node->Line, keyPath(Key), "a list, each " + Rule.Allowed);
    return {};
  }
  std::vector<std::string> Texts;
  for (std::size_t Index = 0; Index < List->size(); ++Index)
    if (auto Text = checkedText((*List)[Index], elementPath(Key, Index), Rule))
      Texts.push_back(std::move(*Text));
  return Texts;
}

std::map<std::string, std::string> toml_reader::textTable(std::string_view Key,
                                                          toml_presence Presence,
                                                          const toml_text_rule &KeyRule,
                                                          const toml_text_rule &ValueRule) {
  const toml_node *Node = find(Key, Presence, "a table of texts");
  if (!Node)
    return {};
  const auto *Table = std::get_if<toml_table>(&Node->Value);
  if (!Table) {
    addError(Node->Line, keyPath(Key), "a table of texts");
    return {};
  }
  std::map<std::string, std::string> Texts;
  for (const toml_member &Member : *Table) {
    const std::string MemberPath = keyPath(Key) + "." + Member.Key;
    if (!KeyRule.IsValid(Member.Key))
      addError(Member.Node.Line, MemberPath, "as a key " + KeyRule.Allowed);
    else if (auto Text = checkedText(Member.Node, MemberPath, ValueRule))
      Texts.emplace(Member.Key, std::move(*Text));
  }
  return Texts;
}

std::optional<std::string> toml_reader::checkedText(const toml_node &Node,
                                                    const std::string &NodePath,
                                                    const toml_text_rule &Rule) {
  const auto *Text = std::get_if<std::string>(&Node.Value);
  if (Text && Rule.IsValid(*Text))
    return *Text;
  addError(Node.Line, NodePath, Rule.Allowed);
  return std::nullopt;
}

std::int64_t toml_reader::integer(std::string_view Key, toml_range<std::int64_t> Range,
                                  std::int64_t Default) {
  return integer(Key, Range).value_or(Default);
}

std::optional<std::int64_t> toml_reader::integer(std::string_view Key,
                                                 toml_range<std::int64_t> Range) {
  const std::string Allowed =
      "a whole number from " + std::to_string(Range.Min) + " to " + std::to_string(Range.Max);
  const toml_node *Node = find(Key, toml_presence::Optional, Allowed);
  if (!Node)
    return std::nullopt;
  const auto *Value = std::get_if<std::int64_t>(&Node->Value);
  if (!Value || *Value < Range.Min || *Value > Range.Max) {
    addError(Node->Line, keyPath(Key), Allowed);
    return std::nullopt;
  }
  return *Value;
}

double toml_reader::number(std::string_view Key, toml_range<double> Range, double Default) {
  const std::string Allowed =
      "a number from " + tomlNumber(Range.Min) + " to " + tomlNumber(Range.Max);
  const toml_node *Node = find(Key, toml_presence::Optional, Allowed);
  if (!Node)
    return Default;
  const auto *Real = std::get_if<double>(&Node->Value);
  const auto *Whole = std::get_if<std::int64_t>(&Node->Value);
  const double Value = Real ? *Real : static_cast<double>(Whole ? *Whole : 0);
  // This form rejects NaN, whose comparisons are always false.
  const bool InRange = Value >= Range.Min && Value <= Range.Max;
  if ((!Real && !Whole) || !InRange) {
    addError(Node->Line, keyPath(Key), Allowed);
    return Default;
  }
  return Value;
}

bool toml_reader::flag(std::string_view Key, bool Default) {
  const toml_node *Node = find(Key, toml_presence::Optional, "true or false");
  if (!Node)
    return Default;
  const auto *Value = std::get_if<bool>(&Node->Value);
  if (!Value)
    addError(Node->Line, keyPath(Key), "true or false");
  return Value ? *Value : Default;
}

std::vector<toml_reader> toml_reader::tables(std::string_view Key, toml_presence Presence) {
  const toml_node *Node = find(Key, Presence, "a list of tables");
  if (!Node)
    return {};
  const auto *List = std::get_if<toml_list>(&Node->Value);
  if (!List) {
    addError(Node->Line, keyPath(Key), "a list of tables");
    return {};
  }
  std::vector<toml_reader> Readers;
  for (std::size_t Index = 0; Index < List->size(); ++Index)
    Readers.emplace_back((*List)[Index], elementPath(Key, Index), *Errors);
  return Readers;
}

std::optional<toml_reader> toml_reader::table(std::string_view Key) {
  const toml_node *Node = find(Key, toml_presence::Optional, "a table");
  if (!Node)
    return std::nullopt;
  return toml_reader(*Node, keyPath(Key), *Errors);
}

void toml_reader::finish(std::string_view TableKind) {
  if (!Members)
    return;
  for (const toml_member &Member : *Members)
    if (std::find(ReadKeys.begin(), ReadKeys.end(), Member.Key) == ReadKeys.end())
      addError(Member.Node.Line, keyPath(Member.Key),
               "unknown key; " + std::string(TableKind) + " has: " + knownKeys());
}

const toml_node *toml_reader::find(std::string_view Key, toml_presence Presence,
                                   std::string_view Allowed) {
  ReadKeys.emplace_back(Key);
  if (!Members)
    return nullptr;
  const auto Found = std::find_if(Members->begin(), Members->end(),
                                  [Key](const toml_member &Member) { return Member.Key == Key; });
  if (Found != Members->end())
    return &Found->Node;
  if (Presence == toml_presence::Required)
    addError(Line, keyPath(Key), "required: " + std::string(Allowed));
  return nullptr;
}

void toml_reader::addError(int ErrorLine, std::string Key, std::string Allowed) {
  Errors->push_back({ErrorLine, std::move(Key), std::move(Allowed)});
}

std::string toml_reader::keyPath(std::string_view Key) const {
  return Path.empty() ? std::string(Key) : Path + "." + std::string(Key);
}

std::string toml_reader::elementPath(std::string_view Key, std::size_t Index) const {
  return keyPath(Key) + "[" + std::to_string(Index) + "]";
}

std::string toml_reader::knownKeys() const {
  std::string Text;
  for (const std::string &Key : ReadKeys)
    Text += (Text.empty() ? "" : ", ") + Key;
  return Text;
}

} // namespace pollenstall
