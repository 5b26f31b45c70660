/** @file declaration_warning.cpp Finds probable mistakes in a valid declaration and formats errors.
 */
#include "declaration/declaration_check_func.h"
#include "declaration/selection_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

using warnings = std::vector<declaration_warning>;

/// @return An earlier selector of the same service that matches every request that this one does,
/// or null.
const selector_declaration *findShadowing(const fleet_declaration &Fleet, std::size_t Index) {
  const selector_declaration &Selector = Fleet.Selectors[Index];
  for (std::size_t Earlier = 0; Earlier < Index; ++Earlier)
    if (covers(Fleet.Selectors[Earlier], Selector))
      return &Fleet.Selectors[Earlier];
  return nullptr;
}

void checkSelectorReach(const fleet_declaration &Fleet, warnings &Warnings) {
  for (std::size_t I = 0; I < Fleet.Selectors.size(); ++I) {
    const selector_declaration &Selector = Fleet.Selectors[I];
    const std::string Item = "selector " + Selector.Name.str();
    if (const auto *Shadowing = findShadowing(Fleet, I))
      Warnings.push_back({Item, "is never reached: selector " + Shadowing->Name.str() +
                                    " before it matches every request that it matches"});
    const auto Service =
        std::find_if(Fleet.Services.begin(), Fleet.Services.end(),
                     [&](const service_declaration &S) { return S.Name == Selector.Service; });
    if (Service != Fleet.Services.end() && Selector.PromptFrom > Service->MaxPrompt)
      Warnings.push_back({Item, "is never reached: the service refuses prompts over " +
                                    std::to_string(Service->MaxPrompt.value()) + " tokens"});
  }
}

bool isReferenced(const fleet_declaration &Fleet, const group_name &Group) {
  return std::any_of(Fleet.Selectors.begin(), Fleet.Selectors.end(), [&](const auto &Selector) {
    return std::any_of(Selector.Groups.begin(), Selector.Groups.end(),
                       [&](const group_share &Share) { return Share.Group == Group; });
  });
}

} // namespace

std::vector<declaration_warning> findWarnings(const fleet_declaration &Declaration) {
  warnings Warnings;
  if (Declaration.Services.empty())
    Warnings.push_back({"declaration", "declares no service: every request is refused"});
  if (!Declaration.Services.empty() && Declaration.Accounts.empty())
    Warnings.push_back({"declaration", "declares no account: every request is refused"});
  checkSelectorReach(Declaration, Warnings);
  for (const group_declaration &Group : Declaration.Groups)
    if (!isReferenced(Declaration, Group.Name))
      Warnings.push_back({"group " + Group.Name.str(), "is not used by any selector"});
  for (const account_declaration &Account : Declaration.Accounts)
    if (Account.KeyHashes.empty())
      Warnings.push_back({"account " + Account.Name.str(), "has no key and so cannot call"});
  return Warnings;
}

std::string toText(const std::vector<declaration_error> &Errors) {
  std::string Text;
  for (const declaration_error &Error : Errors) {
    Text += Error.File + ":" + std::to_string(Error.Line) + ": ";
    Text += (Error.Key.empty() ? "" : Error.Key + ": ") + "allowed: " + Error.Allowed + "\n";
  }
  return Text;
}

std::string toText(const std::vector<declaration_warning> &Warnings) {
  std::string Text;
  for (const declaration_warning &Warning : Warnings)
    Text += "warning: " + Warning.Item + " " + Warning.Message + "\n";
  return Text;
}

} // namespace pollenstall
