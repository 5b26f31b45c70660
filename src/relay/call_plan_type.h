/** @file call_plan_type.h The result of checking a call's head, before its body is read. */
#ifndef POLLENSTALL_RELAY_CALL_PLAN_TYPE_H
#define POLLENSTALL_RELAY_CALL_PLAN_TYPE_H

#include "declaration/declaration.h"
#include "relay/call_interface_type.h"
#include "relay/prompt_facts_type.h"

#include <cstddef>
#include <variant>

namespace pollenstall {

/// GET /v1/models or /v1/models/<model>.
struct models_call {
  std::string Model; ///< Empty to list all models.
};
/// A chat or completion call; its body names the model.
struct model_call {
  prompt_form Form{prompt_form::Chat};
};
/// A call of a plain service. The plan's declaration owns the service.
struct plain_call {
  const service_declaration *Service{nullptr};
  bool Idempotent{true};
};

/// A call of a declared route; its head carries all facts. The plan's declaration owns the route.
struct header_routed_call {
  const call_route *Route{nullptr};
  head_facts Head;
};

/// The caller's client account, and the call.
struct call_plan {
  declaration_view Declaration;
  client_account_name Account;
  std::variant<models_call, model_call, plain_call, header_routed_call> Kind;
  std::size_t BodyLimit{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_PLAN_TYPE_H
