/** @file selection.cpp Tests the conditions of selectors. */
#include "declaration/selection_func.h"

#include "declaration/ascii_case_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// @return Whether the list contains the name. An empty list allows every name.
template <typename Name> bool allows(const std::vector<Name> &Names, const Name &Wanted) {
  return Names.empty() || std::find(Names.begin(), Names.end(), Wanted) != Names.end();
}

bool requestHasHeader(const selector_input &Input, const header_match &Match) {
  return std::any_of(Input.Headers.begin(), Input.Headers.end(), [&Match](const auto &Header) {
    return equalIgnoringCase(Header.first, Match.Name) && Header.second == Match.Value;
  });
}

/// @return Whether the list A allows every name that B allows. An empty list allows every name.
template <typename Name> bool includes(const std::vector<Name> &A, const std::vector<Name> &B) {
  if (A.empty())
    return true;
  return !B.empty() &&
         std::all_of(B.begin(), B.end(), [&A](const Name &N) { return allows(A, N); });
}

bool selectorHasHeader(const selector_declaration &Selector, const header_match &Match) {
  return std::any_of(
      Selector.Headers.begin(), Selector.Headers.end(), [&Match](const header_match &Other) {
        return equalIgnoringCase(Other.Name, Match.Name) && Other.Value == Match.Value;
      });
}

template <typename Name> std::string joinNames(const std::vector<Name> &Names) {
  std::string Text;
  for (const Name &Item : Names)
    Text += (Text.empty() ? "" : ", ") + Item.str();
  return Text;
}

} // namespace

std::optional<selector_mismatch> findMismatch(const selector_declaration &Selector,
                                              const selector_input &Input) {
  if (!allows(Selector.Models, Input.Model))
    return selector_mismatch{Selector.Name, selector_condition::Model, {}};
  if (!allows(Selector.Accounts, Input.Account))
    return selector_mismatch{Selector.Name, selector_condition::Account, {}};
  for (const header_match &Match : Selector.Headers)
    if (!requestHasHeader(Input, Match))
      return selector_mismatch{Selector.Name, selector_condition::Header, Match.Name};
  if (Input.Prompt < Selector.PromptFrom)
    return selector_mismatch{Selector.Name, selector_condition::PromptFrom, {}};
  if (Selector.PromptBelow && Input.Prompt >= *Selector.PromptBelow)
    return selector_mismatch{Selector.Name, selector_condition::PromptBelow, {}};
  return std::nullopt;
}

selection select(const fleet_declaration &Declaration, const selector_input &Input) {
  selection Selection;
  for (const selector_declaration &Selector : Declaration.Selectors) {
    if (Selector.Service != Input.Service)
      continue;
    if (auto Miss = findMismatch(Selector, Input)) {
      Selection.Mismatches.push_back(std::move(*Miss));
      continue;
    }
    Selection.Selector = Selector.Name;
    Selection.Groups = Selector.Groups;
    break;
  }
  return Selection;
}

bool matchesEverything(const selector_declaration &Selector) {
  return Selector.Models.empty() && Selector.Accounts.empty() && Selector.Headers.empty() &&
         Selector.PromptFrom <= tokens(0) && !Selector.PromptBelow;
}

bool covers(const selector_declaration &A, const selector_declaration &B) {
  const bool Headers =
      std::all_of(A.Headers.begin(), A.Headers.end(),
                  [&B](const header_match &Match) { return selectorHasHeader(B, Match); });
  const bool Above = A.PromptFrom <= B.PromptFrom;
  const bool Below = !A.PromptBelow || (B.PromptBelow && *B.PromptBelow <= *A.PromptBelow);
  return A.Service == B.Service && includes(A.Models, B.Models) &&
         includes(A.Accounts, B.Accounts) && Headers && Above && Below;
}

std::string explainMismatch(const selector_mismatch &Miss, const selector_declaration &Selector,
                            const selector_input &Input) {
  const std::string Prompt = "the prompt has " + std::to_string(Input.Prompt.value()) + " tokens";
  switch (Miss.Condition) {
  case selector_condition::Model:
    return "the model is \"" + Input.Model.str() + "\"; accepted: " + joinNames(Selector.Models);
  case selector_condition::Account:
    return "the account is \"" + Input.Account.str() +
           "\"; accepted: " + joinNames(Selector.Accounts);
  case selector_condition::Header:
    return "header " + Miss.Header + " is absent or has another value";
  case selector_condition::PromptFrom:
    return Prompt + "; accepted: from " + std::to_string(Selector.PromptFrom.value());
  case selector_condition::PromptBelow:
    return Prompt + "; accepted: below " +
           std::to_string(Selector.PromptBelow.value_or(tokens(0)).value());
  }
  return {};
}

} // namespace pollenstall
