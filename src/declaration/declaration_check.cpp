/** @file declaration_check.cpp Checks names, references, overlaps and coverage across items. */
#include "declaration/declaration_check_func.h"

#include "declaration/selection_func.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace pollenstall {

namespace {

std::string indexedKey(std::string_view List, std::size_t Index) {
  return std::string(List) + "[" + std::to_string(Index) + "]";
}

/// Collects the violated rules of one declaration.
class declaration_checker {
public:
  explicit declaration_checker(const fleet_declaration &Declaration) : Fleet(Declaration) {}

  std::vector<declaration_violation> check() {
    indexNames();
    checkServices();
    checkRoutes();
    checkGroups();
    checkSelectors();
    checkCoverage();
    checkPlacements();
    checkAccounts();
    checkPolicy();
    return std::move(Faults);
  }

private:
  void refuse(std::string Key, std::string Allowed) {
    Faults.push_back({std::move(Key), std::move(Allowed)});
  }

  template <typename Item, typename Name>
  void indexItems(const std::vector<Item> &Items, std::string_view List,
                  std::unordered_map<Name, const Item *> &Index) {
    for (std::size_t I = 0; I < Items.size(); ++I)
      if (!Index.emplace(Items[I].Name, &Items[I]).second)
        refuse(indexedKey(List, I) + ".name", "a name that no other " + std::string(List) +
                                                  " has; " + Items[I].Name.str() + " is taken");
  }

  void indexNames() {
    indexItems(Fleet.Services, "service", Services);
    indexItems(Fleet.Groups, "group", Groups);
    indexItems(Fleet.Accounts, "account", Accounts);
    std::unordered_map<selector_name, const selector_declaration *> Selectors;
    indexItems(Fleet.Selectors, "selector", Selectors);
    std::unordered_map<placement_name, const placement_declaration *> Placements;
    indexItems(Fleet.Placements, "placement", Placements);
  }

  void checkServices() {
    std::unordered_map<model_name, service_name> Owners;
    for (std::size_t I = 0; I < Fleet.Services.size(); ++I) {
      const service_declaration &Service = Fleet.Services[I];
      const std::string Key = indexedKey("service", I);
      if (Service.DefaultTimeout > Service.MaxTimeout)
        refuse(Key + ".default_timeout_ms",
               "at most max_timeout_ms, which is " + std::to_string(Service.MaxTimeout.count()));
      if (Service.Kind == service_kind::Model && Service.Models.empty())
        refuse(Key + ".models", "at least one model");
      if (Service.Kind == service_kind::Plain && Service.Routes.empty())
        refuse(Key + ".routes", "at least one route");
      for (std::size_t M = 0; M < Service.Models.size(); ++M)
        if (const auto [Owner, Inserted] = Owners.emplace(Service.Models[M], Service.Name);
            !Inserted)
          refuse(Key + "." + indexedKey("models", M), "a model that is declared once; service " +
                                                          Owner->second.str() + " has " +
                                                          Service.Models[M].str());
    }
  }

  /// With two routes for the same host, prefix and method, it would be undefined whether a call may
  /// be retried.
  void checkRoutes() {
    std::set<std::string> SeenRoutes;
    for (std::size_t I = 0; I < Fleet.Services.size(); ++I)
      for (std::size_t R = 0; R < Fleet.Services[I].Routes.size(); ++R)
        checkRoute(Fleet.Services[I].Routes[R],
                   indexedKey("service", I) + "." + indexedKey("routes", R), SeenRoutes);
  }

  void checkRoute(const plain_route &Route, const std::string &Key,
                  std::set<std::string> &SeenRoutes) {
    const std::string RouteKey = Route.Host + " " + Route.PathPrefix + " ";
    std::vector<std::string> Methods = Route.Methods;
    if (Methods.empty())
      Methods.emplace_back("*");
    for (const std::string &Method : Methods)
      if (!SeenRoutes.insert(RouteKey + Method).second)
        refuse(Key, "one route for each host, path prefix and method; repeated: " +
                        (Route.Host.empty() ? "every host" : Route.Host) + " " + Route.PathPrefix +
                        " " + (Method == "*" ? "every method" : Method));
  }

  void checkServiceName(const service_name &Name, const std::string &Key) {
    if (!Services.contains(Name))
      refuse(Key, "the name of a declared service: " + namesOf(Fleet.Services));
  }

  void checkGroups() {
    for (std::size_t I = 0; I < Fleet.Groups.size(); ++I)
      checkServiceName(Fleet.Groups[I].Service, indexedKey("group", I) + ".service");
  }

  void checkSelectors() {
    for (std::size_t I = 0; I < Fleet.Selectors.size(); ++I) {
      const selector_declaration &Selector = Fleet.Selectors[I];
      const std::string Key = indexedKey("selector", I);
      checkServiceName(Selector.Service, Key + ".service");
      checkConditions(Selector, Key);
      checkHeaders(Selector, Key);
      checkShares(Selector, Key);
    }
  }

  void checkConditions(const selector_declaration &Selector, const std::string &Key) {
    const auto Service = Services.find(Selector.Service);
    if (Service != Services.end())
      checkModels(Selector, *Service->second, Key);
    for (std::size_t A = 0; A < Selector.Accounts.size(); ++A)
      if (!Accounts.contains(Selector.Accounts[A]))
        refuse(Key + "." + indexedKey("accounts", A),
               "the name of a declared account: " + namesOf(Fleet.Accounts));
    if (Selector.PromptBelow && *Selector.PromptBelow <= Selector.PromptFrom)
      refuse(Key + ".prompt_below_tokens", "more than prompt_from_tokens, which is " +
                                               std::to_string(Selector.PromptFrom.value()));
  }

