/** @file load_report.cpp Nearest-rank percentiles over complete answers. */
#include "load/load_report_base.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace pollenstall {

namespace {

constexpr std::array<int, 3> Percentiles{50, 95, 99};

double milliseconds(std::chrono::nanoseconds Duration) {
  return std::chrono::duration<double, std::milli>(Duration).count();
}

double seconds(std::chrono::nanoseconds Duration) {
  return std::chrono::duration<double>(Duration).count();
}

void addPercentiles(load_metrics &Metrics, const std::string &Prefix, std::vector<double> Values) {
  if (Values.empty())
    return;
  std::sort(Values.begin(), Values.end());
  for (const int Percent : Percentiles) {
    const double Rank = std::ceil(static_cast<double>(Values.size()) * Percent / 100.0);
    const auto Index = static_cast<std::size_t>(std::max(1.0, Rank)) - 1;
    Metrics[Prefix + "_p" + std::to_string(Percent) + "_ms"] = Values[Index];
  }
  Metrics[Prefix + "_max_ms"] = Values.back();
}

/// Returns a whole number as an integer, so that counts have no decimal point in the report.
boost::json::value jsonNumber(double Value) {
  constexpr double MaxExactInteger = 9007199254740992.0; // 2^53
  if (std::abs(Value) < MaxExactInteger && std::trunc(Value) == Value)
    return static_cast<std::int64_t>(Value);
  return Value;
}

} // namespace

void load_report::add(const load_report &Other) {
  Samples.insert(Samples.end(), Other.Samples.begin(), Other.Samples.end());
}

load_metrics load_report::metrics(std::chrono::nanoseconds Elapsed) const {
  load_metrics Metrics;
  std::vector<const load_sample *> All;
  std::vector<std::vector<const load_sample *>> ByClass(Classes.size());
  double Events = 0;
  double Complete = 0;
  for (std::size_t Index = 0; Index < LoadOutcomes; ++Index)
    Metrics[std::string("outcome.") + outcomeName(static_cast<load_outcome>(Index))] = 0;
  for (const load_sample &Sample : Samples) {
    All.push_back(&Sample);
    ByClass[Sample.Class].push_back(&Sample);
    Metrics[std::string("outcome.") + outcomeName(Sample.Outcome)] += 1;
    if (Sample.Status != 0)
      Metrics["status." + std::to_string(Sample.Status)] += 1;
    Events += static_cast<double>(Sample.Events);
    Complete += Sample.Outcome == load_outcome::Complete ? 1 : 0;
  }
  addClass(Metrics, "all", All);
  for (std::size_t Index = 0; Index < Classes.size(); ++Index)
    addClass(Metrics, Classes[Index], ByClass[Index]);
  Metrics["elapsed_s"] = seconds(Elapsed);
  Metrics["events"] = Events;
  if (Elapsed.count() > 0) {
    Metrics["events_per_s"] = Events / seconds(Elapsed);
    Metrics["complete_per_s"] = Complete / seconds(Elapsed);
  }
  return Metrics;
}

void load_report::addClass(load_metrics &Metrics, const std::string &Name,
                           const std::vector<const load_sample *> &ClassSamples) const {
  std::vector<double> FirstToken;
  std::vector<double> Total;
  for (const load_sample *Sample : ClassSamples) {
    if (Sample->Outcome != load_outcome::Complete)
      continue;
    Total.push_back(milliseconds(Sample->Total));
    if (Sample->FirstToken)
      FirstToken.push_back(milliseconds(*Sample->FirstToken));
  }
  Metrics[Name + ".requests"] = static_cast<double>(ClassSamples.size());
  Metrics[Name + ".complete"] = static_cast<double>(Total.size());
  if (!ClassSamples.empty())
    Metrics[Name + ".complete_share"] =
        static_cast<double>(Total.size()) / static_cast<double>(ClassSamples.size());
  addPercentiles(Metrics, Name + ".ttft", std::move(FirstToken));
  addPercentiles(Metrics, Name + ".total", std::move(Total));
}

std::string reportJson(const load_metrics &Metrics, const std::vector<std::string> &Bounds) {
  boost::json::object MetricsJson;
  for (const auto &[Name, Value] : Metrics)
    MetricsJson[Name] = jsonNumber(Value);
  boost::json::array BoundResults;
  for (const std::string &Text : Bounds) {
    const auto Bound = parseBound(Text);
    BoundResults.push_back(
        boost::json::object{{"bound", Text}, {"holds", Bound && boundHolds(*Bound, Metrics)}});
  }
  return boost::json::serialize(
      boost::json::object{{"metrics", MetricsJson}, {"bounds", BoundResults}});
}

} // namespace pollenstall
