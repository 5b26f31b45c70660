/** @file evacuation_fleet_test.cpp Times of evacuations in simulated fleets with a link's rate. */
#include "simulated_fleet.h"

#include <gtest/gtest.h>

#include <iostream>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The settings of the second deployment: leases of 3.5 s, a bound of 5 s.
class EvacuationFleetTest : public testing::TestWithParam<std::size_t> {
protected:
  EvacuationFleetTest() : Fleet(options()) {
    Fleet.change(declarationOfRoutes(20));
    Fleet.runFor(seconds(6));
  }

  static simulated_fleet_options options() {
    simulated_fleet_options Options;
    Options.Entries = GetParam();
    Options.Leases.Lease = milliseconds(3'500);
    return Options;
  }

  /// @return Milliseconds from the command to its acknowledgement; a minute if there is none.
  std::int64_t acknowledgedAfter(std::uint64_t Version) {
    const evacuation_times &Times = Fleet.evacuation(Version);
    const mono_duration Took =
        Times.Acknowledged.value_or(Times.Sent + std::chrono::minutes(1)) - Times.Sent;
    const std::int64_t Millis = std::chrono::duration_cast<milliseconds>(Took).count();
    std::cout << GetParam() << " entries: acknowledged after " << Millis << " ms\n";
    return Millis;
  }

  simulated_fleet Fleet;
};

INSTANTIATE_TEST_SUITE_P(Entries, EvacuationFleetTest, testing::Values(3, 76, 320),
                         [](const auto &Info) { return std::to_string(Info.param); });

// Each second beyond the first costs the operator.
TEST_P(EvacuationFleetTest, IsAcknowledgedWithinASecondInCalm) {
  for (const bool Undo : {false, true}) {
    const std::uint64_t Version = Fleet.setEvacuation("zone-a", Undo);
    Fleet.runFor(seconds(1));
    EXPECT_LE(acknowledgedAfter(Version), 1'000);
    EXPECT_EQ(Fleet.entriesBehind(Version), 0U);
  }
  Fleet.runFor(seconds(10));
  EXPECT_EQ(Fleet.staleEvacuationSamples(), 0U);
  EXPECT_EQ(Fleet.lostConnections(), 0U);
}

// An entry that is cut off keeps its lease for at most 3.5 s, so the acknowledgement need not wait.
TEST_P(EvacuationFleetTest, CutOffEntryActsOnTheOlderListNoLongerThanPromised) {
  Fleet.partition(0);
  const std::uint64_t Version = Fleet.setEvacuation("zone-a");
  Fleet.runFor(seconds(1));
  EXPECT_LE(acknowledgedAfter(Version), 1'000);
  EXPECT_EQ(Fleet.entriesBehind(Version), 1U) << "it still has its lease";
  Fleet.runFor(seconds(15));
  EXPECT_EQ(Fleet.entriesBehind(Version), 0U);
  EXPECT_EQ(Fleet.staleEvacuationSamples(), 0U);
}

// The longest list: 256 domains with names of 255 bytes go to every entry for each change.
TEST_P(EvacuationFleetTest, LongestListDelaysNoHeartbeatForAnElection) {
  for (std::size_t Count = 0; Count < control_limits{}.MaxEvacuations; ++Count) {
    const std::string Number = std::to_string(Count);
    Fleet.setEvacuation(std::string(MaxDomainNameBytes - Number.size(), 'z') + Number);
    Fleet.runFor(milliseconds(200));
  }
  Fleet.runFor(seconds(10));
  EXPECT_EQ(Fleet.entriesBehind(control_limits{}.MaxEvacuations), 0U);
  EXPECT_LT(Fleet.longestHeartbeatGap(), milliseconds(300));
  std::cout << GetParam() << " entries: longest gap between heartbeats "
            << std::chrono::duration_cast<milliseconds>(Fleet.longestHeartbeatGap()).count()
            << " ms\n";
  EXPECT_EQ(Fleet.lostConnections(), 0U);
}

} // namespace
} // namespace pollenstall
