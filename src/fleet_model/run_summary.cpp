/** @file run_summary.cpp Percentiles, worth and what was not served. */
#include "fleet_model/run_summary_func.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace pollenstall {

namespace {

/// A request is worth this part whatever its size, and the rest by its size against the mean.
constexpr double FixedWorth = 0.3;
constexpr double MostWorth = 4.0;
constexpr double LargestPart = 0.1;

double worthOf(const request_kind &Kind, const request_record &Record) {
  const double Size = FixedWorth + (1 - FixedWorth) * Record.Prompt / Kind.Prompt.Mean;
  return std::min(Size, MostWorth);
}

bool served(const request_record &Record) { return Record.EndedMs >= 0; }

bool onTime(const request_kind &Kind, const request_record &Record) {
  return served(Record) && Record.FirstEventMs <= Kind.TargetMs &&
         Record.LongestGapMs <= Kind.GapMs;
}

double percentile(const std::vector<double> &Sorted, double Part) {
  if (Sorted.empty())
    return 0;
  const auto Last = static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(std::lround(Last * Part))];
}

void countLargest(std::vector<request_record> Records, kind_summary &Summary) {
  std::sort(Records.begin(), Records.end(),
            [](const request_record &A, const request_record &B) { return A.Prompt > B.Prompt; });
  Summary.LargestCount =
      static_cast<std::size_t>(std::ceil(LargestPart * static_cast<double>(Records.size())));
  for (std::size_t Place = 0; Place < Summary.LargestCount; ++Place)
    Summary.LargestServed += served(Records[Place]) ? 1 : 0;
}

struct earned_worth {
  double Earned{0};
  double Owed{0};
};

kind_summary summarise(const request_kind &Kind, const std::vector<request_record> &Records,
                       earned_worth &Total) {
  kind_summary Summary;
  std::vector<double> Times;
  earned_worth Own;
  for (const request_record &Record : Records) {
    const bool Good = onTime(Kind, Record);
    ++Summary.Count;
    Summary.OnTime += Good ? 1 : 0;
    Summary.Late += served(Record) && !Good ? 1 : 0;
    Summary.Unserved += served(Record) ? 0 : 1;
    Summary.Refusals += Record.Refusals;
    const double Size = worthOf(Kind, Record);
    Own.Owed += Size * Kind.Worth;
    Own.Earned += Good ? Size * Kind.Worth : served(Record) ? Size * Kind.LateWorth : 0;
    Times.push_back(Record.FirstEventMs >= 0 ? Record.FirstEventMs : Kind.TimeoutMs);
  }
  std::sort(Times.begin(), Times.end());
  Summary.P50Ms = percentile(Times, 0.50);
  Summary.P95Ms = percentile(Times, 0.95);
  Summary.P99Ms = percentile(Times, 0.99);
  Summary.Worth = Own.Owed > 0 ? Own.Earned / Own.Owed : 1;
  countLargest(Records, Summary);
  Total.Earned += Own.Earned;
  Total.Owed += Own.Owed;
  return Summary;
}

std::vector<request_record> ofKind(const std::vector<request_record> &Records, std::size_t Kind) {
  std::vector<request_record> Found;
  std::copy_if(Records.begin(), Records.end(), std::back_inserter(Found),
               [Kind](const request_record &Record) { return Record.Kind == Kind; });
  return Found;
}

/// Puts the figures of all entries in order. @param Part 0.5: the middle one; 1: the largest.
report_traffic trafficAt(const std::vector<report_traffic> &Entries, double Part) {
  const auto At = [&](double report_traffic::*Figure) {
    std::vector<double> Values;
    Values.reserve(Entries.size());
    for (const report_traffic &Entry : Entries)
      Values.push_back(Entry.*Figure);
    std::sort(Values.begin(), Values.end());
    return percentile(Values, Part);
  };
  return {At(&report_traffic::SentDatagrams), At(&report_traffic::SentBytes),
          At(&report_traffic::TakenDatagrams), At(&report_traffic::TakenBytes)};
}

