/** @file carried_entries_test.cpp Callers of entries whose connections run through other entries,
 * while slots are scarce. */
#include "fleet_model/fleet_model.h"
#include "model_files.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// First tries of callers, and those with a complete answer.
struct first_tries {
  double Count{0};
  double Served{0};

  [[nodiscard]] double share() const { return Served / Count; }
};

/// First tries at entries that are carried and at the others.
struct compared_tries {
  first_tries Carried;
  first_tries Others;
};

/// A third of the entries are carried while eight times the usual short requests come, at 24
/// engines.
compared_tries playContended(std::size_t Entries, std::uint64_t Seed) {
  constexpr double Scale = 24.0 / 69.0;
  constexpr double CarriedShare = 0.3;
  // Mean time of a connection through a peer less that of a direct one, under such a load.
  constexpr double CarriedConnectMs = 18;
  model_load Load = loadOf("examples/contended.load.toml");
  Load.Tuning.OrderOverEntries = false;
  Load.Engines = 24;
  Load.Entries = Entries;
  Load.Seconds = 10;
  Load.Phases = {{"short", 2, 10, 8}};
  for (request_kind &Kind : Load.Kinds)
    Kind.PerSecond *= Scale;
  Load.Carried = {CarriedShare, CarriedConnectMs};
  fleet_run Run(Load, placementPolicy(), Seed);
  compared_tries Tries;
  for (const request_record &Record : Run.simulate()) {
    first_tries &Group = isCarried(Load, Record.FirstEntry) ? Tries.Carried : Tries.Others;
    ++Group.Count;
    Group.Served += !Record.Retried && Record.EndedMs >= 0 ? 1 : 0;
  }
  return Tries;
}

TEST(load_file, MayNameCarriedEntries) {
  const auto Parsed = parseModelLoad("name = \"x\"\nentries = 10\n[[kind]]\nname = \"a\"\n"
                                     "[carried]\nshare = 0.3\nconnect_ms = 18\n");
  ASSERT_TRUE(succeeded(Parsed));
  EXPECT_TRUE(isCarried(valueOf(Parsed), 2));
  EXPECT_FALSE(isCarried(valueOf(Parsed), 3));
  EXPECT_EQ(valueOf(Parsed).Carried.ConnectMs, 18);
}

struct carried_entries_test : testing::TestWithParam<std::size_t> {};

// All entries choose a slot that becomes free at about the same time. Carried requests reached the
// server last and waited there until their callers left.
TEST_P(carried_entries_test, ServeFirstTriesTwoThirdsAsOftenAsTheOthers) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    const compared_tries Tries = playContended(GetParam(), Seed);
    SCOPED_TRACE("seed " + std::to_string(Seed));
    EXPECT_GE(Tries.Carried.share(), Tries.Others.share() * 2 / 3);
    EXPECT_GE(Tries.Others.share(), Tries.Carried.share() * 2 / 3);
  }
}

INSTANTIATE_TEST_SUITE_P(Entries, carried_entries_test, testing::Values(3, 8, 59, 195),
                         testing::PrintToStringParamName());

} // namespace
} // namespace pollenstall