  void checkModels(const selector_declaration &Selector, const service_declaration &Service,
                   const std::string &Key) {
    if (Service.Kind == service_kind::Plain &&
        (Selector.PromptFrom > tokens(0) || Selector.PromptBelow))
      refuse(Key + (Selector.PromptBelow ? ".prompt_below_tokens" : ".prompt_from_tokens"),
             "absent, since service " + Service.Name.str() + " is plain");
    for (std::size_t M = 0; M < Selector.Models.size(); ++M)
      if (!hasModel(Service, Selector.Models[M]))
        refuse(Key + "." + indexedKey("models", M), "a model of service " + Service.Name.str());
  }

  void checkHeaders(const selector_declaration &Selector, const std::string &Key) {
    std::set<std::string> Seen;
    for (std::size_t H = 0; H < Selector.Headers.size(); ++H)
      if (!Seen.insert(Selector.Headers[H].Name).second)
        refuse(Key + "." + indexedKey("headers", H) + ".name",
               "each header once; " + Selector.Headers[H].Name + " cannot have two values");
  }

  void checkShares(const selector_declaration &Selector, const std::string &Key) {
    std::set<group_name> Seen;
    bool AnyWeight = false;
    for (std::size_t G = 0; G < Selector.Groups.size(); ++G) {
      const group_share &Share = Selector.Groups[G];
      const std::string ShareKey = Key + "." + indexedKey("groups", G) + ".group";
      const auto Group = Groups.find(Share.Group);
      AnyWeight = AnyWeight || Share.Weight > 0;
      // checkGroups() already reports a group of an undeclared service.
      const bool OtherService = Group != Groups.end() &&
                                Group->second->Service != Selector.Service &&
                                Services.contains(Group->second->Service);
      if (Group == Groups.end() || OtherService)
        refuse(ShareKey, "the name of a declared group of service " + Selector.Service.str());
      else if (!Seen.insert(Share.Group).second)
        refuse(ShareKey, "each group once; " + Share.Group.str() + " is repeated");
    }
    if (!AnyWeight)
      refuse(Key + ".groups", "at least one group with a weight above 0");
  }

  /// Unless the last selector matches everything, some admitted requests would have no group.
  void checkCoverage() {
    for (std::size_t I = 0; I < Fleet.Services.size(); ++I) {
      const selector_declaration *Last = nullptr;
      for (const selector_declaration &Selector : Fleet.Selectors)
        if (Selector.Service == Fleet.Services[I].Name)
          Last = &Selector;
      if (!Last || !matchesEverything(*Last))
        refuse(indexedKey("service", I),
               "a service whose last selector has no conditions; " +
                   (Last ? "selector " + Last->Name.str() + " of service " : "service ") +
                   Fleet.Services[I].Name.str() + (Last ? " has some" : " has no selector"));
    }
  }

  void checkPlacements() {
    std::set<std::pair<group_name, model_name>> SeenPlacements;
    for (std::size_t I = 0; I < Fleet.Placements.size(); ++I) {
      const placement_declaration &Placement = Fleet.Placements[I];
      const std::string Key = indexedKey("placement", I);
      checkServiceName(Placement.Service, Key + ".service");
      const auto Group = Groups.find(Placement.Group);
      if (Group == Groups.end() || Group->second->Service != Placement.Service)
        refuse(Key + ".group",
               "the name of a declared group of service " + Placement.Service.str());
      const auto Service = Services.find(Placement.Service);
      if (Service != Services.end() && !hasModel(*Service->second, Placement.Model))
        refuse(Key + ".model", "a model of service " + Placement.Service.str());
      // Two placements of one model on the same engines would revert each other's orders forever.
      if (!SeenPlacements.emplace(Placement.Group, Placement.Model).second)
        refuse(Key + ".model", "one placement for each group and model; " + Placement.Model.str() +
                                   " is placed on " + Placement.Group.str() + " already");
    }
  }

  static bool hasModel(const service_declaration &Service, const model_name &Model) {
    return std::find(Service.Models.begin(), Service.Models.end(), Model) != Service.Models.end();
  }

  void checkAccounts() {
    std::unordered_map<std::string, client_account_name> Owners;
    for (std::size_t I = 0; I < Fleet.Accounts.size(); ++I)
      for (std::size_t H = 0; H < Fleet.Accounts[I].KeyHashes.size(); ++H)
        if (const auto [Owner, Inserted] =
                Owners.emplace(Fleet.Accounts[I].KeyHashes[H], Fleet.Accounts[I].Name);
            !Inserted)
          refuse(indexedKey("account", I) + "." + indexedKey("key_hashes", H),
                 "a key that is declared once; account " + Owner->second.str() + " has it");
  }

  void checkPolicy() {
    if (Fleet.Policy.ShortBelow > Fleet.Policy.LongFrom)
      refuse("policy.short_below_tokens",
             "at most long_from_tokens, which is " + std::to_string(Fleet.Policy.LongFrom.value()));
  }

  template <typename Item> static std::string namesOf(const std::vector<Item> &Items) {
    constexpr std::size_t MaxListed = 20;
    std::string Text;
    for (std::size_t I = 0; I < std::min(Items.size(), MaxListed); ++I)
      Text += (I == 0 ? "" : ", ") + Items[I].Name.str();
    return Items.size() > MaxListed ? Text + ", …" : Text;
  }

  const fleet_declaration &Fleet;
  std::vector<declaration_violation> Faults;
  std::unordered_map<service_name, const service_declaration *> Services;
  std::unordered_map<group_name, const group_declaration *> Groups;
  std::unordered_map<client_account_name, const account_declaration *> Accounts;
};

} // namespace

std::vector<declaration_violation> checkDeclaration(const fleet_declaration &Declaration) {
  return declaration_checker(Declaration).check();
}

} // namespace pollenstall
