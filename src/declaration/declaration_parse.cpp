/** @file declaration_parse.cpp Maps the keys of a declaration file onto the declared types. */
#include "declaration/declaration_parse_func.h"

#include "declaration/declaration_check_func.h"
#include "declaration/declaration_normal_func.h"
#include "declaration/declaration_rule_func.h"
#include "declaration/table/declaration_bounds.h"
#include "toml_text/toml_text.h"

#include <cmath>

namespace pollenstall {

namespace {

using faults = std::vector<toml_fault>;

constexpr double PercentOfWhole = 100.0;

template <typename Name> std::vector<Name> namesOf(const std::vector<std::string> &Texts) {
  std::vector<Name> Names;
  Names.reserve(Texts.size());
  for (const std::string &Text : Texts)
    Names.emplace_back(Text);
  return Names;
}

plain_route readRoute(toml_reader &Table) {
  plain_route Route;
  Route.Host = Table.text("host", toml_need::Optional, hostRule());
  Route.PathPrefix = Table.text("path_prefix", toml_need::Required, pathPrefixRule());
  Route.Methods = Table.texts("methods", toml_need::Optional, methodRule());
  Route.Idempotent = Table.flag("idempotent", Route.Idempotent);
  Table.finish("a route");
  return Route;
}

void readTimeouts(toml_reader &Table, service_declaration &Service) {
  Service.DefaultTimeout = std::chrono::milliseconds(
      Table.whole("default_timeout_ms", TimeoutMs, Service.DefaultTimeout.count()));
  Service.MaxTimeout = std::chrono::milliseconds(
      Table.whole("max_timeout_ms", TimeoutMs, Service.MaxTimeout.count()));
  Service.MaxBody = byte_count(Table.whole("max_body_bytes", BodyBytes, Service.MaxBody.value()));
}

void readModelKeys(toml_reader &Table, service_declaration &Service) {
  Service.Models = namesOf<model_name>(Table.texts("models", toml_need::Required, modelRule()));
  Service.MaxPrompt =
      tokens(Table.whole("max_prompt_tokens", PromptTokens, Service.MaxPrompt.value()));
  Service.MaxAnswer =
      tokens(Table.whole("max_answer_tokens", AnswerTokens, Service.MaxAnswer.value()));
  Table.finish("a service of kind \"model\"");
}

void readPlainKeys(toml_reader &Table, service_declaration &Service) {
  for (toml_reader &Route : Table.tables("routes", toml_need::Required))
    Service.Routes.push_back(readRoute(Route));
  Table.finish("a service of kind \"plain\"");
}

service_declaration readService(toml_reader &Table) {
  service_declaration Service;
  Service.Name = service_name(Table.text("name", toml_need::Required, nameRule()));
  const std::string Kind = Table.text("kind", toml_need::Required, kindRule());
  readTimeouts(Table, Service);
  if (Kind == kindText(service_kind::Plain)) {
    Service.Kind = service_kind::Plain;
    readPlainKeys(Table, Service);
  } else if (Kind == kindText(service_kind::Model)) {
    readModelKeys(Table, Service);
  }
  return Service;
}

group_declaration readGroup(toml_reader &Table) {
  group_declaration Group;
  Group.Name = group_name(Table.text("name", toml_need::Required, nameRule()));
  Group.Service = service_name(Table.text("service", toml_need::Required, nameRule()));
  Group.Labels = Table.textTable("labels", toml_need::Optional, nameRule(), labelValueRule());
  Table.finish("a group");
  return Group;
}

header_match readHeader(toml_reader &Table) {
  header_match Header;
  Header.Name = Table.text("name", toml_need::Required, headerNameRule());
  Header.Value = Table.text("value", toml_need::Required, headerValueRule());
  Table.finish("a header condition");
  return Header;
}

group_share readShare(toml_reader &Table) {
  group_share Share;
  Share.Group = group_name(Table.text("group", toml_need::Required, nameRule()));
  Share.Weight = static_cast<std::uint32_t>(Table.whole("weight", GroupWeight, Share.Weight));
  Table.finish("a group share");
  return Share;
}

selector_declaration readSelector(toml_reader &Table) {
  selector_declaration Selector;
  Selector.Name = selector_name(Table.text("name", toml_need::Required, nameRule()));
  Selector.Service = service_name(Table.text("service", toml_need::Required, nameRule()));
  Selector.Models = namesOf<model_name>(Table.texts("models", toml_need::Optional, modelRule()));
  Selector.Accounts =
      namesOf<client_account_name>(Table.texts("accounts", toml_need::Optional, nameRule()));
  for (toml_reader &Header : Table.tables("headers", toml_need::Optional))
    Selector.Headers.push_back(readHeader(Header));
  Selector.PromptFrom = tokens(Table.whole("prompt_from_tokens", PromptBorderTokens, 0));
  if (const auto Below = Table.whole("prompt_below_tokens", PromptBorderTokens))
    Selector.PromptBelow = tokens(*Below);
  for (toml_reader &Share : Table.tables("groups", toml_need::Required))
    Selector.Groups.push_back(readShare(Share));
  Table.finish("a selector");
  return Selector;
}

placement_declaration readPlacement(toml_reader &Table) {
  placement_declaration Placement;
  Placement.Name = placement_name(Table.text("name", toml_need::Required, nameRule()));
  Placement.Service = service_name(Table.text("service", toml_need::Required, nameRule()));
  Placement.Group = group_name(Table.text("group", toml_need::Required, nameRule()));
  Placement.Model = model_name(Table.text("model", toml_need::Required, modelRule()));
  Placement.Version = Table.text("version", toml_need::Optional, nameRule());
  Placement.Copies =
      static_cast<std::uint32_t>(Table.whole("copies", PlacementCopies, Placement.Copies));
  if (Table.text("spread", toml_need::Optional, spreadRule()) == spreadText(placement_spread::None))
    Placement.Spread = placement_spread::None;
  Table.finish("a placement");
  return Placement;
}

account_declaration readAccount(toml_reader &Table) {
  account_declaration Account;
  Account.Name = client_account_name(Table.text("name", toml_need::Required, nameRule()));
  Account.KeyHashes = Table.texts("key_hashes", toml_need::Required, keyHashRule());
  Account.Share = static_cast<std::uint32_t>(Table.whole("share", AccountShare, Account.Share));
  Account.MaxQueued =
      static_cast<std::uint32_t>(Table.whole("max_queued", QueuedRequests, Account.MaxQueued));
  Table.finish("an account");
  return Account;
}

policy_declaration readPolicy(toml_reader &Table) {
  policy_declaration Policy;
  Policy.ShortBelow =
      tokens(Table.whole("short_below_tokens", PromptBorderTokens, Policy.ShortBelow.value()));
  Policy.LongFrom =
      tokens(Table.whole("long_from_tokens", PromptBorderTokens, Policy.LongFrom.value()));
  Policy.ShortWeight = Table.number("short_weight", LengthWeight, Policy.ShortWeight);
  Policy.LongWeight = Table.number("long_weight", LengthWeight, Policy.LongWeight);
  Policy.MaxLongPerEngine = static_cast<std::uint32_t>(
      Table.whole("max_long_per_engine", LongPrefillsPerEngine, Policy.MaxLongPerEngine));
  const std::int64_t DefaultPercent = std::llround(Policy.LongEngineShare * PercentOfWhole);
  const std::int64_t Percent =
      Table.whole("long_engine_share_percent", SharePercent, DefaultPercent);
  Policy.LongEngineShare = static_cast<double>(Percent) / PercentOfWhole;
  Table.finish("[policy]");
  return Policy;
}

limits_declaration readLimits(toml_reader &Table) {
  limits_declaration Limits;
  Limits.MaxQueued =
      static_cast<std::uint32_t>(Table.whole("max_queued", QueuedRequests, Limits.MaxQueued));
  Limits.MaxAttempts =
      static_cast<std::uint32_t>(Table.whole("max_attempts", Attempts, Limits.MaxAttempts));
  Limits.RetryPercent =
      static_cast<std::uint32_t>(Table.whole("retry_percent", SharePercent, Limits.RetryPercent));
  Limits.EjectPercent =
      static_cast<std::uint32_t>(Table.whole("eject_percent", SharePercent, Limits.EjectPercent));
  Limits.ClaimLifetime = std::chrono::milliseconds(
      Table.whole("claim_lifetime_ms", ClaimLifetimeMs, Limits.ClaimLifetime.count()));
  Table.finish("[limits]");
  return Limits;
}

fleet_declaration readFleet(toml_reader &Root) {
  fleet_declaration Fleet;
  for (toml_reader &Table : Root.tables("service", toml_need::Optional))
    Fleet.Services.push_back(readService(Table));
  for (toml_reader &Table : Root.tables("group", toml_need::Optional))
    Fleet.Groups.push_back(readGroup(Table));
  for (toml_reader &Table : Root.tables("selector", toml_need::Optional))
    Fleet.Selectors.push_back(readSelector(Table));
  for (toml_reader &Table : Root.tables("placement", toml_need::Optional))
    Fleet.Placements.push_back(readPlacement(Table));
  for (toml_reader &Table : Root.tables("account", toml_need::Optional))
    Fleet.Accounts.push_back(readAccount(Table));
  if (auto Table = Root.table("policy"))
    Fleet.Policy = readPolicy(*Table);
  if (auto Table = Root.table("limits"))
    Fleet.Limits = readLimits(*Table);
  Root.finish("a declaration");
  return Fleet;
}

std::vector<declaration_error> fromFaults(const faults &Faults, std::string_view FileName) {
  std::vector<declaration_error> Errors;
  Errors.reserve(Faults.size());
  for (const toml_fault &Fault : Faults)
    Errors.push_back({std::string(FileName), Fault.Line, Fault.Key, Fault.Allowed});
  return Errors;
}

std::vector<declaration_error> withLines(const std::vector<declaration_fault> &Faults,
                                         const toml_node &Root, std::string_view FileName) {
  std::vector<declaration_error> Errors;
  Errors.reserve(Faults.size());
  for (const declaration_fault &Fault : Faults)
    Errors.push_back({std::string(FileName), lineOf(Root, Fault.Key), Fault.Key, Fault.Allowed});
  return Errors;
}

} // namespace

result<fleet_declaration, std::vector<declaration_error>>
parseDeclaration(std::string_view Toml, std::string_view FileName) {
  if (Toml.size() > MaxDeclarationBytes)
    return fromFaults(
        {{0, "", "a file of at most " + std::to_string(MaxDeclarationBytes) + " bytes"}}, FileName);
  const auto Parsed = parseToml(Toml);
  if (!succeeded(Parsed))
    return fromFaults({errorOf(Parsed)}, FileName);
  faults Faults;
  toml_reader Root(valueOf(Parsed), "", Faults);
  fleet_declaration Fleet = readFleet(Root);
  if (!Faults.empty())
    return fromFaults(Faults, FileName);
  normaliseSpelling(Fleet);
  const auto Broken = checkDeclaration(Fleet);
  if (!Broken.empty())
    return withLines(Broken, valueOf(Parsed), FileName);
  // Only now: the errors above name places by the file's own order.
  normaliseOrder(Fleet);
  return Fleet;
}

} // namespace pollenstall
