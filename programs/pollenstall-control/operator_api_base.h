/** @file operator_api_base.h The HTTP interface of a control host. */
#ifndef POLLENSTALL_CONTROL_OPERATOR_API_BASE_H
#define POLLENSTALL_CONTROL_OPERATOR_API_BASE_H

#include "control_core_base.h"
#include "operators/operators.h"

#include <functional>
#include <string>

namespace pollenstall {

/// Returns the errors of a declaration's text as a JSON array; empty if the text is valid.
using validation_hook = std::function<std::string(const std::string &Text)>;

/// @return The check that every change must pass before it is proposed.
validation_hook declarationValidation();

/// @return A one-line summary of the change for the history.
std::string changeSummary(const std::string &From, const std::string &To);

/// Converts calls to operations of the core, and their outcomes to replies. See
/// docs/design/control.md for the paths.
class operator_api {
public:
  operator_api(control_core &ControlCore, validation_hook Check);

  /// Adds all routes to the server.
  void addRoutes(operator_server_builder &Server);

private:
  operator_reply postChange(const operator_call &Call);
  operator_reply postDrain(const operator_call &Call);
  operator_reply getEvacuations(const operator_call &Call);
  operator_reply postEvacuation(const operator_call &Call);
  operator_reply postMember(const operator_call &Call);
  operator_reply getSuspects(const operator_call &Call);
  operator_reply postSuspect(const operator_call &Call);
  operator_reply getDeclaration(const operator_call &Call);
  operator_reply getChange(const operator_call &Call);
  operator_reply getHistory(const operator_call &Call);
  operator_reply getStatus(const operator_call &Call);
  operator_reply read(std::function<std::string(const control_state &)> Read);
  operator_reply ask(control_operation Operation);

  control_core &Core;
  validation_hook Validate;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_OPERATOR_API_BASE_H
