/** @file placer_queue_test.cpp Scarce slots: which entry's work takes them. */
#include "placer_fixture.h"

#include "fleet_queue/fleet_queue.h"

namespace pollenstall {
namespace {

/// All slots but a few are in use by other entries.
struct scarce_slots_test : placer_fixture {
  /// Fills all engines but the first, which keeps the given number of free slots.
  void fillEngines(std::uint32_t FreeSlots) {
    std::vector<work_load> Loads;
    for (std::size_t Index = 0; Index < Engines; ++Index) {
      work_load Load;
      Load.Incarnation = makeListing(Index).Key.Incarnation;
      Load.Requests = Load.DecodingRequests = figures().BatchSlots - (Index == 0 ? FreeSlots : 0);
      Load.GapMs = 250;
      Loads.push_back(Load);
    }
    setOthersLoads(Loads);
  }
};

/// Guards against an entry that ends because a declaration removes a service while its work waits.
TEST_F(scarce_slots_test, WorkOfARemovedServiceWaitsUntilItIsRefused) {
  fillEngines(0);
  submitRequest(5'000);
  EXPECT_TRUE(poll().empty());
  Placer.applyDeclaration(fleet_declaration());
  Now += 10ms;
  EXPECT_TRUE(poll().empty());
  Now += 10s;
  EXPECT_EQ(Placer.poll(Now).Expiries.size(), 1U);
}

/// Guards against slots that stay unused while work waits beyond its target, and against two
/// entries that take the last slot of an engine at once as long as no work waits.
TEST_F(scarce_slots_test, SpareSlotsAreTakenByWorkThatHasWaited) {
  fillEngines(2);
  submitRequest(5'000);
  EXPECT_TRUE(poll().empty());
  Now += 20ms;
  EXPECT_TRUE(poll().empty());
  Now += 10ms;
  const auto Placements = poll();
  ASSERT_EQ(Placements.size(), 1U);
  EXPECT_EQ(Placements[0].Backend, makeListing(0).Key);
}

} // namespace
} // namespace pollenstall
