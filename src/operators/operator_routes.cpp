/** @file operator_routes.cpp The route with the longest matching path answers a call. */
#include "operators/operator_routes_base.h"

#include "operators/key_hash_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr unsigned Unauthorised = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned WrongMethod = 405;

bool matchesPath(const operator_route &Route, std::string_view Path) {
  return Route.Path.ends_with('/') ? Path.starts_with(Route.Path) : Path == Route.Path;
}

std::string_view pathOf(std::string_view Target) { return Target.substr(0, Target.find('?')); }

operator_reply errorReply(unsigned Status, std::string_view Code, std::string_view Message) {
  return {Status, "application/json", errorBody(Code, Message)};
}

} // namespace

std::string errorBody(std::string_view Code, std::string_view Message) {
  return R"({"error":{"code":")" + std::string(Code) + R"(","message":")" + std::string(Message) +
         R"("}})";
}

operator_routes::operator_routes(std::vector<operator_route> Declared, std::string OperatorKeyHash)
    : Routes(std::move(Declared)), KeyHash(std::move(OperatorKeyHash)) {
  std::stable_sort(Routes.begin(), Routes.end(),
                   [](const auto &A, const auto &B) { return A.Path.size() > B.Path.size(); });
}

bool operator_routes::authorised(std::string_view Authorization) const {
  const auto Key = bearerKey(Authorization);
  return Key && !KeyHash.empty() && equalInConstantTime(keyHash(*Key), KeyHash);
}

bool operator_routes::isNonBlocking(std::string_view Method, std::string_view Target) const {
  const std::string_view Path = pathOf(Target);
  return std::none_of(Routes.begin(), Routes.end(), [Method, Path](const operator_route &Route) {
    return Route.Access != operator_access::Open && Route.Method == Method &&
           matchesPath(Route, Path);
  });
}

call_pool operator_routes::poolOf(std::string_view Method, std::string_view Target) const {
  const std::string_view Path = pathOf(Target);
  const auto Found =
      std::find_if(Routes.begin(), Routes.end(), [Method, Path](const operator_route &Route) {
        return Route.Method == Method && matchesPath(Route, Path);
      });
  return Found == Routes.end() ? call_pool::Operators : Found->Pool;
}

operator_reply operator_routes::answer(const std::string &Method, std::string_view Target,
                                       std::string_view Authorization, std::string Body) const {
  const std::string_view Path = pathOf(Target);
  const std::string_view Query = Target.substr(std::min(Path.size() + 1, Target.size()));
  bool PathKnown = false;
  for (const operator_route &Route : Routes) {
    if (!matchesPath(Route, Path))
      continue;
    PathKnown = true;
    if (Route.Method != Method)
      continue;
    if (Route.Access == operator_access::KeyNeeded && !authorised(Authorization))
      return errorReply(Unauthorised, "unauthorised", "the operators' bearer key is needed");
    return Route.Handle({Method, std::string(Path), std::string(Query), std::move(Body)});
  }
  return PathKnown
             ? errorReply(WrongMethod, "wrong_method", "the path does not support this method")
             : errorReply(NotFound, "not_found", "no such path");
}

} // namespace pollenstall
