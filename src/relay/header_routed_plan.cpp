/** @file header_routed_plan.cpp Plans calls of declared routes: client account, target and
 * deadline. */
#include "operators/operators.h"
#include "relay/call_error_func.h"
#include "relay/call_plan_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;

call_error unknownRoute() {
  return undeclared(refusal(NotFound, "invalid_request_error", "unknown_route", "path",
                            "No route is declared for this host and path."));
}

call_error unknownKey() {
  return undeclared(refusal(Unauthorized, "authentication_error", "invalid_api_key",
                            "Authorization",
                            "must be \"Bearer KEY\" with the key of a client account"));
}

} // namespace

result<call_plan, call_error> planHeaderRoutedCall(const request_head &Head,
                                                   const declaration_view &View,
                                                   const call_interface &Interface) {
  auto Parsed = Interface.ReadHead(Head);
  if (!succeeded(Parsed))
    return errorOf(Parsed);
  header_routed_call Call;
  Call.Head = valueOf(std::move(Parsed));
  const std::string_view Path = std::string_view(Head.Target).substr(0, Head.Target.find('?'));
  Call.Route = View->findCallRoute(Head.header("Host"), Path);
  if (!Call.Route)
    return unknownRoute();
  call_plan Plan;
  Plan.Declaration = View;
  const fleet_declaration &Fleet = View->declaration();
  const bool NeedsKey = Fleet.KeysRequired && !Call.Route->Anonymous;
  if (NeedsKey) {
    const account_declaration *Account =
        Call.Head.Key.empty() ? nullptr : View->findAccount(keyHash(Call.Head.Key));
    if (!Account)
      return unknownKey();
    Plan.Account = Account->Name;
  }
  Call.Head.Key.clear();
  Plan.BodyLimit = Fleet.Callers.value_or(caller_limits{}).BodyBytes;
  Plan.Kind = std::move(Call);
  return Plan;
}

checked_call planFromHeaders(const call_plan &Plan, mono_time Now) {
  const header_routed_call &Call = std::get<header_routed_call>(Plan.Kind);
  const call_route &Route = *Call.Route;
  const account_declaration *Account = Plan.Declaration->findAccountByName(Plan.Account);
  checked_call Planned;
  Planned.Kind = service_kind::Plain;
  request_facts &Facts = Planned.Facts;
  Facts.Account = Plan.Account;
  Facts.Service = service_name(Route.Name);
  Facts.Model = Call.Head.Model;
  Facts.Prompt = Call.Head.Prompt;
  Facts.AnswerLimit = Call.Head.AnswerLimit;
  Facts.AnswerHint = Call.Head.AnswerHint;
  Facts.PrefixHashes = Call.Head.PrefixHashes;
  Planned.SharedParts = Call.Head.SharedParts;
  Facts.Idempotent = Route.RetryMode != retry_mode::Never;
  Facts.Resumable = Route.RetryMode == retry_mode::Resume;
  Facts.MaxAttempts = std::max(1U, Route.MaxAttempts);
  Facts.Urgency = Account && Account->Priority ? *Account->Priority : Route.Priority;
  Facts.Target = Route.Target;
  Facts.LongestGap = Route.LongestGap;
  Facts.Patience = Route.Patience;
  Facts.TimeLimit = Route.Timeout;
  Facts.Continues = Facts.Resumable && Call.Head.LastEvent > 0;
  for (const service_share &Share : Route.Services)
    Facts.Services.emplace_back(Share.Service, Share.Weight);
  Facts.Arrived = Now;
  Facts.Deadline = Now + std::min(Call.Head.TimeLeft.value_or(Route.Timeout), Route.Timeout);
  return Planned;
}

} // namespace pollenstall
