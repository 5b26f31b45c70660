/** @file operator_routes_base.h Finds the route of a call and checks the key. */
#ifndef POLLENSTALL_OPERATORS_OPERATOR_ROUTES_BASE_H
#define POLLENSTALL_OPERATORS_OPERATOR_ROUTES_BASE_H

#include "operators/operator_server_base.h"

#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/// The routes of one operator server.
class operator_routes {
public:
  operator_routes(std::vector<operator_route> Declared, std::string OperatorKeyHash);

  /**
   * Answers a call: 404 for an unknown path, 405 for another method, 401 without the key.
   * @param Target Path and query as they stand in the request line.
   * @param Authorization The header's value; empty where there is none.
   */
  [[nodiscard]] operator_reply answer(const std::string &Method, std::string_view Target,
                                      std::string_view Authorization, std::string Body) const;

  /// @return Whether the call can be answered at once: no handler behind the key would run for it.
  [[nodiscard]] bool answersAtOnce(std::string_view Method, std::string_view Target) const;

  /// @return The lane of the call's route; that of operators where there is no such route.
  [[nodiscard]] call_lane laneOf(std::string_view Method, std::string_view Target) const;

private:
  [[nodiscard]] bool authorised(std::string_view Authorization) const;

  std::vector<operator_route> Routes;
  std::string KeyHash;
};

/// @return {"error":{"code":Code,"message":Message}}.
std::string errorBody(std::string_view Code, std::string_view Message);

} // namespace pollenstall

#endif // POLLENSTALL_OPERATORS_OPERATOR_ROUTES_BASE_H
