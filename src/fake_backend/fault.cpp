/** @file fault.cpp Faults from JSON. */
#include "fake_backend/fault_type.h"

#include <boost/json.hpp>

#include <functional>
#include <map>

namespace pollenstall {

namespace {

using setter = std::function<bool(fault_plan &, const boost::json::value &)>;

setter count(std::int64_t fault_plan::*Member) {
  return [Member](fault_plan &Plan, const boost::json::value &Value) {
    if (!Value.is_int64() || Value.get_int64() < 0)
      return false;
    Plan.*Member = Value.get_int64();
    return true;
  };
}

setter optionalCount(std::optional<std::int64_t> fault_plan::*Member) {
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

bool setRefuse(fault_plan &Plan, const boost::json::value &Value) {
  if (!Value.is_bool())
    return false;
  Plan.RefuseConnections = Value.get_bool();
  return true;
}

const std::map<std::string_view, setter> &setters() {
  static const std::map<std::string_view, setter> Table{
      {"die_after_events", optionalCount(&fault_plan::DieAfterEvents)},
      {"die_on_prompt", setDieOnPrompt},
      {"cut_after_events", optionalCount(&fault_plan::CutAfterEvents)},
      {"freeze_ms", count(&fault_plan::FreezeMs)},
      {"slow_factor", setSlowFactor},
      {"refuse_connections", setRefuse},
      {"late_ms", count(&fault_plan::LateMs)},
      {"decline_next", count(&fault_plan::DeclineNext)},
      {"error_next", count(&fault_plan::ErrorNext)},
      {"wrong_attempt_next", count(&fault_plan::WrongAttemptNext)},
      {"half_answer_next", count(&fault_plan::HalfAnswerNext)},
      {"no_done_next", count(&fault_plan::NoDoneNext)},
      {"drop_cancel_next", count(&fault_plan::DropCancelNext)}};
  return Table;
}

} // namespace

result<done, fault_error> applyFaults(fault_plan &Plan, std::string_view Json) {
  boost::json::error_code Error;
  const boost::json::value Value = boost::json::parse(Json, Error);
  if (Error || !Value.is_object())
    return fault_error{"faults are a JSON object"};
  fault_plan Next = Plan;
  for (const auto &[Key, Setting] : Value.get_object()) {
    const auto Found = setters().find(std::string_view(Key.data(), Key.size()));
    if (Found == setters().end())
      return fault_error{"unknown fault " + std::string(Key)};
    if (!Found->second(Next, Setting))
      return fault_error{"not allowed for " + std::string(Key)};
  }
  Plan = Next;
  return done{};
}

} // namespace pollenstall