void writeTraffic(std::ostream &Out, const char *Name, const report_traffic &Traffic) {
  Out << R"(,")" << Name << R"(":{"datagrams_sent":)" << Traffic.SentDatagrams
      << R"(,"bytes_sent":)" << Traffic.SentBytes << R"(,"datagrams_taken":)"
      << Traffic.TakenDatagrams << R"(,"bytes_taken":)" << Traffic.TakenBytes << '}';
}

} // namespace

run_summary playLoad(const model_load &Load, const named_model_policy &Policy, std::uint64_t First,
                     std::size_t Seeds) {
  std::vector<request_record> All;
  run_summary Summary;
  Summary.Policy = Policy.Name;
  for (std::size_t Index = 0; Index < Seeds; ++Index) {
    fleet_run Run(Load, Policy, First + Index);
    const std::vector<request_record> Records = Run.play();
    All.insert(All.end(), Records.begin(), Records.end());
    if (Index == 0) {
      Summary.MedianTraffic = trafficAt(Run.reportTraffic(), 0.5);
      Summary.MostTraffic = trafficAt(Run.reportTraffic(), 1.0);
    }
    Summary.Spent.Read += Run.spent().Read / static_cast<double>(Seeds);
    Summary.Spent.Write += Run.spent().Write / static_cast<double>(Seeds);
  }
  earned_worth Total;
  for (std::size_t Kind = 0; Kind < Load.Kinds.size(); ++Kind)
    Summary.Kinds.push_back(summarise(Load.Kinds[Kind], ofKind(All, Kind), Total));
  Summary.Worth = Total.Owed > 0 ? Total.Earned / Total.Owed : 1;
  return Summary;
}

std::string toJson(const model_load &Load, const run_summary &Summary) {
  std::ostringstream Out;
  Out.precision(4);
  Out << R"({"load":")" << Load.Name << R"(","policy":")" << Summary.Policy << R"(","worth":)"
      << Summary.Worth << R"(,"engines_read":)" << Summary.Spent.Read << R"(,"engines_write":)"
      << Summary.Spent.Write;
  writeTraffic(Out, "reports_a_second_median", Summary.MedianTraffic);
  writeTraffic(Out, "reports_a_second_most", Summary.MostTraffic);
  Out << R"(,"kinds":[)";
  for (std::size_t Kind = 0; Kind < Summary.Kinds.size(); ++Kind) {
    const kind_summary &Part = Summary.Kinds[Kind];
    Out << (Kind > 0 ? "," : "") << R"({"kind":")" << Load.Kinds[Kind].Name << R"(","count":)"
        << Part.Count << R"(,"on_time":)" << Part.OnTime << R"(,"late":)" << Part.Late
        << R"(,"unserved":)" << Part.Unserved << R"(,"refusals":)" << Part.Refusals
        << R"(,"largest":)" << Part.LargestCount << R"(,"largest_served":)" << Part.LargestServed
        << R"(,"worth":)" << Part.Worth << R"(,"p50_ms":)" << Part.P50Ms << R"(,"p95_ms":)"
        << Part.P95Ms << R"(,"p99_ms":)" << Part.P99Ms << '}';
  }
  Out << "]}";
  return Out.str();
}

std::string plotRows(const model_load &Load, const std::vector<request_record> &Records) {
  std::ostringstream Out;
  for (std::size_t Kind = 0; Kind < Load.Kinds.size(); ++Kind) {
    std::vector<double> Times;
    const std::vector<request_record> Own = ofKind(Records, Kind);
    for (const request_record &Record : Own)
      if (Record.FirstEventMs >= 0)
        Times.push_back(Record.FirstEventMs);
    std::sort(Times.begin(), Times.end());
    for (std::size_t Place = 0; Place < Times.size(); ++Place)
      Out << Load.Kinds[Kind].Name << '\t' << Times[Place] << '\t'
          << static_cast<double>(Place + 1) / static_cast<double>(Own.size()) << '\n';
  }
  return Out.str();
}

} // namespace pollenstall
