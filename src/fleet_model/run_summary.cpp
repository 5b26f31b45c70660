/** @file run_summary.cpp Counts, percentiles and the worth of requests. */
#include "fleet_model/run_summary_func.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace pollenstall {

namespace {

/// This fraction of a request's worth is fixed; the rest is proportional to its size relative to
/// the mean.
constexpr double FixedFraction = 0.3;
constexpr double MaxRelativeWorth = 4.0;
constexpr double LargestFraction = 0.1;

double worthOf(const request_kind &Kind, const request_record &Record) {
  const double Size = FixedFraction + (1 - FixedFraction) * Record.Prompt / Kind.Prompt.Mean;
  return std::min(Size, MaxRelativeWorth);
}

bool served(const request_record &Record) { return Record.EndedMs >= 0; }

bool onTime(const request_kind &Kind, const request_record &Record) {
  return served(Record) && Record.FirstEventMs <= Kind.TargetMs &&
         Record.LongestGapMs <= Kind.GapMs;
}

double percentile(const std::vector<double> &Sorted, double Quantile) {
  if (Sorted.empty())
    return 0;
  const auto Last = static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(std::lround(Last * Quantile))];
}

void countLargest(std::vector<request_record> Records, kind_summary &Summary) {
  std::sort(Records.begin(), Records.end(),
            [](const request_record &A, const request_record &B) { return A.Prompt > B.Prompt; });
  Summary.LargestCount =
      static_cast<std::size_t>(std::ceil(LargestFraction * static_cast<double>(Records.size())));
  for (std::size_t Rank = 0; Rank < Summary.LargestCount; ++Rank)
    Summary.LargestServed += served(Records[Rank]) ? 1 : 0;
}

struct worth_total {
  double Achieved{0};
  double Possible{0};
};

kind_summary summarise(const request_kind &Kind, const std::vector<request_record> &Records,
                       worth_total &Total) {
  kind_summary Summary;
  std::vector<double> Times;
  worth_total KindTotal;
  for (const request_record &Record : Records) {
    const bool IsOnTime = onTime(Kind, Record);
    ++Summary.Count;
    Summary.OnTime += IsOnTime ? 1 : 0;
    Summary.Late += served(Record) && !IsOnTime ? 1 : 0;
    Summary.Unserved += served(Record) ? 0 : 1;
    Summary.Refusals += Record.Refusals;
    const double Size = worthOf(Kind, Record);
    KindTotal.Possible += Size * Kind.Worth;
    KindTotal.Achieved += IsOnTime ? Size * Kind.Worth : served(Record) ? Size * Kind.LateWorth : 0;
    Times.push_back(Record.FirstEventMs >= 0 ? Record.FirstEventMs : Kind.TimeoutMs);
  }
  std::sort(Times.begin(), Times.end());
  Summary.P50Ms = percentile(Times, 0.50);
  Summary.P95Ms = percentile(Times, 0.95);
  Summary.P99Ms = percentile(Times, 0.99);
  Summary.Worth = KindTotal.Possible > 0 ? KindTotal.Achieved / KindTotal.Possible : 1;
  countLargest(Records, Summary);
  Total.Achieved += KindTotal.Achieved;
  Total.Possible += KindTotal.Possible;
  return Summary;
}

std::vector<request_record> ofKind(const std::vector<request_record> &Records, std::size_t Kind) {
  std::vector<request_record> Found;
  std::copy_if(Records.begin(), Records.end(), std::back_inserter(Found),
               [Kind](const request_record &Record) { return Record.Kind == Kind; });
  return Found;
}

/// Returns a quantile of each figure over the entries. @param Quantile 0.5 for the median, 1 for
/// the maximum.
report_traffic trafficAt(const std::vector<report_traffic> &Entries, double Quantile) {
  const auto QuantileOf = [&](double report_traffic::*Figure) {
    std::vector<double> Values;
    Values.reserve(Entries.size());
    for (const report_traffic &Entry : Entries)
      Values.push_back(Entry.*Figure);
    std::sort(Values.begin(), Values.end());
    return percentile(Values, Quantile);
  };
  return {QuantileOf(&report_traffic::SentDatagrams), QuantileOf(&report_traffic::SentBytes),
          QuantileOf(&report_traffic::ReceivedDatagrams),
          QuantileOf(&report_traffic::ReceivedBytes)};
}

