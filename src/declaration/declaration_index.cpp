/** @file declaration_index.cpp Looks up accounts, models, routes and selectors. */
#include "declaration/declaration_index_base.h"

#include "declaration/ascii_case_func.h"
#include "declaration/request_path_func.h"
#include "declaration/selection_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

template <typename Item>
const Item *lookUp(const std::unordered_map<std::string_view, const Item *> &Index,
                   std::string_view Key) {
  const auto Found = Index.find(Key);
  return Found == Index.end() ? nullptr : Found->second;
}

/// @return The host in lower case, without port and trailing dot.
std::string normaliseHost(std::string_view Host) {
  const std::size_t Bracket = Host.rfind(']');
  const std::size_t Colon = Host.rfind(':');
  const bool HasPort =
      Colon != std::string_view::npos && (Bracket == std::string_view::npos || Colon > Bracket);
  if (HasPort)
    Host = Host.substr(0, Colon);
  if (!Host.empty() && Host.back() == '.')
    Host.remove_suffix(1);
  return asciiLower(Host);
}

bool acceptsMethod(const plain_route &Route, const std::string &Method) {
  return Route.Methods.empty() ||
         std::find(Route.Methods.begin(), Route.Methods.end(), Method) != Route.Methods.end();
}

bool isPreferredRoute(const plain_route &A, const plain_route &B) {
  if (A.PathPrefix.size() != B.PathPrefix.size())
    return A.PathPrefix.size() > B.PathPrefix.size();
  return !A.Methods.empty() && B.Methods.empty();
}

} // namespace

declaration_index::declaration_index(fleet_declaration Declaration)
    : Fleet(std::move(Declaration)) {
  indexServices();
  indexSelectors();
  indexAccounts();
  indexCallRoutes();
}

void declaration_index::indexServices() {
  for (const service_declaration &Service : Fleet.Services) {
    ServiceByName.emplace(Service.Name.str(), &Service);
    for (const model_name &Model : Service.Models)
      ServiceByModel.emplace(Model.str(), &Service);
    for (const plain_route &Route : Service.Routes)
      RoutesByHost[Route.Host].push_back({&Service, &Route});
  }
  for (auto &[Host, Routes] : RoutesByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const indexed_route &A, const indexed_route &B) {
                       return isPreferredRoute(*A.Route, *B.Route);
                     });
  for (const group_declaration &Group : Fleet.Groups)
    GroupByName.emplace(Group.Name.str(), &Group);
}

void declaration_index::indexSelectors() {
  for (const selector_declaration &Selector : Fleet.Selectors) {
    SelectorsByService[Selector.Service.str()].push_back(&Selector);
    for (const header_match &Match : Selector.Headers)
      HeaderNames.push_back(asciiLower(Match.Name));
  }
  std::sort(HeaderNames.begin(), HeaderNames.end());
  HeaderNames.erase(std::unique(HeaderNames.begin(), HeaderNames.end()), HeaderNames.end());
}

void declaration_index::indexAccounts() {
  for (const account_declaration &Account : Fleet.Accounts) {
    AccountByName.emplace(Account.Name.str(), &Account);
    for (const std::string &Hash : Account.KeyHashes)
      AccountByKey.emplace(Hash, &Account);
  }
}

void declaration_index::indexCallRoutes() {
  for (const call_route &Route : Fleet.Routes)
    CallRoutesByHost[normaliseHost(Route.Host)].push_back(&Route);
  for (auto &[Host, Routes] : CallRoutesByHost)
    std::sort(Routes.begin(), Routes.end(), [](const call_route *A, const call_route *B) {
      return A->PathPrefix.size() > B->PathPrefix.size();
    });
}

const call_route *declaration_index::findCallRoute(std::string_view Host,
                                                   std::string_view Path) const {
  const auto Routes = CallRoutesByHost.find(normaliseHost(Host));
  if (Routes == CallRoutesByHost.end())
    return nullptr;
  for (const call_route *Route : Routes->second)
    if (Path.starts_with(Route->PathPrefix))
      return Route;
  return nullptr;
}

const account_declaration *declaration_index::findAccount(std::string_view KeyHash) const {
  return lookUp(AccountByKey, KeyHash);
}

const account_declaration *
declaration_index::findAccountByName(const client_account_name &Name) const {
  return lookUp(AccountByName, Name.str());
}

const service_declaration *declaration_index::findModel(std::string_view Model) const {
  return lookUp(ServiceByModel, Model);
}

const service_declaration *declaration_index::findService(const service_name &Name) const {
  return lookUp(ServiceByName, Name.str());
}

const group_declaration *declaration_index::findGroup(const group_name &Name) const {
  return lookUp(GroupByName, Name.str());
}

std::optional<route_match> declaration_index::findRoute(std::string_view Host,
                                                        std::string_view Method,
                                                        std::string_view Target) const {
  const auto Path = normalisePath(Target);
  if (!Path)
    return std::nullopt;
  // Some servers treat "post" as POST, so it must match a route that names POST.
  const std::string UpperMethod = asciiUpper(Method);
  const std::string HostName = normaliseHost(Host);
  if (!HostName.empty())
    if (const auto Match = findRouteForHost(HostName, *Path, UpperMethod))
      return Match;
  return findRouteForHost("", *Path, UpperMethod);
}

std::optional<route_match> declaration_index::findRouteForHost(const std::string &Host,
                                                               const std::string &Path,
                                                               const std::string &Method) const {
  const auto Routes = RoutesByHost.find(Host);
  if (Routes == RoutesByHost.end())
    return std::nullopt;
  for (const indexed_route &Candidate : Routes->second)
    if (coversPath(Candidate.Route->PathPrefix, Path) && acceptsMethod(*Candidate.Route, Method))
      return route_match{Candidate.Service, Candidate.Route, Candidate.Route->Idempotent};
  return std::nullopt;
}

const selector_declaration *declaration_index::select(const selector_input &Input) const {
  const auto Selectors = SelectorsByService.find(Input.Service.str());
  if (Selectors == SelectorsByService.end())
    return nullptr;
  for (const selector_declaration *Selector : Selectors->second)
    if (!findMismatch(*Selector, Input))
      return Selector;
  return nullptr;
}

bool hasAllLabels(const label_set &Server, const label_set &Group) {
  return std::all_of(Group.begin(), Group.end(), [&Server](const auto &Label) {
    const auto Found = Server.find(Label.first);
    return Found != Server.end() && Found->second == Label.second;
  });
}

} // namespace pollenstall
