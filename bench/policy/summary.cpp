/** @file summary.cpp Puts records of runs together. */
#include "summary_func.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace pollenstall::bench {
namespace {

constexpr std::array<const char *, LengthClassCount> ClassNames{"short", "medium", "long"};

double percentile(const std::vector<double> &Sorted, double Part) {
  if (Sorted.empty())
    return 0;
  const auto Last = static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(std::lround(Last * Part))];
}

class_summary summarise(const std::vector<sim_record> &Records, length_class Class) {
  class_summary Summary;
  std::vector<double> Times;
  for (const sim_record &Record : Records) {
    if (Record.Request.Class != Class || Record.Outcome == sim_outcome::TooLarge)
      continue;
    if (Record.Outcome != sim_outcome::Done)
      ++Summary.NotServed;
    Times.push_back(Record.FirstToken >= 0 ? Record.FirstToken : Record.Request.Allowed);
  }
  std::sort(Times.begin(), Times.end());
  Summary.Count = Times.size();
  Summary.P50 = percentile(Times, 0.50);
  Summary.P95 = percentile(Times, 0.95);
  Summary.P99 = percentile(Times, 0.99);
  Summary.Longest = Times.empty() ? 0 : Times.back();
  return Summary;
}

void count(run_summary &Summary, const sim_record &Record) {
  ++Summary.Counted;
  switch (Record.Outcome) {
  case sim_outcome::Refused:
    ++Summary.Refused;
    Summary.RefusedAfter += Record.Ended / Record.Request.Allowed;
    break;
  case sim_outcome::Expired:
    ++Summary.Expired;
    Summary.RefusedAfter += Record.Ended / Record.Request.Allowed;
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

std::array<double, Accounts> servedParts(const run_settings &Run,
                                         const std::vector<sim_record> &Records) {
  std::array<double, Accounts> Offered{};
  std::array<double, Accounts> Served{};
  for (const sim_record &Record : Records) {
    if (Record.Outcome == sim_outcome::TooLarge)
      continue;
    const sim_request &Request = Record.Request;
    const double Cost = engineSeconds(Run.Engine, Request.Prompt, Request.Answer);
    Offered[Request.Account] += Cost;
    if (Record.Outcome == sim_outcome::Done)
      Served[Request.Account] += Cost;
  }
  for (std::size_t Account = 0; Account < Accounts; ++Account)
    Served[Account] = Offered[Account] > 0 ? Served[Account] / Offered[Account] : 1.0;
  return Served;
}

} // namespace

run_summary runScenario(run_settings Run, const named_policy &Policy, std::size_t Seeds) {
  std::vector<sim_record> All;
  std::vector<sim_record> Completed;
  const std::uint64_t First = Run.Seed;
  for (std::size_t Index = 0; Index < Seeds; ++Index) {
    Run.Seed = First + Index;
    for (const sim_record &Record : simulation(Run, Policy).run()) {
      if (Record.Request.Arrived >= Run.WarmUp && Record.Request.Arrived < Run.CountUntil)
        All.push_back(Record);
      // By the time of completion: what is worked off after the last arrival is no throughput.
      const double End = Record.Request.Arrived + Record.Ended;
      if (Record.Outcome == sim_outcome::Done && End >= Run.WarmUp && End < Run.Seconds)
        Completed.push_back(Record);
    }
  }
  run_summary Summary;
  for (std::size_t Class = 0; Class < LengthClassCount; ++Class)
    Summary.Classes[Class] = summarise(All, static_cast<length_class>(Class));
  const double Seconds = (Run.Seconds - Run.WarmUp) * static_cast<double>(Seeds);
  for (const sim_record &Record : All)
    count(Summary, Record);
  Summary.AccountServed = servedParts(Run, All);
  for (const sim_record &Record : Completed) {
    const double Cost = engineSeconds(Run.Engine, Record.Request.Prompt, Record.Request.Answer) /
                        (Seconds * static_cast<double>(Run.Engines));
    Summary.Goodput += Cost;
    Summary.GoodRequests += 1.0 / Seconds;
  }
  const std::size_t Given = Summary.Refused + Summary.Expired;
  if (Given > 0)
    Summary.RefusedAfter /= static_cast<double>(Given);
  return Summary;
}

std::string jsonOf(const run_settings &Run, const std::string &Policy, const run_summary &Summary) {
  std::ostringstream Out;
  Out.precision(4);
  Out << "{\"scenario\":\"" << Run.Scenario << "\",\"policy\":\"" << Policy
      << "\",\"load\":" << Run.Load << ",\"requests\":" << Summary.Counted;
  for (std::size_t Class = 0; Class < LengthClassCount; ++Class) {
    const class_summary &Part = Summary.Classes[Class];
    Out << ",\"" << ClassNames[Class] << "\":{\"count\":" << Part.Count << ",\"p50\":" << Part.P50
        << ",\"p95\":" << Part.P95 << ",\"p99\":" << Part.P99 << ",\"longest\":" << Part.Longest
        << ",\"not_served\":" << Part.NotServed << '}';
  }
  Out << ",\"goodput\":" << Summary.Goodput << ",\"good_requests_per_s\":" << Summary.GoodRequests
      << ",\"refused\":" << Summary.Refused << ",\"expired\":" << Summary.Expired
      << ",\"timed_out\":" << Summary.TimedOut << ",\"failed\":" << Summary.Failed
      << ",\"too_large\":" << Summary.TooLarge << ",\"refused_after_part\":" << Summary.RefusedAfter
      << '}';
  return Out.str();
}

} // namespace pollenstall::bench