void writeTraffic(std::ostream &Out, const char *Name, const report_traffic &Traffic) {
  Out << R"(,")" << Name << R"(":{"datagrams_sent":)" << Traffic.SentDatagrams
      << R"(,"bytes_sent":)" << Traffic.SentBytes << R"(,"datagrams_taken":)"
      << Traffic.ReceivedDatagrams << R"(,"bytes_taken":)" << Traffic.ReceivedBytes << '}';
}

} // namespace

run_summary simulateLoad(const model_load &Load, const named_model_policy &Policy,
                         std::uint64_t FirstSeed, std::size_t Runs) {
  std::vector<request_record> AllRecords;
  run_summary Summary;
  Summary.Policy = Policy.Name;
  for (std::size_t Index = 0; Index < Runs; ++Index) {
    fleet_run Run(Load, Policy, FirstSeed + Index);
    const std::vector<request_record> Records = Run.simulate();
    AllRecords.insert(AllRecords.end(), Records.begin(), Records.end());
    if (Index == 0) {
      Summary.MedianTraffic = trafficAt(Run.reportTraffic(), 0.5);
      Summary.MaxTraffic = trafficAt(Run.reportTraffic(), 1.0);
    }
    Summary.EngineTime.Prefill += Run.engineTime().Prefill / static_cast<double>(Runs);
    Summary.EngineTime.Decode += Run.engineTime().Decode / static_cast<double>(Runs);
  }
  worth_total Total;
  for (std::size_t Kind = 0; Kind < Load.Kinds.size(); ++Kind)
    Summary.Kinds.push_back(summarise(Load.Kinds[Kind], ofKind(AllRecords, Kind), Total));
  Summary.Worth = Total.Possible > 0 ? Total.Achieved / Total.Possible : 1;
  return Summary;
}

std::string toJson(const model_load &Load, const run_summary &Summary) {
  std::ostringstream Out;
  Out.precision(4);
  Out << R"({"load":")" << Load.Name << R"(","policy":")" << Summary.Policy << R"(","worth":)"
      << Summary.Worth << R"(,"engines_read":)" << Summary.EngineTime.Prefill
      << R"(,"engines_write":)" << Summary.EngineTime.Decode;
  writeTraffic(Out, "reports_a_second_median", Summary.MedianTraffic);
  writeTraffic(Out, "reports_a_second_most", Summary.MaxTraffic);
  Out << R"(,"kinds":[)";
  for (std::size_t Kind = 0; Kind < Summary.Kinds.size(); ++Kind) {
    const kind_summary &KindSummary = Summary.Kinds[Kind];
    Out << (Kind > 0 ? "," : "") << R"({"kind":")" << Load.Kinds[Kind].Name << R"(","count":)"
        << KindSummary.Count << R"(,"on_time":)" << KindSummary.OnTime << R"(,"late":)"
        << KindSummary.Late << R"(,"unserved":)" << KindSummary.Unserved << R"(,"refusals":)"
        << KindSummary.Refusals << R"(,"largest":)" << KindSummary.LargestCount
        << R"(,"largest_served":)" << KindSummary.LargestServed << R"(,"worth":)"
        << KindSummary.Worth << R"(,"p50_ms":)" << KindSummary.P50Ms << R"(,"p95_ms":)"
        << KindSummary.P95Ms << R"(,"p99_ms":)" << KindSummary.P99Ms << '}';
  }
  Out << "]}";
  return Out.str();
}

std::string plotRows(const model_load &Load, const std::vector<request_record> &Records) {
  std::ostringstream Out;
  for (std::size_t Kind = 0; Kind < Load.Kinds.size(); ++Kind) {
    std::vector<double> Times;
    const std::vector<request_record> KindRecords = ofKind(Records, Kind);
    for (const request_record &Record : KindRecords)
      if (Record.FirstEventMs >= 0)
        Times.push_back(Record.FirstEventMs);
    std::sort(Times.begin(), Times.end());
    for (std::size_t Rank = 0; Rank < Times.size(); ++Rank)
      Out << Load.Kinds[Kind].Name << '\t' << Times[Rank] << '\t'
          << static_cast<double>(Rank + 1) / static_cast<double>(KindRecords.size()) << '\n';
  }
  return Out.str();
}

} // namespace pollenstall
