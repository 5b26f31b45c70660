/** @file waiting_exchange_test.cpp Counts of waiting requests reach all entries and expire. */
#include "simulated_network.h"

#include "work_exchange/work_report_size_func.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// One request waits at each entry of a fleet; the parameter is the number of entries.
struct waiting_fleet_test : testing::TestWithParam<std::size_t> {
  waiting_fleet_test() : Network(GetParam(), 3) {
    Network.run(600ms);
    for (std::size_t Entry = 0; Entry < Network.size(); ++Entry)
      Network.setWaiting(Entry, 1);
    Network.run(400ms);
  }

  [[nodiscard]] double others() const { return static_cast<double>(Network.size() - 1); }

  simulated_network Network;
};

TEST_P(waiting_fleet_test, KnowsWhatWaitsAtAllOthers) {
  for (std::size_t Entry = 0; Entry < Network.size(); ++Entry)
    EXPECT_DOUBLE_EQ(Network.knownWaiting(Entry), others()) << Entry;
}

TEST_P(waiting_fleet_test, LearnsThatNothingWaitsAnyMore) {
  for (std::size_t Entry = 0; Entry < Network.size(); ++Entry)
    Network.setWaiting(Entry, 0);
  Network.run(400ms);
  for (std::size_t Entry = 0; Entry < Network.size(); ++Entry)
    EXPECT_DOUBLE_EQ(Network.knownWaiting(Entry), 0) << Entry;
}

/// Guards against requests of a dead or frozen entry that hold others back for good.
TEST_P(waiting_fleet_test, ForgetsWhatWaitedAtADeadEntry) {
  Network.stop(0);
  Network.run(2'500ms);
  for (std::size_t Entry = 1; Entry < Network.size(); ++Entry)
    EXPECT_LE(Network.knownWaiting(Entry), others() - 1) << Entry;
  Network.resume(0);
  Network.run(2'500ms);
  for (std::size_t Entry = 0; Entry < Network.size(); ++Entry)
    EXPECT_DOUBLE_EQ(Network.knownWaiting(Entry), others()) << Entry;
}

TEST_P(waiting_fleet_test, RecoversFromACutOfTheNetwork) {
  Network.Faults.LossRate = 1;
  Network.run(2'500ms);
  for (std::size_t Entry = 0; Entry < Network.size(); ++Entry)
    EXPECT_DOUBLE_EQ(Network.knownWaiting(Entry), 0) << Entry;
  Network.Faults.LossRate = 0;
  Network.run(2'500ms);
  for (std::size_t Entry = 0; Entry < Network.size(); ++Entry)
    EXPECT_DOUBLE_EQ(Network.knownWaiting(Entry), others()) << Entry;
}

INSTANTIATE_TEST_SUITE_P(Sizes, waiting_fleet_test, testing::Values(3, 9, 76, 320));

TEST(waiting_report, HasTheDeclaredSize) {
  work_report Report{{host_name("entry-1"), incarnation(1)}, 1, report_scope::Own, false, {}};
  Report.Waiting = {waiting_load{1, 0, {}}, waiting_load{2, 0, {}}};
  EXPECT_EQ(encodeWaitingReport("fleet", Report).size(), waitingReportSize("fleet", "entry-1", 2));
}

} // namespace
} // namespace pollenstall
