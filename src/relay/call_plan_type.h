/** @file call_plan_type.h What is decided of a call from its head alone, before its body is read.
 */
#ifndef POLLENSTALL_RELAY_CALL_PLAN_TYPE_H
#define POLLENSTALL_RELAY_CALL_PLAN_TYPE_H

#include "declaration/declaration.h"
#include "relay/call_interface_type.h"
#include "relay/prompt_facts_type.h"

#include <cstddef>
#include <variant>

namespace pollenstall {

/// GET /v1/models, or one of them.
struct models_call {
  std::string Model; ///< Empty for all.
};
/// A chat or completion call; its model is in the body.
struct model_call {
  prompt_form Form{prompt_form::Chat};
};
/// A call of a plain service. The service lives as long as the plan's declaration.
struct plain_call {
  const service_declaration *Service{nullptr};
  bool Idempotent{true};
};

/// A call of a declared route; its head says everything. The route lives as long as the plan's
/// declaration.
struct headed_call {
  const call_route *Route{nullptr};
  head_facts Head;
};

/// Who calls, and what.
struct call_plan {
  declaration_view Declaration;
  client_account_name Account;
  std::variant<models_call, model_call, plain_call, headed_call> Kind;
  std::size_t BodyLimit{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_PLAN_TYPE_H
