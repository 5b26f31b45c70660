/** @file load_process_test.cpp Runs pollenstall-load against the fake backend and its injected
 * faults. */
#include "support/test_support.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

class load_process : public testing::Test {
protected:
  backend_process Backend{R"(models = ["m"]
answer_tokens = 4
[step]
base_us = 500
per_prefill_token_us = 0.1
)"};

  /// Runs the tool and expects its exit code. @return The metrics that it reported.
  boost::json::object run(std::vector<std::string> ExtraArguments, int ExpectedExit = 0) {
    std::vector<std::string> Arguments{"--target", Backend.address(), "--model", "m"};
    Arguments.insert(Arguments.end(), ExtraArguments.begin(), ExtraArguments.end());
    child_process Load("pollenstall-load", Arguments);
    EXPECT_EQ(Load.wait(), ExpectedExit);
    EXPECT_TRUE(eventually([&Load] { return Load.output().ends_with("\n"); }));
    return boost::json::parse(Load.output()).at("metrics").as_object();
  }
};

TEST_F(load_process, CountsCompleteAnswers) {
  const auto Metrics = run({"--rate", "500", "--count", "60", "--mix", "short:50:3", "--mix",
                            "long:5000:1", "--stream-percent", "50", "--threads", "2"});
  EXPECT_EQ(Metrics.at("outcome.complete").as_int64(), 60);
  EXPECT_EQ(Metrics.at("short.requests").as_int64() + Metrics.at("long.requests").as_int64(), 60);
  EXPECT_GT(Metrics.at("long.requests").as_int64(), 0);
  EXPECT_EQ(Backend.stat("starts"), 60);
}

TEST_F(load_process, CountsEachFault) {
  ASSERT_TRUE(Backend.faults(R"({"cut_after_events":2,"decline_next":1,"error_next":1})"));
  const auto Metrics = run({"--count", "10", "--concurrency", "1"});
  EXPECT_EQ(Metrics.at("outcome.cut").as_int64(), 1);
  EXPECT_EQ(Metrics.at("outcome.not_run").as_int64(), 1);
  EXPECT_EQ(Metrics.at("outcome.unknown").as_int64(), 1);
  EXPECT_EQ(Metrics.at("outcome.complete").as_int64(), 7);
}

TEST_F(load_process, FailsItsBoundAfterATimeout) {
  ASSERT_TRUE(Backend.faults(R"({"late_ms":60000})"));
  const auto Metrics =
      run({"--count", "1", "--timeout-ms", "50", "--bound", "outcome.complete>=1"}, 1);
  EXPECT_EQ(Metrics.at("outcome.timed_out").as_int64(), 1);
}

TEST(load_tool, RefusesInvalidSettings) {
  child_process Load("pollenstall-load", {"--target", "nowhere", "--model", "m"});
  EXPECT_EQ(Load.wait(), 2);
  EXPECT_TRUE(eventually([&Load] { return !Load.errorLines().empty(); }));
  EXPECT_NE(Load.errorLines().front().find("targets"), std::string::npos);
}

} // namespace
} // namespace pollenstall
