/** @file call_plan_func.h Checks a call against the declaration and extracts its facts. */
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

/// What is known about a call after its body has been read, including the facts for the decision
/// thread.
struct checked_call {
  request_facts Facts; ///< Id is not set yet.
  service_kind Kind{service_kind::Model};
  byte_count PromptBytes;
  std::vector<std::string>
      SharedParts; ///< Names of the prompt's parts that other requests may share.
};

/// Checks key, method and path. Returns the plan, or a 401, 404 or 405 refusal.
result<call_plan, call_error> planCall(const request_head &Head, const declaration_view &View);

/// Checks a call of a declared route. Returns the plan, or a 400, 401 or 404 refusal.
result<call_plan, call_error> planHeaderRoutedCall(const request_head &Head,
                                                   const declaration_view &View,
                                                   const call_interface &Interface);

/// Returns the facts of a call of a declared route; its body is forwarded without being parsed.
checked_call planFromHeaders(const call_plan &Plan, mono_time Now);

/**
 * Checks the body and the headers that limit the call.
 * @param Tokens Estimates prompt tokens from prompt bytes.
 * @param Now When the complete head had arrived; the deadline counts from then.
 */
result<checked_call, call_error> planBody(const call_plan &Plan, const request_head &Head,
                                          std::string_view Body, const token_estimator &Tokens,
                                          mono_time Now);

/// Returns the answer body of GET /v1/models, or a 404.
result<std::string, call_error> modelsBody(const models_call &Call,
                                           const fleet_declaration &Declaration);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_PLAN_FUNC_H
