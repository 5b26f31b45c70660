/** @file declaration_parse.cpp Parses the keys of a declaration file into the declared types. */
#include "declaration/declaration_parse_func.h"

#include "declaration/declaration_check_func.h"
#include "declaration/declaration_normalise_func.h"
#include "declaration/declaration_rule_func.h"
#include "declaration/table/declaration_bounds.h"
#include "toml_text/toml_text.h"

#include <cmath>

namespace pollenstall {

namespace {

using toml_errors = std::vector<toml_error>;

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
  Route.Host = Table.text("host", toml_presence::Optional, hostRule());
  Route.PathPrefix = Table.text("path_prefix", toml_presence::Required, pathPrefixRule());
  Route.Methods = Table.texts("methods", toml_presence::Optional, methodRule());
  Route.Idempotent = Table.flag("idempotent", Route.Idempotent);
  Table.finish("a route");
  return Route;
}

void readTimeouts(toml_reader &Table, service_declaration &Service) {
  Service.DefaultTimeout = std::chrono::milliseconds(
      Table.integer("default_timeout_ms", TimeoutMs, Service.DefaultTimeout.count()));
  Service.MaxTimeout = std::chrono::milliseconds(
      Table.integer("max_timeout_ms", TimeoutMs, Service.MaxTimeout.count()));
  Service.MaxBody = byte_count(Table.integer("max_body_bytes", BodyBytes, Service.MaxBody.value()));
}

void readColdKeys(toml_reader &Table, service_declaration &Service) {
  Service.ColdPerSecond = Table.number("cold_per_s", ColdRate, Service.ColdPerSecond);
  Service.ColdStart = std::chrono::round<std::chrono::milliseconds>(
      std::chrono::duration<double>(Table.number("cold_start_s", ColdStartSeconds, 0)));
}

void readModelKeys(toml_reader &Table, service_declaration &Service) {
  Service.Models = namesOf<model_name>(Table.texts("models", toml_presence::Required, modelRule()));
  Service.MaxPrompt =
      tokens(Table.integer("max_prompt_tokens", PromptTokens, Service.MaxPrompt.value()));
  Service.MaxAnswer =
      tokens(Table.integer("max_answer_tokens", AnswerTokens, Service.MaxAnswer.value()));
  Table.finish("a service of kind \"model\"");
}

void readPlainKeys(toml_reader &Table, service_declaration &Service) {
  for (toml_reader &Route : Table.tables("routes", toml_presence::Required))
    Service.Routes.push_back(readRoute(Route));
  Table.finish("a service of kind \"plain\"");
}

service_declaration readService(toml_reader &Table) {
  service_declaration Service;
  Service.Name = service_name(Table.text("name", toml_presence::Required, nameRule()));
  const std::string Kind = Table.text("kind", toml_presence::Required, kindRule());
  readTimeouts(Table, Service);
  readColdKeys(Table, Service);
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
  Group.Name = group_name(Table.text("name", toml_presence::Required, nameRule()));
  Group.Service = service_name(Table.text("service", toml_presence::Required, nameRule()));
  Group.Labels = Table.textTable("labels", toml_presence::Optional, nameRule(), labelValueRule());
  Table.finish("a group");
  return Group;
}

header_match readHeader(toml_reader &Table) {
  header_match Header;
  Header.Name = Table.text("name", toml_presence::Required, headerNameRule());
  Header.Value = Table.text("value", toml_presence::Required, headerValueRule());
  Table.finish("a header condition");
  return Header;
}

group_share readShare(toml_reader &Table) {
  group_share Share;
  Share.Group = group_name(Table.text("group", toml_presence::Required, nameRule()));
  Share.Weight = static_cast<std::uint32_t>(Table.integer("weight", GroupWeight, Share.Weight));
  Table.finish("a group share");
  return Share;
}

selector_declaration readSelector(toml_reader &Table) {
  selector_declaration Selector;
  Selector.Name = selector_name(Table.text("name", toml_presence::Required, nameRule()));
  Selector.Service = service_name(Table.text("service", toml_presence::Required, nameRule()));
  Selector.Models =
      namesOf<model_name>(Table.texts("models", toml_presence::Optional, modelRule()));
  Selector.Accounts =
      namesOf<client_account_name>(Table.texts("accounts", toml_presence::Optional, nameRule()));
  for (toml_reader &Header : Table.tables("headers", toml_presence::Optional))
    Selector.Headers.push_back(readHeader(Header));
  Selector.PromptFrom = tokens(Table.integer("prompt_from_tokens", PromptBorderTokens, 0));
  if (const auto Below = Table.integer("prompt_below_tokens", PromptBorderTokens))
    Selector.PromptBelow = tokens(*Below);
  for (toml_reader &Share : Table.tables("groups", toml_presence::Required))
    Selector.Groups.push_back(readShare(Share));
  Table.finish("a selector");
  return Selector;
}

placement_declaration readPlacement(toml_reader &Table) {
  placement_declaration Placement;
  Placement.Name = placement_name(Table.text("name", toml_presence::Required, nameRule()));
  Placement.Service = service_name(Table.text("service", toml_presence::Required, nameRule()));
  Placement.Group = group_name(Table.text("group", toml_presence::Required, nameRule()));
  Placement.Model = model_name(Table.text("model", toml_presence::Required, modelRule()));
  Placement.Version = Table.text("version", toml_presence::Optional, nameRule());
  Placement.Copies =
      static_cast<std::uint32_t>(Table.integer("copies", PlacementCopies, Placement.Copies));
  if (Table.text("spread", toml_presence::Optional, spreadRule()) ==
      spreadText(placement_spread::None))
    Placement.Spread = placement_spread::None;
  Table.finish("a placement");
  return Placement;
}

account_declaration readAccount(toml_reader &Table) {
  account_declaration Account;
  Account.Name = client_account_name(Table.text("name", toml_presence::Required, nameRule()));
  Account.KeyHashes = Table.texts("key_hashes", toml_presence::Required, keyHashRule());
  Account.Share = static_cast<std::uint32_t>(Table.integer("share", AccountShare, Account.Share));
  Account.MaxQueued =
      static_cast<std::uint32_t>(Table.integer("max_queued", QueuedRequests, Account.MaxQueued));
  Table.finish("an account");
  return Account;
}

policy_declaration readPolicy(toml_reader &Table) {
  policy_declaration Policy;
  Policy.ShortBelow =
      tokens(Table.integer("short_below_tokens", PromptBorderTokens, Policy.ShortBelow.value()));
  Policy.LongFrom =
      tokens(Table.integer("long_from_tokens", PromptBorderTokens, Policy.LongFrom.value()));
  Policy.ShortWeight = Table.number("short_weight", LengthWeight, Policy.ShortWeight);
  Policy.LongWeight = Table.number("long_weight", LengthWeight, Policy.LongWeight);
  Policy.MaxLongPerEngine = static_cast<std::uint32_t>(
      Table.integer("max_long_per_engine", LongPrefillsPerEngine, Policy.MaxLongPerEngine));
  const std::int64_t DefaultPercent = std::llround(Policy.LongEngineShare * PercentOfWhole);
  const std::int64_t Percent =
      Table.integer("long_engine_share_percent", SharePercent, DefaultPercent);
  Policy.LongEngineShare = static_cast<double>(Percent) / PercentOfWhole;
  Table.finish("[policy]");
  return Policy;
}

limits_declaration readLimits(toml_reader &Table) {
  limits_declaration Limits;
  Limits.MaxQueued =
      static_cast<std::uint32_t>(Table.integer("max_queued", QueuedRequests, Limits.MaxQueued));
  Limits.MaxAttempts =
      static_cast<std::uint32_t>(Table.integer("max_attempts", Attempts, Limits.MaxAttempts));
  Limits.RetryPercent =
      static_cast<std::uint32_t>(Table.integer("retry_percent", SharePercent, Limits.RetryPercent));
  Limits.EjectPercent =
      static_cast<std::uint32_t>(Table.integer("eject_percent", SharePercent, Limits.EjectPercent));
  Limits.ClaimLifetime = std::chrono::milliseconds(
      Table.integer("claim_lifetime_ms", ClaimLifetimeMs, Limits.ClaimLifetime.count()));
  Table.finish("[limits]");
  return Limits;
}

fleet_declaration readFleet(toml_reader &Root) {
  fleet_declaration Fleet;
  for (toml_reader &Table : Root.tables("service", toml_presence::Optional))
    Fleet.Services.push_back(readService(Table));
  for (toml_reader &Table : Root.tables("group", toml_presence::Optional))
    Fleet.Groups.push_back(readGroup(Table));
  for (toml_reader &Table : Root.tables("selector", toml_presence::Optional))
    Fleet.Selectors.push_back(readSelector(Table));
  for (toml_reader &Table : Root.tables("placement", toml_presence::Optional))
    Fleet.Placements.push_back(readPlacement(Table));
  for (toml_reader &Table : Root.tables("account", toml_presence::Optional))
    Fleet.Accounts.push_back(readAccount(Table));
  if (auto Table = Root.table("policy"))
    Fleet.Policy = readPolicy(*Table);
  if (auto Table = Root.table("limits"))
    Fleet.Limits = readLimits(*Table);
  Root.finish("a declaration");
  return Fleet;
}

std::vector<declaration_error> makeErrors(const toml_errors &TomlErrors,
                                          std::string_view FileName) {
  std::vector<declaration_error> Errors;
  Errors.reserve(TomlErrors.size());
  for (const toml_error &Error : TomlErrors)
    Errors.push_back({std::string(FileName), Error.Line, Error.Key, Error.Allowed});
  return Errors;
}

std::vector<declaration_error> addLines(const std::vector<declaration_violation> &Violations,
                                        const toml_node &Root, std::string_view FileName) {
  std::vector<declaration_error> Errors;
  Errors.reserve(Violations.size());
  for (const declaration_violation &Violation : Violations)
    Errors.push_back(
        {std::string(FileName), findLine(Root, Violation.Key), Violation.Key, Violation.Allowed});
  return Errors;
}

} // namespace

result<fleet_declaration, std::vector<declaration_error>>
parseDeclaration(std::string_view Toml, std::string_view FileName) {
  if (Toml.size() > MaxDeclarationBytes)
    return makeErrors(
        {{0, "", "a file of at most " + std::to_string(MaxDeclarationBytes) + " bytes"}}, FileName);
  const auto Parsed = parseToml(Toml);
  if (!succeeded(Parsed))
    return makeErrors({errorOf(Parsed)}, FileName);
  toml_errors TomlErrors;
  toml_reader Root(valueOf(Parsed), "", TomlErrors);
  fleet_declaration Fleet = readFleet(Root);
  if (!TomlErrors.empty())
    return makeErrors(TomlErrors, FileName);
  normaliseSpelling(Fleet);
  const auto Violations = checkDeclaration(Fleet);
  if (!Violations.empty())
    return addLines(Violations, valueOf(Parsed), FileName);
  // Sorted last, because the indexes in the errors above refer to the order of the file.
  normaliseOrder(Fleet);
  return Fleet;
}

} // namespace pollenstall
