/** @file fleet_run_test.cpp Load files, and whole runs of the model. */
#include "fleet_model/fleet_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace pollenstall {
namespace {

std::string fileText(const std::string &Path) {
  std::ifstream In(std::string(POLLENSTALL_SOURCE_DIR) + "/" + Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

model_load loadOf(const std::string &Path) {
  auto Parsed = parseModelLoad(fileText(Path));
  EXPECT_TRUE(succeeded(Parsed)) << Path;
  return succeeded(Parsed) ? valueOf(std::move(Parsed)) : model_load();
}

TEST(ALoadFile, OfTheExamplesIsValid) {
  for (const char *Path : {"examples/accra.load.toml", "examples/sognebrev.load.toml",
                           "examples/grown.load.toml", "examples/large.load.toml"})
    EXPECT_EQ(loadOf(Path).Kinds.size(), 3U);
}

TEST(ALoadFile, WithAnUnknownKeyIsRefusedByName) {
  const auto Parsed = parseModelLoad("name = \"x\"\nengins = 3\n[[kind]]\nname = \"a\"\n");
  ASSERT_FALSE(succeeded(Parsed));
  ASSERT_EQ(errorOf(Parsed).size(), 1U);
  EXPECT_EQ(errorOf(Parsed)[0].Key, "engins");
  EXPECT_EQ(errorOf(Parsed)[0].Line, 2);
}

TEST(ALoadFile, WhosePhaseNamesNoKindIsRefused) {
  const auto Parsed =
      parseModelLoad("name = \"x\"\n[[kind]]\nname = \"a\"\n[[phase]]\nkind = \"b\"\n");
  ASSERT_FALSE(succeeded(Parsed));
  EXPECT_EQ(errorOf(Parsed)[0].Key, "phase.kind");
}

TEST(ALoadFile, ThatIsNotTomlIsRefused) { EXPECT_FALSE(succeeded(parseModelLoad("name = "))); }

/// Two entries, six engines, ten seconds of short and long prompts.
model_load smallLoad() {
  model_load Load = loadOf("examples/accra.load.toml");
  Load.Seconds = 10;
  Load.Entries = 2;
  Load.Engines = 6;
  Load.Phases.clear();
  Load.Kinds[0].PerSecond = 10;
  Load.Kinds[1].PerSecond = 0.6;
  Load.Kinds[2].PerSecond = 0.3;
  return Load;
}

TEST(ARun, OfOneSeedIsTheSameEachTime) {
  const auto Once = fleet_run(smallLoad(), placementPolicy(), 5).play();
  const auto Again = fleet_run(smallLoad(), placementPolicy(), 5).play();
  ASSERT_EQ(Once.size(), Again.size());
  ASSERT_GT(Once.size(), 50U);
  for (std::size_t Index = 0; Index < Once.size(); ++Index) {
    EXPECT_EQ(Once[Index].FirstEventMs, Again[Index].FirstEventMs);
    EXPECT_EQ(Once[Index].EndedMs, Again[Index].EndedMs);
  }
}

TEST(ARun, BringsTheSameRequestsForEachPolicy) {
  const auto Own = fleet_run(smallLoad(), placementPolicy(), 5).play();
  const auto Other = fleet_run(smallLoad(), baselineModelPolicies()[0], 5).play();
  ASSERT_EQ(Own.size(), Other.size());
  for (std::size_t Index = 0; Index < Own.size(); ++Index) {
    EXPECT_EQ(Own[Index].ArrivedMs, Other[Index].ArrivedMs);
    EXPECT_EQ(Own[Index].Prompt, Other[Index].Prompt);
  }
}

// Half of the engines go for three seconds while streams are under way. Streams that break off go
// on elsewhere behind what their callers have; nobody waits for an engine that is gone.
TEST(ARun, GoesOnWhereEnginesAreLost) {
  model_load Load = smallLoad();
  Load.Losses.push_back({3, 3, 0.5});
  const auto Records = fleet_run(Load, placementPolicy(), 5).play();
  const auto Served =
      std::count_if(Records.begin(), Records.end(),
                    [](const request_record &Record) { return Record.EndedMs >= 0; });
  const auto Repeated =
      std::count_if(Records.begin(), Records.end(),
                    [](const request_record &Record) { return Record.Attempts > 1; });
  EXPECT_GT(Repeated, 0);
  EXPECT_GT(Served, static_cast<std::ptrdiff_t>(Records.size() * 9 / 10));
}

// Two of three entries die while streams are under way. Their callers come back to the third one
// and go on behind what they have; nobody is served twice or left out.
TEST(ARun, GoesOnWhereEntriesAreLost) {
  model_load Load = smallLoad();
  Load.Entries = 3;
  Load.EntryLosses.push_back({4, 1, 2});
  const auto Records = fleet_run(Load, placementPolicy(), 5).play();
  const auto Served =
      std::count_if(Records.begin(), Records.end(),
                    [](const request_record &Record) { return Record.EndedMs >= 0; });
  EXPECT_GT(Served, static_cast<std::ptrdiff_t>(Records.size() * 19 / 20));
}

// One engine, far too much for it. A caller leaves where no event came for half a second and comes
// back once: none is served an answer whose first event came later than two such waits and the time
// in between, which a refusal may make a second long.
TEST(ARun, LetsCallersLeaveThatHaveWaitedLongEnough) {
  model_load Load = smallLoad();
  Load.Engines = 1;
  for (request_kind &Kind : Load.Kinds)
    Kind.PatienceMs = 500;
  const auto Records = fleet_run(Load, placementPolicy(), 5).play();
  std::size_t Left = 0;
  for (const request_record &Record : Records) {
    Left += Record.FirstEventMs < 0 ? 1 : 0;
    EXPECT_LT(Record.FirstEventMs, 2 * 500 + 1'100);
  }
  EXPECT_GT(Left, 0U);
  EXPECT_LT(Left, Records.size());
}

TEST(ALoadFile, ThatLosesAllEntriesIsRefused) {
  const auto Parsed = parseModelLoad("name = \"x\"\nentries = 2\n[[kind]]\nname = \"a\"\n"
                                     "[[entry_loss]]\ncount = 2\n");
  ASSERT_FALSE(succeeded(Parsed));
  EXPECT_EQ(errorOf(Parsed)[0].Key, "entry_loss.count");
}

// The mix turns from long prompts to short ones and back. Placement by declared figures serves far
// more on time than a balancer that counts requests: a margin that a change must not lose.
TEST(Placement, ServesMoreOnTimeThanPlainBalancers) {
  const model_load Load = loadOf("examples/accra.load.toml");
  const run_summary Own = playLoad(Load, placementPolicy(), 1, 2);
  for (const named_model_policy &Policy : baselineModelPolicies())
    EXPECT_GT(Own.Worth, playLoad(Load, Policy, 1, 2).Worth + 0.2) << Policy.Name;
}

// 195 entries that know of each other's work only after a while, with a burst of short prompts. Two
// engines to choose from for all of them had 22 in 100 short prompts late. The aim is one in 20.
TEST(Placement, ServesShortWorkOnTimeWhereManyEntriesDecideAlone) {
  model_load Load = loadOf("examples/large.load.toml");
  Load.Seconds = 6;
  Load.Phases = {{"short", 3, 5, 1.5}};
  const kind_summary Short = playLoad(Load, placementPolicy(), 1, 1).Kinds[0];
  EXPECT_GT(Short.OnTime, Short.Count * 95 / 100) << "of " << Short.Count;
}

} // namespace
} // namespace pollenstall
