/** @file declaration_normalise.cpp Normalises the spelling and order of a declaration. */
#include "declaration/declaration_normalise_func.h"

#include "declaration/ascii_case_func.h"
#include "declaration/request_path_func.h"

#include <algorithm>
#include <tuple>

namespace pollenstall {

namespace {

template <typename Item> void sortByName(std::vector<Item> &Items) {
  std::sort(Items.begin(), Items.end(),
            [](const Item &A, const Item &B) { return A.Name < B.Name; });
}

template <typename Text> void sortUnique(std::vector<Text> &Texts) {
  std::sort(Texts.begin(), Texts.end());
  Texts.erase(std::unique(Texts.begin(), Texts.end()), Texts.end());
}

bool lessRoute(const plain_route &A, const plain_route &B) {
  return std::tie(A.Host, A.PathPrefix, A.Methods, A.Idempotent) <
         std::tie(B.Host, B.PathPrefix, B.Methods, B.Idempotent);
}

void normaliseRoute(plain_route &Route) {
  Route.Host = asciiLower(Route.Host);
  Route.PathPrefix = normalisePath(Route.PathPrefix).value_or(Route.PathPrefix);
  for (std::string &Method : Route.Methods)
    Method = asciiUpper(Method);
}

void sortService(service_declaration &Service) {
  sortUnique(Service.Models);
  for (plain_route &Route : Service.Routes)
    sortUnique(Route.Methods);
  std::sort(Service.Routes.begin(), Service.Routes.end(), lessRoute);
}

void sortSelector(selector_declaration &Selector) {
  sortUnique(Selector.Models);
  sortUnique(Selector.Accounts);
  sortByName(Selector.Headers);
  std::sort(Selector.Groups.begin(), Selector.Groups.end(),
            [](const group_share &A, const group_share &B) { return A.Group < B.Group; });
}

} // namespace

void normaliseSpelling(fleet_declaration &Fleet) {
  for (service_declaration &Service : Fleet.Services)
    for (plain_route &Route : Service.Routes)
      normaliseRoute(Route);
  for (selector_declaration &Selector : Fleet.Selectors)
    for (header_match &Header : Selector.Headers)
      Header.Name = asciiLower(Header.Name);
}

void normaliseOrder(fleet_declaration &Fleet) {
  for (service_declaration &Service : Fleet.Services)
    sortService(Service);
  for (selector_declaration &Selector : Fleet.Selectors)
    sortSelector(Selector);
  for (account_declaration &Account : Fleet.Accounts)
    sortUnique(Account.KeyHashes);
  sortByName(Fleet.Services);
  sortByName(Fleet.Groups);
  sortByName(Fleet.Placements);
  sortByName(Fleet.Accounts);
}

} // namespace pollenstall
