/** @file learning_test.cpp Tests of learned engine speed, pending prefill, prefixes and tokens. */
#include "scheduling/scheduling.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const backend_key EngineA{backend_address("10.0.0.1:80"), incarnation(1)};
const backend_key EngineB{backend_address("10.0.0.2:80"), incarnation(1)};

TEST(CostModel, LearnsTheRateDespiteAnOutlier) {
  cost_model Model;
  for (int Sample = 0; Sample < 60; ++Sample)
    Model.observePrefill(20'000, 1s + std::chrono::milliseconds(30));
  EXPECT_NEAR(Model.prefillRate(), 20'000, 1'500);
  const double Before = Model.prefillRate();
  Model.observePrefill(20'000, 1h);
  EXPECT_GT(Model.prefillRate(), Before * 0.8);
}

RC_GTEST_PROP(CostModelProperty, StaysWithinItsBounds, ()) {
  cost_model Model;
  const auto Samples = *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint32_t>>>(
      rc::gen::arbitrary<std::pair<std::uint32_t, std::uint32_t>>());
  for (const auto &[Tokens, Micros] : Samples) {
    Model.observePrefill(Tokens, std::chrono::microseconds(Micros));
    Model.observeSteps(Tokens, std::chrono::microseconds(Micros));
    RC_ASSERT(Model.prefillRate() >= 49.9 && Model.prefillRate() <= 1'000'001.0);
    RC_ASSERT(Model.secondsPerStep() > 0.0004 && Model.secondsPerStep() < 5.1);
  }
}

TEST(PrefillTracker, CountsOwnWorkInAReportOnce) {
  const mono_time Now{1000s};
  prefill_tracker Tracker;
  Tracker.add(1, length_class::Medium, 10'000, false, Now);
  Tracker.applyReport(10'000, Now + 300ms);
  EXPECT_LE(Tracker.pendingTokens(Now + 300ms, 10'000), 10'000);
}

TEST(PrefillTracker, CountsLongWorkAheadOnlyIfShortWorkMayNotOvertake) {
  const mono_time Now{1000s};
  prefill_tracker Tracker;
  Tracker.add(1, length_class::Long, 200'000, false, Now);
  EXPECT_EQ(Tracker.tokensAhead(length_class::Short, true, Now, 10'000), 0);
  EXPECT_EQ(Tracker.tokensAhead(length_class::Short, false, Now, 10'000), 200'000);
}

TEST(PrefillTracker, CountsALargeReportAsALongPromptOfAnotherHost) {
  const mono_time Now{1000s};
  prefill_tracker Tracker;
  Tracker.applyReport(150'000, Now);
  EXPECT_EQ(Tracker.longPromptCount(Now, 10'000), 1U);
  EXPECT_EQ(Tracker.tokensAhead(length_class::Short, true, Now, 10'000), 0);
}

TEST(PrefixAffinity, FindsTheLongestKnownPrefixAndErasesEnginesAndOldHashes) {
  prefix_affinity Affinity(3);
  Affinity.record({1, 2}, EngineA);
  const auto Found = Affinity.find({1, 2, 8, 9});
  ASSERT_TRUE(Found.has_value());
  EXPECT_EQ(Found->Backend, EngineA);
  EXPECT_LE(Found->Share, 0.5);
  Affinity.record({5, 6, 7}, EngineB);
  EXPECT_EQ(Affinity.size(), 3U);
  EXPECT_FALSE(Affinity.find({1, 2}).has_value());
  Affinity.eraseBackend(EngineB);
  EXPECT_EQ(Affinity.size(), 0U);
}

TEST(ConcurrencyLimit, FallsIfAnswersAreTooSlowAndRisesIfReached) {
  concurrency_limit Limit;
  Limit.observeRequiredPace(0.1);
  Limit.observePace(0.2);
  const double InitialLimit = Limit.value();
  Limit.adjust(false);
  EXPECT_LT(Limit.value(), InitialLimit);
  for (int Sample = 0; Sample < 1'000; ++Sample)
    Limit.observePace(0.02);
  const double LowLimit = Limit.value();
  Limit.adjust(false);
  EXPECT_EQ(Limit.value(), LowLimit) << "not raised if the limit delayed no work";
  Limit.adjust(true);
  EXPECT_GT(Limit.value(), LowLimit);
}

TEST(LongPlacement, AlternatesDomainsInAnOrderIndependentOfTheInput) {
  std::vector<long_work_candidate> Candidates;
  Candidates.reserve(9);
  for (int Number = 0; Number < 9; ++Number)
    Candidates.push_back({{backend_address("e" + std::to_string(Number)), incarnation(1)},
                          failure_domain_name("d" + std::to_string(Number % 3))});
  const auto Order = longWorkOrder(Candidates);
  std::reverse(Candidates.begin(), Candidates.end());
  EXPECT_EQ(longWorkOrder(Candidates), Order);
  std::set<char> Domains;
  for (std::size_t Position = 0; Position < 3; ++Position)
    Domains.insert(static_cast<char>((Order[Position].Address.str()[1] - '0') % 3));
  EXPECT_EQ(Domains.size(), 3U);
}

TEST(LongPlacement, LimitsLongEnginesToTheDeclaredShare) {
  EXPECT_EQ(longEngineCount(18, 0.5, 0.9), 9U);
  EXPECT_EQ(longEngineCount(18, 0.5, 0.1), 3U);
  EXPECT_EQ(longEngineCount(2, 0.1, 0.0), 1U)
      << "at least one engine, otherwise long work never starts";
  EXPECT_EQ(longEngineCount(0, 0.5, 0.5), 0U);
}

TEST(TokenEstimator, LearnsEachModelAndLimitsHints) {
  token_estimator Estimator;
  const model_name Model("m");
  EXPECT_EQ(Estimator.estimate(Model, byte_count(4'000)), tokens(1'000));
  EXPECT_EQ(Estimator.estimate(Model, byte_count(4'000), tokens(1'200)), tokens(1'200));
  EXPECT_EQ(Estimator.estimate(Model, byte_count(4'000), tokens(10)), tokens(667));
  for (int Sample = 0; Sample < 100; ++Sample)
    Estimator.observe(Model, byte_count(40'000), tokens(20'000));
  EXPECT_NEAR(Estimator.bytesPerToken(Model), 2.0, 0.1);
  EXPECT_NEAR(Estimator.bytesPerToken(model_name("other")), 4.0, 1e-9);
}

} // namespace
} // namespace pollenstall
