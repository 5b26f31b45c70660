/** @file fault.cpp Parses fault plans from JSON. */
#include "fake_backend/fault_type.h"

#include <boost/json.hpp>

#include <functional>
#include <map>

namespace pollenstall {

namespace {

using setter = std::function<bool(fault_plan &, const boost::json::value &)>;

setter countSetter(std::int64_t fault_plan::*Member) {
  return [Member](fault_plan &Plan, const boost::json::value &Value) {
    if (!Value.is_int64() || Value.get_int64() < 0)
      return false;
    Plan.*Member = Value.get_int64();
    return true;
  };
}

setter optionalCountSetter(std::optional<std::int64_t> fault_plan::*Member) {
  return [Member](fault_plan &Plan, const boost::json::value &Value) {
    if (Value.is_null()) {
      Plan.*Member = std::nullopt;
      return true;
    }
    if (!Value.is_int64() || Value.get_int64() < 0)
      return false;
    Plan.*Member = Value.get_int64();
    return true;
  };
}

bool setSlowFactor(fault_plan &Plan, const boost::json::value &Value) {
  if (!Value.is_number() || Value.to_number<double>() <= 0)
    return false;
  Plan.SlowFactor = Value.to_number<double>();
  return true;
}

bool setDieOnPrompt(fault_plan &Plan, const boost::json::value &Value) {
  if (!Value.is_string())
    return false;
  Plan.DieOnPrompt = Value.get_string().c_str();
  return true;
}

bool setRefuseConnections(fault_plan &Plan, const boost::json::value &Value) {
  if (!Value.is_bool())
    return false;
  Plan.RefuseConnections = Value.get_bool();
  return true;
}

const std::map<std::string_view, setter> &setters() {
  static const std::map<std::string_view, setter> Setters{
      {"die_after_events", optionalCountSetter(&fault_plan::DieAfterEvents)},
      {"die_on_prompt", setDieOnPrompt},
      {"cut_after_events", optionalCountSetter(&fault_plan::CutAfterEvents)},
      {"freeze_ms", countSetter(&fault_plan::FreezeMs)},
      {"slow_factor", setSlowFactor},
      {"refuse_connections", setRefuseConnections},
      {"late_ms", countSetter(&fault_plan::LateMs)},
      {"decline_next", countSetter(&fault_plan::DeclineNext)},
      {"pause_seconds", countSetter(&fault_plan::PauseSeconds)},
      {"error_next", countSetter(&fault_plan::ErrorNext)},
      {"wrong_attempt_next", countSetter(&fault_plan::WrongAttemptNext)},
      {"half_answer_next", countSetter(&fault_plan::HalfAnswerNext)},
      {"no_done_next", countSetter(&fault_plan::NoDoneNext)},
      {"drop_cancel_next", countSetter(&fault_plan::DropCancelNext)}};
  return Setters;
}

} // namespace

result<done, fault_error> applyFaults(fault_plan &Plan, std::string_view Json) {
  boost::json::error_code Error;
  const boost::json::value Value = boost::json::parse(Json, Error);
  if (Error || !Value.is_object())
    return fault_error{"faults must be a JSON object"};
  fault_plan Updated = Plan;
  for (const auto &[Key, Setting] : Value.get_object()) {
    const auto Found = setters().find(std::string_view(Key.data(), Key.size()));
    if (Found == setters().end())
      return fault_error{"unknown fault " + std::string(Key)};
    if (!Found->second(Updated, Setting))
      return fault_error{"invalid value of fault " + std::string(Key)};
  }
  Plan = Updated;
  return done{};
}

} // namespace pollenstall
