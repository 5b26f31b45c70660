/** @file selection_type.h What selectors are tested on and what comes of it. */
#ifndef POLLENSTALL_DECLARATION_SELECTION_TYPE_H
#define POLLENSTALL_DECLARATION_SELECTION_TYPE_H

#include "declaration/declaration_type.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pollenstall {

/// Properties of a request that selectors test.
struct selector_input {
  service_name Service;
  model_name Model; ///< Empty for a plain service.
  client_account_name Account;
  std::vector<std::pair<std::string, std::string>> Headers; ///< Names in any case.
  tokens Prompt; ///< Estimated length; 0 for a plain service.
};

/// Kind of the first condition of a selector that did not hold.
enum class selector_condition : std::uint8_t { Model, Account, Header, PromptFrom, PromptBelow };

/// A selector that was tested and did not match.
struct selector_mismatch {
  selector_name Selector;
  selector_condition Condition{selector_condition::Model};
  std::string Header; ///< The header's name, for selector_condition::Header.

  bool operator==(const selector_mismatch &) const = default;
};

/// The groups that may serve a request.
struct selection {
  selector_name Selector;                    ///< Empty if no selector of the service matches.
  std::vector<group_share> Groups;           ///< As the selector declares them.
  std::vector<selector_mismatch> Mismatches; ///< Earlier selectors of the service.
};

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_SELECTION_TYPE_H
