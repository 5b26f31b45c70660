/** @file dispatch_dump.cpp Serializes the dispatcher state as JSON. */
#include "dispatch_dump_func.h"

#include <boost/json.hpp>

namespace pollenstall {

namespace {

namespace json = boost::json;

std::string_view phaseText(request_phase Phase) {
  switch (Phase) {
  case request_phase::Claiming:
    return "claiming";
  case request_phase::Queued:
    return "queued";
  case request_phase::AwaitingRetry:
    return "awaiting_retry";
  default:
    return "running";
  }
}

json::object countersObject(const dispatch_counters &Counters) {
  return {{"arrived", Counters.Arrived},
          {"complete", Counters.Complete},
          {"not_run", Counters.NotRun},
          {"unknown", Counters.Unknown},
          {"attempts", Counters.Attempts},
          {"retries", Counters.Retries},
          {"retries_over_budget", Counters.RetriesOverBudget},
          {"resumes", Counters.Resumes},
          {"abandoned", Counters.Abandoned},
          {"cancels_sent", Counters.CancelsSent},
          {"ignored_events", Counters.IgnoredEvents}};
}

json::object requestObject(const request_dump &Request) {
  json::object Object{{"request", Request.Request.value()},
                      {"account", Request.Account.str()},
                      {"service", Request.Service.str()},
                      {"model", Request.Model.str()},
                      {"prompt_tokens", Request.Prompt.value()},
                      {"phase", phaseText(Request.Phase)},
                      {"attempts", Request.Attempts},
                      {"may_have_run", Request.MayHaveRun},
                      {"remaining_ms", Request.Remaining.count()}};
  if (Request.Backend)
    Object["backend"] = toText(*Request.Backend);
  return Object;
}

json::object abandonedObject(const abandoned_dump &Attempt) {
  return {{"attempt", toText(Attempt.Attempt)},
          {"backend", toText(Attempt.Backend)},
          {"cancels_sent", Attempt.CancelsSent},
          {"age_ms", Attempt.Age.count()}};
}

json::object retryBudgetObject(const retry_budget_status &Budget) {
  return {{"service", Budget.Service.str()},
          {"left", Budget.Available},
          {"lent", Budget.Lent},
          {"borrowed", Budget.Borrowed}};
}

} // namespace

std::string dumpText(const dispatch_dump &Dump) {
  json::array Requests;
  for (const request_dump &Request : Dump.Requests)
    Requests.emplace_back(requestObject(Request));
  json::array RetryBudgets;
  for (const retry_budget_status &Budget : Dump.RetryBudgets)
    RetryBudgets.emplace_back(retryBudgetObject(Budget));
  json::array Abandoned;
  for (const abandoned_dump &Attempt : Dump.Abandoned)
    Abandoned.emplace_back(abandonedObject(Attempt));
  return json::serialize(json::object{{"ready", Dump.Ready},
                                      {"shutting_down", Dump.ShuttingDown},
                                      {"counters", countersObject(Dump.Counters)},
                                      {"retry_budgets", std::move(RetryBudgets)},
                                      {"requests", std::move(Requests)},
                                      {"abandoned", std::move(Abandoned)}});
}

} // namespace pollenstall
