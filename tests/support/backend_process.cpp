/** @file backend_process.cpp Starts the fake backend server and reads its counters. */
#include "core/core.h"
#include "support/backend_process_base.h"

namespace pollenstall {

namespace {

std::int64_t numberIn(const boost::json::object &Object, const std::string &Name,
                      std::int64_t Absent) {
  const boost::json::value *Value = Object.if_contains(Name);
  return Value && Value->is_number() ? Value->to_number<std::int64_t>() : Absent;
}

} // namespace

backend_process::backend_process(const std::string &Toml)
    : Child(child_process::withSettings("pollenstall-fake-backend", Toml)) {
  const auto Listening = Child->waitForEvent("listening");
  requireInvariant(Listening.has_value(), "the fake backend server starts", [this] {
    std::string Text;
    for (const std::string &Line : Child->errorLines())
      Text += Line + "\n";
    return Text;
  });
  Address = std::string(Listening->at("address").as_string());
}

boost::json::object backend_process::stats() const {
  const boost::json::value Value = client().get("/stats").json();
  return Value.is_object() ? Value.get_object() : boost::json::object();
}

std::int64_t backend_process::stat(const std::string &Name) const {
  return numberIn(stats(), Name, -1);
}

std::int64_t backend_process::startsByKey(const std::string &Key) const {
  const boost::json::object Stats = stats();
  const boost::json::value *Counts = Stats.if_contains("starts_by_key");
  return Counts && Counts->is_object() ? numberIn(Counts->get_object(), Key, 0) : 0;
}

bool backend_process::faults(const std::string &Json) const {
  return client().post("/faults", Json).ok();
}

} // namespace pollenstall
