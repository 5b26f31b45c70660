/** @file selection_type.h What selectors are tested on and what comes of it. */
#ifndef POLLENSTALL_DECLARATION_SELECTION_TYPE_H
#define POLLENSTALL_DECLARATION_SELECTION_TYPE_H

#include "declaration/declaration_type.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pollenstall {

/// What a selector may look at.
struct selector_input {
  service_name Service;
  model_name Model; ///< Empty for a plain service.
  client_account_name Account;
  std::vector<std::pair<std::string, std::string>> Headers; ///< Names in any case.
  tokens Prompt;                                            ///< Estimated; 0 for a plain service.
};

/// The first condition of a selector that did not hold.
enum class selector_condition : std::uint8_t { Model, Account, Header, PromptFrom, PromptBelow };

/// A selector that was tested and passed over.
struct selector_miss {
  selector_name Selector;
  selector_condition Condition{selector_condition::Model};
  std::string Header; ///< Which header, for selector_condition::Header.

  bool operator==(const selector_miss &) const = default;
};

/// Where a request may go.
struct selection {
  selector_name Selector;            ///< Empty where the service has no matching selector.
  std::vector<group_share> Groups;   ///< As the selector declares them.
  std::vector<selector_miss> Misses; ///< Selectors of the service that were tested before.
};

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_SELECTION_TYPE_H
