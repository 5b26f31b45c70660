/** @file declaration_diff.cpp Computes the differences between two declarations. */
#include "declaration/declaration_diff_func.h"

#include "declaration/declaration_text_func.h"

#include <algorithm>
#include <unordered_map>

namespace pollenstall {

namespace {

using descriptions = std::vector<item_description>;
using changes = std::vector<declaration_change>;
using description_index = std::unordered_map<std::string, const item_description *>;

std::string identityOf(const item_description &Item) {
  return std::string(itemText(Item.Item)) + " " + Item.Name;
}

description_index makeIndex(const descriptions &Items) {
  description_index Index;
  for (const item_description &Item : Items)
    Index.emplace(identityOf(Item), &Item);
  return Index;
}

std::string valueOfKey(const item_description &Item, const std::string &Key) {
  for (const item_field &Field : Item.Fields)
    if (Field.Key == Key)
      return Field.Value;
  return {};
}

void compareFields(const item_description &From, const item_description &To, changes &Changes) {
  const auto Compare = [&](const std::string &Key) {
    const std::string Before = valueOfKey(From, Key);
    const std::string After = valueOfKey(To, Key);
    if (Before != After)
      Changes.push_back({change_kind::Changed, To.Item, To.Name, Key, Before, After});
  };
  for (const item_field &Field : To.Fields)
    Compare(Field.Key);
  for (const item_field &Field : From.Fields)
    if (valueOfKey(To, Field.Key).empty())
      Compare(Field.Key);
}

/// @return The names of the selectors in Items that Other also contains, in the order of Items.
std::vector<std::string> commonSelectors(const descriptions &Items,
                                         const description_index &Other) {
  std::vector<std::string> Names;
  for (const item_description &Item : Items)
    if (Item.Item == declaration_item::Selector && Other.contains(identityOf(Item)))
      Names.push_back(Item.Name);
  return Names;
}

/// The order of selectors decides which one matches first, so a changed order is a difference.
void compareSelectorOrder(const std::vector<std::string> &From, const std::vector<std::string> &To,
                          changes &Changes) {
  std::unordered_map<std::string, std::size_t> Positions;
  for (std::size_t Position = 0; Position < From.size(); ++Position)
    Positions.emplace(From[Position], Position + 1);
  for (std::size_t Position = 0; Position < To.size(); ++Position)
    if (const std::size_t Before = Positions.at(To[Position]); Before != Position + 1)
      Changes.push_back({change_kind::Moved, declaration_item::Selector, To[Position], "",
                         std::to_string(Before), std::to_string(Position + 1)});
}

std::string formatChange(const declaration_change &Change) {
  const std::string Item =
      std::string(itemText(Change.Item)) + (Change.Name.empty() ? "" : " " + Change.Name);
  switch (Change.Kind) {
  case change_kind::Added:
    return "+ " + Item;
  case change_kind::Removed:
    return "- " + Item;
  case change_kind::Changed:
    return "~ " + Item + ": " + Change.Key + " " + (Change.From.empty() ? "(none)" : Change.From) +
           " -> " + (Change.To.empty() ? "(none)" : Change.To);
  case change_kind::Moved:
    return "~ " + Item + ": tested as number " + Change.To + " of those kept, was number " +
           Change.From;
  }
  return {};
}

} // namespace

declaration_difference diff(const fleet_declaration &From, const fleet_declaration &To) {
  const descriptions Before = describe(From);
  const descriptions After = describe(To);
  const description_index BeforeIndex = makeIndex(Before);
  const description_index AfterIndex = makeIndex(After);
  declaration_difference Difference;
  for (const item_description &Item : Before)
    if (!AfterIndex.contains(identityOf(Item)))
      Difference.Changes.push_back({change_kind::Removed, Item.Item, Item.Name, "", "", ""});
  for (const item_description &Item : After) {
    const auto Old = BeforeIndex.find(identityOf(Item));
    if (Old == BeforeIndex.end())
      Difference.Changes.push_back({change_kind::Added, Item.Item, Item.Name, "", "", ""});
    else
      compareFields(*Old->second, Item, Difference.Changes);
  }
  compareSelectorOrder(commonSelectors(Before, AfterIndex), commonSelectors(After, BeforeIndex),
                       Difference.Changes);
  return Difference;
}

std::string_view itemText(declaration_item Item) {
  switch (Item) {
  case declaration_item::Service:
    return "service";
  case declaration_item::Group:
    return "group";
  case declaration_item::Selector:
    return "selector";
  case declaration_item::Placement:
    return "placement";
  case declaration_item::Account:
    return "account";
  case declaration_item::Policy:
    return "policy";
  case declaration_item::Limits:
    return "limits";
  }
  return {};
}

std::string_view kindText(change_kind Kind) {
  switch (Kind) {
  case change_kind::Added:
    return "added";
  case change_kind::Removed:
    return "removed";
  case change_kind::Changed:
    return "changed";
  case change_kind::Moved:
    return "moved";
  }
  return {};
}

std::string toText(const declaration_difference &Difference) {
  std::string Text;
  for (const declaration_change &Change : Difference.Changes)
    Text += formatChange(Change) + "\n";
  return Text;
}

} // namespace pollenstall
