/** @file operator_routes.cpp The longest matching path answers. */
#include "operators/operator_routes_base.h"

#include "operators/key_hash_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr unsigned Unauthorised = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned WrongMethod = 405;

bool covers(const operator_route &Route, std::string_view Path) {
  return Route.Path.ends_with('/') ? Path.starts_with(Route.Path) : Path == Route.Path;
}

std::string_view pathOf(std::string_view Target) { return Target.substr(0, Target.find('?')); }

operator_reply refuse(unsigned Status, std::string_view Code, std::string_view Message) {
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
  return Key && !KeyHash.empty() && sameSecret(keyHash(*Key), KeyHash);
}

bool operator_routes::answersAtOnce(std::string_view Method, std::string_view Target) const {
  const std::string_view Path = pathOf(Target);
  return std::none_of(Routes.begin(), Routes.end(), [Method, Path](const operator_route &Route) {
    return Route.Access != operator_access::Open && Route.Method == Method && covers(Route, Path);
  });
}

call_lane operator_routes::laneOf(std::string_view Method, std::string_view Target) const {
  const std::string_view Path = pathOf(Target);
  const auto Found =
      std::find_if(Routes.begin(), Routes.end(), [Method, Path](const operator_route &Route) {
        return Route.Method == Method && covers(Route, Path);
      });
  return Found == Routes.end() ? call_lane::Operators : Found->Lane;
}

operator_reply operator_routes::answer(const std::string &Method, std::string_view Target,
                                       std::string_view Authorization, std::string Body) const {
  const std::string_view Path = pathOf(Target);
  const std::string_view Query = Target.substr(std::min(Path.size() + 1, Target.size()));
  bool PathKnown = false;
  for (const operator_route &Route : Routes) {
    if (!covers(Route, Path))
      continue;
    PathKnown = true;
    if (Route.Method != Method)
      continue;
    if (Route.Access == operator_access::KeyNeeded && !authorised(Authorization))
      return refuse(Unauthorised, "unauthorised", "the operators' bearer key is needed");
    return Route.Handle({Method, std::string(Path), std::string(Query), std::move(Body)});
  }
  return PathKnown ? refuse(WrongMethod, "wrong_method", "the path has no such method")
                   : refuse(NotFound, "not_found", "no such path");
}

} // namespace pollenstall
