/** @file operator_api_base.h The HTTP interface of a control host. */
#ifndef POLLENSTALL_CONTROL_OPERATOR_API_BASE_H
#define POLLENSTALL_CONTROL_OPERATOR_API_BASE_H

#include "control_core_base.h"
#include "operators/operators.h"

#include <functional>
#include <string>

namespace pollenstall {

/// Says as a JSON array what is wrong with a declaration's text; empty where it is valid.
using validation_hook = std::function<std::string(const std::string &Text)>;

/// @return The check that every change passes before it is proposed.
validation_hook declarationValidation();

/// @return One line that says what the change does, for the history.
std::string changeSummary(const std::string &From, const std::string &To);

/// Turns calls into questions to the core and its outcomes into replies; see
/// docs/design/control.md for the paths.
class operator_api {
public:
  operator_api(control_core &Asked, validation_hook Check);

  /// Adds every path.
  void addRoutes(operator_server_builder &Server);

private:
  operator_reply postChange(const operator_call &Call);
  operator_reply postDrain(const operator_call &Call);
  operator_reply postMember(const operator_call &Call);
  operator_reply getSuspects(const operator_call &Call);
  operator_reply postSuspect(const operator_call &Call);
  operator_reply getDeclaration(const operator_call &Call);
  operator_reply getChange(const operator_call &Call);
  operator_reply getHistory(const operator_call &Call);
  operator_reply getStatus(const operator_call &Call);
  operator_reply read(std::function<std::string(const control_state &)> Read);
  operator_reply ask(control_question Question);

  control_core &Core;
  validation_hook Validate;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_OPERATOR_API_BASE_H
