/** @file pollenstallctl.cpp The operators' tool: runs one verb and prints its result. */
#include "ctl_options_func.h"
#include "table/verbs.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iostream>

namespace {

using namespace pollenstall;

std::string_view exitCodeText(ctl_exit Exit) {
  switch (Exit) {
  case ctl_exit::Ok:
    return "ok";
  case ctl_exit::Refused:
    return "refused";
  case ctl_exit::BadUsage:
    return "bad_usage";
  case ctl_exit::Conflict:
    return "conflict";
  case ctl_exit::UnknownOutcome:
    return "unknown_outcome";
  case ctl_exit::NotReachable:
    return "not_reachable";
  case ctl_exit::NotInForce:
    return "not_in_force";
  }
  return {};
}

ctl_exit print(const verb_output &Output, bool Json) {
  std::cout << (Json ? boost::json::serialize(Output.Json) + "\n" : Output.Text);
  return ctl_exit::Ok;
}

ctl_exit print(const verb_failure &Failure, bool Json) {
  const boost::json::object Error{{"code", exitCodeText(Failure.Exit)},
                                  {"message", Failure.Message},
                                  {"details", Failure.Details}};
  if (Json)
    std::cout << boost::json::serialize(boost::json::object{{"error", Error}}) << "\n";
  else
    std::cerr << "pollenstallctl: " << Failure.Message
              << (Failure.Message.ends_with('\n') ? "" : "\n");
  return Failure.Exit;
}

} // namespace

int main(int Count, const char **Values) {
  const auto Options = readCtlOptions(Count, Values);
  if (!succeeded(Options))
    return static_cast<int>(errorOf(Options));
  const auto Verb = std::find_if(Verbs.begin(), Verbs.end(), [&Options](const verb_row &Row) {
    return valueOf(Options).Verb == Row.Name;
  });
  const verb_result Result = Verb->Run(valueOf(Options));
  const auto Print = [&Options](const auto &Outcome) {
    return print(Outcome, valueOf(Options).Json);
  };
  return static_cast<int>(std::visit(Print, Result));
}
