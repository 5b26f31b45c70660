/** @file call_plan_func.h Checks a call against the declaration and gathers its facts. */
#ifndef POLLENSTALL_RELAY_CALL_PLAN_FUNC_H
#define POLLENSTALL_RELAY_CALL_PLAN_FUNC_H

#include "dispatch/dispatch_type.h"
#include "relay/call_error_type.h"
#include "relay/call_plan_type.h"
#include "relay/request_head_type.h"
#include "scheduling/scheduling.h"

#include <string>
#include <string_view>

namespace pollenstall {

/// Known of a call when its body has been read, besides the facts for the decision thread.
struct planned_call {
  request_facts Facts; ///< Without Id.
  service_kind Kind{service_kind::Model};
  byte_count PromptBytes;
};

/// Checks key, method and path. @return The plan, or a refusal: 401, 404 or 405.
result<call_plan, call_error> planCall(const request_head &Head, const declaration_view &View);

/// The same for a call of a declared route. @return The plan, or a refusal: 400, 401 or 404.
result<call_plan, call_error> planHeadedCall(const request_head &Head, const declaration_view &View,
                                             const call_interface &Interface);

/// @return The facts of a call of a declared route; its body is only passed on.
planned_call planHeaded(const call_plan &Plan, mono_time Now);

/**
 * Checks the body and the headers that bound the call.
 * @param Tokens Turns bytes of a prompt into tokens.
 * @param Now When the head had arrived; the deadline counts from then.
 */
result<planned_call, call_error> planBody(const call_plan &Plan, const request_head &Head,
                                          std::string_view Body, const token_estimator &Tokens,
                                          mono_time Now);

/// @return The answer's body for GET /v1/models, or a 404.
result<std::string, call_error> modelsBody(const models_call &Call,
                                           const fleet_declaration &Declaration);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_PLAN_FUNC_H
