/** @file load_report_test.cpp Tests percentiles, bounds and the parsing of the mix. */
#include "load/load.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

load_sample sampleOf(std::size_t Class, int Ms, load_outcome Outcome = load_outcome::Complete) {
  load_sample Sample;
  Sample.Class = Class;
  Sample.Outcome = Outcome;
  Sample.FirstToken = std::chrono::milliseconds(Ms);
  Sample.Total = std::chrono::milliseconds(2 * Ms);
  return Sample;
}

TEST(load_report_test, ComputesPercentilesByClass) {
  load_report Report({"short", "long"});
  for (int Ms = 1; Ms <= 100; ++Ms)
    Report.add(sampleOf(0, Ms));
  Report.add(sampleOf(1, 1000));
  Report.add(sampleOf(1, 9000, load_outcome::Cut));
  load_metrics Metrics = Report.metrics(std::chrono::seconds(2));
  EXPECT_EQ(Metrics["short.ttft_p50_ms"], 50);
  EXPECT_EQ(Metrics["short.ttft_p99_ms"], 99);
  EXPECT_EQ(Metrics["short.total_max_ms"], 200);
  EXPECT_EQ(Metrics["long.ttft_p99_ms"], 1000) << "a cut answer does not count";
  EXPECT_EQ(Metrics["long.complete_share"], 0.5);
  EXPECT_EQ(Metrics["outcome.cut"], 1);
  EXPECT_EQ(Metrics["complete_per_s"], 50.5);
}

TEST(load_bound_test, HoldsOnlyForAMeasuredMetric) {
  const load_metrics Metrics{{"short.ttft_p99_ms", 50.5}};
  EXPECT_TRUE(boundHolds(*parseBound("short.ttft_p99_ms<=50.5"), Metrics));
  EXPECT_FALSE(boundHolds(*parseBound("short.ttft_p99_ms<=50"), Metrics));
  EXPECT_TRUE(boundHolds(*parseBound("short.ttft_p99_ms>=50"), Metrics));
  EXPECT_FALSE(boundHolds(*parseBound("long.ttft_p99_ms<=50"), Metrics));
  for (const char *Text : {"", "x", "x<5", "x<=", "x<=5y", "<=5"})
    EXPECT_FALSE(parseBound(Text)) << Text;
}

TEST(length_mix, HasNameTokensAndWeight) {
  const auto Class = parseLengthClass("long:200000:0.25");
  ASSERT_TRUE(Class);
  EXPECT_EQ(Class->Name, "long");
  EXPECT_EQ(Class->PromptTokens, 200'000);
  EXPECT_EQ(Class->Weight, 0.25);
  for (const char *Text : {"long", "long:1", "long:0:1", "long:1:x", ":1:1"})
    EXPECT_FALSE(parseLengthClass(Text)) << Text;
}

} // namespace
} // namespace pollenstall
