/** @file operator_routes.cpp The route with the longest matching path answers a call. */
#include "operators/operator_routes_base.h"

#include "operators/key_hash_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::size_t MaxBodyBytes = 4U << 20U;
/// Of notices, and of calls that only read.
constexpr std::size_t MaxSmallBodyBytes = 64U << 10U;
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

const operator_route *operator_routes::find(std::string_view Method, std::string_view Path) const {
  const auto Found =
      std::find_if(Routes.begin(), Routes.end(), [Method, Path](const operator_route &Route) {
        return Route.Method == Method && matchesPath(Route, Path);
      });
  return Found == Routes.end() ? nullptr : &*Found;
}

bool operator_routes::isNonBlocking(std::string_view Method, std::string_view Target) const {
  const operator_route *Route = find(Method, pathOf(Target));
  return Route == nullptr || Route->Access == operator_access::Open;
}

call_pool operator_routes::poolOf(std::string_view Method, std::string_view Target) const {
  const operator_route *Route = find(Method, pathOf(Target));
  return Route == nullptr ? call_pool::Operators : Route->Pool;
}

std::size_t operator_routes::bodyLimit(std::string_view Method, std::string_view Target) const {
  const operator_route *Route = find(Method, pathOf(Target));
  const bool TakesLargeBodies = Route != nullptr && Route->Access != operator_access::Open &&
                                Route->Pool == call_pool::Operators;
  return TakesLargeBodies ? MaxBodyBytes : MaxSmallBodyBytes;
}

std::optional<operator_reply> operator_routes::refuse(std::string_view Method,
                                                      std::string_view Target,
                                                      std::string_view Authorization) const {
  const std::string_view Path = pathOf(Target);
  const operator_route *Route = find(Method, Path);
  const bool PathKnown =
      std::any_of(Routes.begin(), Routes.end(),
                  [Path](const operator_route &Other) { return matchesPath(Other, Path); });
  if (!PathKnown)
    return errorReply(NotFound, "not_found", "no such path");
  if (Route == nullptr)
    return errorReply(WrongMethod, "wrong_method", "the path does not support this method");
  if (Route->Access == operator_access::KeyNeeded && !authorised(Authorization))
    return errorReply(Unauthorised, "unauthorised", "the operators' bearer key is needed");
  return std::nullopt;
}

operator_reply operator_routes::answer(const std::string &Method, std::string_view Target,
                                       std::string_view Authorization, std::string Body) const {
  if (auto Refusal = refuse(Method, Target, Authorization))
    return std::move(*Refusal);
  const std::string_view Path = pathOf(Target);
  const std::string_view Query = Target.substr(std::min(Path.size() + 1, Target.size()));
  return find(Method, Path)
      ->Handle({Method, std::string(Path), std::string(Query), std::move(Body)});
}

} // namespace pollenstall
