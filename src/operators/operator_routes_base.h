/** @file operator_routes_base.h Routes calls to handlers and checks the key. */
#ifndef POLLENSTALL_OPERATORS_OPERATOR_ROUTES_BASE_H
#define POLLENSTALL_OPERATORS_OPERATOR_ROUTES_BASE_H

#include "operators/operator_server_base.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/// The routes of one operator server.
class operator_routes {
public:
  operator_routes(std::vector<operator_route> Declared, std::string OperatorKeyHash);

  /// @return Why no handler answers the call: 404 for an unknown path, 405 for another method, 401
  /// without the key; nothing if one does.
  /// @param Target Path and query as in the request line.
  /// @param Authorization The header's value; empty if it is absent.
  [[nodiscard]] std::optional<operator_reply>
  refuse(std::string_view Method, std::string_view Target, std::string_view Authorization) const;

  /// Answers a call that is not refused.
  [[nodiscard]] operator_reply answer(const std::string &Method, std::string_view Target,
                                      std::string_view Authorization, std::string Body) const;

  /// @return The largest body of a call that its route takes.
  [[nodiscard]] std::size_t bodyLimit(std::string_view Method, std::string_view Target) const;

  /// @return Whether the answer cannot block, because only an operator_access::Open route or an
  /// error can answer the call.
  [[nodiscard]] bool isNonBlocking(std::string_view Method, std::string_view Target) const;

  /// @return The pool of the call's route, or call_pool::Operators if no route matches.
  [[nodiscard]] call_pool poolOf(std::string_view Method, std::string_view Target) const;

private:
  [[nodiscard]] const operator_route *find(std::string_view Method, std::string_view Path) const;
  [[nodiscard]] bool authorised(std::string_view Authorization) const;

  std::vector<operator_route> Routes;
  std::string KeyHash;
};

/// @return {"error":{"code":Code,"message":Message}}.
std::string errorBody(std::string_view Code, std::string_view Message);

} // namespace pollenstall

#endif // POLLENSTALL_OPERATORS_OPERATOR_ROUTES_BASE_H
