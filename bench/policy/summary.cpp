/** @file summary.cpp Summarizes the records of runs. */
#include "summary_func.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace pollenstall::bench {
namespace {

constexpr std::array<const char *, LengthClassCount> ClassNames{"short", "medium", "long"};

double percentile(const std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  const auto Last = static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(std::lround(Last * Fraction))];
}

class_summary summarizeClass(const std::vector<sim_record> &Records, length_class Class) {
  class_summary Summary;
  std::vector<double> Times;
  for (const sim_record &Record : Records) {
    if (Record.Request.Class != Class || Record.Outcome == sim_outcome::TooLarge)
      continue;
    if (Record.Outcome != sim_outcome::Done)
      ++Summary.NotServed;
    Times.push_back(Record.FirstToken >= 0 ? Record.FirstToken : Record.Request.TimeLimitSeconds);
  }
  std::sort(Times.begin(), Times.end());
  Summary.Count = Times.size();
  Summary.P50 = percentile(Times, 0.50);
  Summary.P95 = percentile(Times, 0.95);
  Summary.P99 = percentile(Times, 0.99);
  Summary.Maximum = Times.empty() ? 0 : Times.back();
  return Summary;
}

void countOutcome(run_summary &Summary, const sim_record &Record) {
  ++Summary.Counted;
  switch (Record.Outcome) {
  case sim_outcome::Refused:
    ++Summary.Refused;
    Summary.RefusedAfterFraction += Record.Ended / Record.Request.TimeLimitSeconds;
    break;
  case sim_outcome::Expired:
    ++Summary.Expired;
    Summary.RefusedAfterFraction += Record.Ended / Record.Request.TimeLimitSeconds;
    break;
  case sim_outcome::TimedOut:
    ++Summary.TimedOut;
    break;
  case sim_outcome::Failed:
    ++Summary.Failed;
    break;
  case sim_outcome::TooLarge:
    ++Summary.TooLarge;
    break;
  case sim_outcome::Open:
  case sim_outcome::Done:
    break;
  }
}

std::array<double, AccountCount> servedFractions(const run_settings &Run,
                                                 const std::vector<sim_record> &Records) {
  std::array<double, AccountCount> Offered{};
  std::array<double, AccountCount> Served{};
  for (const sim_record &Record : Records) {
    if (Record.Outcome == sim_outcome::TooLarge)
      continue;
    const sim_request &Request = Record.Request;
    const double Cost = engineSeconds(Run.Engine, Request.Prompt, Request.Answer);
    Offered[Request.Account] += Cost;
    if (Record.Outcome == sim_outcome::Done)
      Served[Request.Account] += Cost;
  }
  for (std::size_t Account = 0; Account < AccountCount; ++Account)
    Served[Account] = Offered[Account] > 0 ? Served[Account] / Offered[Account] : 1.0;
  return Served;
}

} // namespace

run_summary runScenario(run_settings Run, const routing_policy &Policy, std::size_t Seeds) {
  std::vector<sim_record> CountedRecords;
  std::vector<sim_record> Completed;
  const std::uint64_t FirstSeed = Run.Seed;
  for (std::size_t Index = 0; Index < Seeds; ++Index) {
    Run.Seed = FirstSeed + Index;
    for (const sim_record &Record : simulation(Run, Policy).run()) {
      if (Record.Request.Arrived >= Run.WarmUp && Record.Request.Arrived < Run.CountUntil)
        CountedRecords.push_back(Record);
      // Selects by completion time: work completed after the last arrival does not count as
      // throughput.
      const double End = Record.Request.Arrived + Record.Ended;
      if (Record.Outcome == sim_outcome::Done && End >= Run.WarmUp && End < Run.Seconds)
        Completed.push_back(Record);
    }
  }
  run_summary Summary;
  for (std::size_t Class = 0; Class < LengthClassCount; ++Class)
    Summary.Classes[Class] = summarizeClass(CountedRecords, static_cast<length_class>(Class));
  const double Seconds = (Run.Seconds - Run.WarmUp) * static_cast<double>(Seeds);
  for (const sim_record &Record : CountedRecords)
    countOutcome(Summary, Record);
  Summary.AccountServed = servedFractions(Run, CountedRecords);
  for (const sim_record &Record : Completed) {
    const double Cost = engineSeconds(Run.Engine, Record.Request.Prompt, Record.Request.Answer) /
                        (Seconds * static_cast<double>(Run.Engines));
    Summary.Goodput += Cost;
    Summary.GoodRequestRate += 1.0 / Seconds;
  }
  const std::size_t RefusedOrExpired = Summary.Refused + Summary.Expired;
  if (RefusedOrExpired > 0)
    Summary.RefusedAfterFraction /= static_cast<double>(RefusedOrExpired);
  return Summary;
}

std::string toJson(const run_settings &Run, const std::string &Policy, const run_summary &Summary) {
  std::ostringstream Out;
  Out.precision(4);
  Out << "{\"scenario\":\"" << Run.Scenario << "\",\"policy\":\"" << Policy
      << "\",\"load\":" << Run.Load << ",\"requests\":" << Summary.Counted;
  for (std::size_t Class = 0; Class < LengthClassCount; ++Class) {
    const class_summary &ClassResult = Summary.Classes[Class];
    Out << ",\"" << ClassNames[Class] << "\":{\"count\":" << ClassResult.Count
        << ",\"p50\":" << ClassResult.P50 << ",\"p95\":" << ClassResult.P95
        << ",\"p99\":" << ClassResult.P99 << ",\"longest\":" << ClassResult.Maximum
        << ",\"not_served\":" << ClassResult.NotServed << '}';
  }
  Out << ",\"goodput\":" << Summary.Goodput
      << ",\"good_requests_per_s\":" << Summary.GoodRequestRate
      << ",\"refused\":" << Summary.Refused << ",\"expired\":" << Summary.Expired
      << ",\"timed_out\":" << Summary.TimedOut << ",\"failed\":" << Summary.Failed
      << ",\"too_large\":" << Summary.TooLarge
      << ",\"refused_after_part\":" << Summary.RefusedAfterFraction << '}';
  return Out.str();
}

} // namespace pollenstall::bench
