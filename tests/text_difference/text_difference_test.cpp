/** @file text_difference_test.cpp Any text out of any other one, and small steps for small changes.
 */
#include "text_difference/text_difference.h"

#include "core/core.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

constexpr std::size_t Most = 1U << 20U;

std::string routesText(int Version, int Routes, int Changed = -1) {
  std::string Text = "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
  for (int Number = 0; Number < Routes; ++Number)
    Text += std::string(Number > 0 ? "," : "") + "{\"name\":\"route-" + std::to_string(Number) +
            "\",\"timeout_ms\":" + (Number == Changed ? "9" : "10000") + "}";
  return Text + "]}";
}

TEST(ADifference, MakesTheNewTextOutOfTheOldOne) {
  const std::string Old = routesText(1, 50);
  const std::string New = routesText(2, 51, 20);
  const auto Made = applyDifference(Old, computeDifference(Old, New), Most);
  ASSERT_TRUE(Made);
  EXPECT_EQ(*Made, New);
}

TEST(ADifference, OfOneRouteIsSmall) {
  const std::string Old = routesText(1, 500);
  EXPECT_LT(estimateEncodedBytes(computeDifference(Old, routesText(2, 500, 250))), 300U);
  EXPECT_LT(estimateEncodedBytes(computeDifference(Old, routesText(2, 501))), 300U);
  EXPECT_LT(estimateEncodedBytes(computeDifference(Old, routesText(2, 499))), 300U);
}

TEST(ADifference, OfTextsInLinesIsSmallToo) {
  std::string Old;
  for (int Line = 0; Line < 300; ++Line)
    Old += "key_" + std::to_string(Line) + " = \"value\"\n";
  std::string New = Old;
  New.replace(New.find("key_150"), 7, "KEY_150");
  EXPECT_LT(estimateEncodedBytes(computeDifference(Old, New)), 150U);
}

// A host that restarted holds another text than the sender believes. Applied to it, the difference
// would make a declaration that nobody declared.
TEST(ADifference, IsRefusedByAnotherBase) {
  const std::string Old = routesText(1, 5);
  const text_difference Difference = computeDifference(Old, routesText(2, 5));
  EXPECT_FALSE(applyDifference(routesText(3, 5), Difference, Most));
  EXPECT_FALSE(applyDifference("", Difference, Most));
}

TEST(ADifference, ThatReachesBeyondTheBaseIsRefused) {
  const std::string Old = "{a}{b}";
  text_difference Difference = computeDifference(Old, "{b}{a}");
  for (difference_step &Step : Difference.Steps)
    Step.CopyBytes = 0xFFFFFFFF;
  EXPECT_FALSE(applyDifference(Old, Difference, Most));
}

TEST(ADifference, ThatMakesTooMuchIsRefused) {
  const std::string Old(1'000, 'x');
  EXPECT_FALSE(applyDifference(Old, computeDifference(Old, Old + Old), 1'500));
}

/// Texts of few letters, so that pieces repeat.
std::string drawText(random_source &Random) {
  constexpr std::string_view Letters = "ab{\n";
  std::string Text(Random.below(60), ' ');
  for (char &Letter : Text)
    Letter = Letters[Random.below(Letters.size())];
  return Text;
}

RC_GTEST_PROP(ADifferenceProperty, MakesAnyTextOutOfAnyOther, (std::uint64_t Seed)) {
  random_source Random(Seed);
  const std::string Old = drawText(Random);
  const std::string New = drawText(Random);
  const auto Made = applyDifference(Old, computeDifference(Old, New), Most);
  RC_ASSERT(Made.has_value());
  RC_ASSERT(*Made == New);
}

RC_GTEST_PROP(ADifferenceProperty, ThatWasChangedOnItsWayMakesNothingElse, (std::uint64_t Seed)) {
  random_source Random(Seed);
  const std::string Old = drawText(Random);
  const std::string New = drawText(Random);
  text_difference Difference = computeDifference(Old, New);
  if (Difference.Steps.empty())
    return;
  difference_step &Step = Difference.Steps[Random.below(Difference.Steps.size())];
  Step.CopyOffset += static_cast<std::uint32_t>(Random.below(3));
  Step.CopyBytes += static_cast<std::uint32_t>(Random.below(3));
  const auto Made = applyDifference(Old, Difference, Most);
  RC_ASSERT(!Made || *Made == New);
}

} // namespace
} // namespace pollenstall
