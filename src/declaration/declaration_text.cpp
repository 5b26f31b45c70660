/** @file declaration_text.cpp Builds the canonical text from the description of each item. */
#include "declaration/declaration_text_func.h"

#include "declaration/declaration_diff_func.h"
#include "declaration/declaration_rule_func.h"
#include "toml_text/toml_text.h"

#include <cmath>

namespace pollenstall {

namespace {

constexpr double PercentOfWhole = 100.0;

std::string quotedList(const std::vector<std::string> &Texts) {
  std::vector<std::string> Quoted;
  Quoted.reserve(Texts.size());
  for (const std::string &Text : Texts)
    Quoted.push_back(tomlQuote(Text));
  return tomlList(Quoted);
}

template <typename Name> std::string nameList(const std::vector<Name> &Names) {
  std::vector<std::string> Texts;
  Texts.reserve(Names.size());
  for (const Name &Item : Names)
    Texts.push_back(Item.str());
  return quotedList(Texts);
}

std::string number(std::int64_t Value) { return std::to_string(Value); }

std::string flag(bool Value) { return Value ? "true" : "false"; }

/// @return A TOML inline table of the fields.
std::string inlineTable(const std::vector<item_field> &Fields) {
  std::string Text;
  for (const item_field &Field : Fields)
    Text += (Text.empty() ? "" : ", ") + Field.Key + " = " + Field.Value;
  return Text.empty() ? "{}" : "{ " + Text + " }";
}

std::string routeList(const std::vector<plain_route> &Routes) {
  std::vector<std::string> Tables;
  Tables.reserve(Routes.size());
  for (const plain_route &Route : Routes)
    Tables.push_back(inlineTable({{"host", tomlQuote(Route.Host)},
                                  {"path_prefix", tomlQuote(Route.PathPrefix)},
                                  {"methods", quotedList(Route.Methods)},
                                  {"idempotent", flag(Route.Idempotent)}}));
  return tomlList(Tables);
}

std::string headerList(const std::vector<header_match> &Headers) {
  std::vector<std::string> Tables;
  Tables.reserve(Headers.size());
  for (const header_match &Header : Headers)
    Tables.push_back(
        inlineTable({{"name", tomlQuote(Header.Name)}, {"value", tomlQuote(Header.Value)}}));
  return tomlList(Tables);
}

std::string shareList(const std::vector<group_share> &Shares) {
  std::vector<std::string> Tables;
  Tables.reserve(Shares.size());
  for (const group_share &Share : Shares)
    Tables.push_back(
        inlineTable({{"group", tomlQuote(Share.Group.str())}, {"weight", number(Share.Weight)}}));
  return tomlList(Tables);
}

std::string labelTable(const label_set &Labels) {
  std::vector<item_field> Fields;
  for (const auto &[Key, Value] : Labels)
    Fields.push_back({tomlQuote(Key), tomlQuote(Value)});
  return inlineTable(Fields);
}

item_description describeItem(const service_declaration &Service) {
  item_description Item{declaration_item::Service, Service.Name.str(), {}};
  Item.Fields = {{"kind", tomlQuote(kindText(Service.Kind))},
                 {"default_timeout_ms", number(Service.DefaultTimeout.count())},
                 {"max_timeout_ms", number(Service.MaxTimeout.count())},
                 {"max_body_bytes", number(Service.MaxBody.value())}};
  // Written only where declared, since processes of an earlier build refuse unknown keys.
  if (Service.ColdPerSecond > 0)
    Item.Fields.push_back({"cold_per_s", tomlNumber(Service.ColdPerSecond)});
  if (Service.ColdStart.count() > 0)
    Item.Fields.push_back(
        {"cold_start_s", tomlNumber(std::chrono::duration<double>(Service.ColdStart).count())});
  if (Service.Kind == service_kind::Plain) {
    Item.Fields.push_back({"routes", routeList(Service.Routes)});
    return Item;
  }
  Item.Fields.push_back({"models", nameList(Service.Models)});
  Item.Fields.push_back({"max_prompt_tokens", number(Service.MaxPrompt.value())});
  Item.Fields.push_back({"max_answer_tokens", number(Service.MaxAnswer.value())});
  return Item;
}

item_description describeItem(const group_declaration &Group) {
  return {declaration_item::Group,
          Group.Name.str(),
          {{"service", tomlQuote(Group.Service.str())}, {"labels", labelTable(Group.Labels)}}};
}

item_description describeItem(const selector_declaration &Selector) {
  item_description Item{declaration_item::Selector, Selector.Name.str(), {}};
  Item.Fields = {{"service", tomlQuote(Selector.Service.str())},
                 {"models", nameList(Selector.Models)},
                 {"accounts", nameList(Selector.Accounts)},
                 {"headers", headerList(Selector.Headers)},
                 {"prompt_from_tokens", number(Selector.PromptFrom.value())}};
  if (Selector.PromptBelow)
    Item.Fields.push_back({"prompt_below_tokens", number(Selector.PromptBelow->value())});
  Item.Fields.push_back({"groups", shareList(Selector.Groups)});
  return Item;
}

item_description describeItem(const placement_declaration &Placement) {
  item_description Item{declaration_item::Placement, Placement.Name.str(), {}};
  Item.Fields = {{"service", tomlQuote(Placement.Service.str())},
                 {"group", tomlQuote(Placement.Group.str())},
                 {"model", tomlQuote(Placement.Model.str())}};
  if (!Placement.Version.empty())
    Item.Fields.push_back({"version", tomlQuote(Placement.Version)});
  Item.Fields.push_back({"copies", number(Placement.Copies)});
  Item.Fields.push_back({"spread", tomlQuote(spreadText(Placement.Spread))});
  return Item;
}

item_description describeItem(const account_declaration &Account) {
  return {declaration_item::Account,
          Account.Name.str(),
          {{"key_hashes", quotedList(Account.KeyHashes)},
           {"share", number(Account.Share)},
           {"max_queued", number(Account.MaxQueued)}}};
}

item_description describeItem(const policy_declaration &Policy) {
  return {declaration_item::Policy,
          "",
          {{"short_below_tokens", number(Policy.ShortBelow.value())},
           {"long_from_tokens", number(Policy.LongFrom.value())},
           {"short_weight", tomlNumber(Policy.ShortWeight)},
           {"long_weight", tomlNumber(Policy.LongWeight)},
           {"max_long_per_engine", number(Policy.MaxLongPerEngine)},
           {"long_engine_share_percent",
            number(std::llround(Policy.LongEngineShare * PercentOfWhole))}}};
}

item_description describeItem(const limits_declaration &Limits) {
  return {declaration_item::Limits,
          "",
          {{"max_queued", number(Limits.MaxQueued)},
           {"max_attempts", number(Limits.MaxAttempts)},
           {"retry_percent", number(Limits.RetryPercent)},
           {"eject_percent", number(Limits.EjectPercent)},
           {"claim_lifetime_ms", number(Limits.ClaimLifetime.count())}}};
}

template <typename Item>
void describeAll(const std::vector<Item> &Items, std::vector<item_description> &Into) {
  for (const Item &Element : Items)
    Into.push_back(describeItem(Element));
}

std::string tableHeading(const item_description &Item) {
  const std::string Table(itemText(Item.Item));
  if (Item.Name.empty())
    return "[" + Table + "]\n";
  return "[[" + Table + "]]\nname = " + tomlQuote(Item.Name) + "\n";
}

} // namespace

std::vector<item_description> describe(const fleet_declaration &Declaration) {
  std::vector<item_description> Items;
  describeAll(Declaration.Services, Items);
  describeAll(Declaration.Groups, Items);
  describeAll(Declaration.Selectors, Items);
  describeAll(Declaration.Placements, Items);
  describeAll(Declaration.Accounts, Items);
  Items.push_back(describeItem(Declaration.Policy));
  Items.push_back(describeItem(Declaration.Limits));
  return Items;
}

std::string toCanonicalText(const fleet_declaration &Declaration) {
  std::string Text;
  for (const item_description &Item : describe(Declaration)) {
    Text += (Text.empty() ? "" : "\n") + tableHeading(Item);
    for (const item_field &Field : Item.Fields)
      Text += Field.Key + " = " + Field.Value + "\n";
  }
  return Text;
}

} // namespace pollenstall
