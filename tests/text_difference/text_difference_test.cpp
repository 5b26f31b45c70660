/** @file text_difference_test.cpp Tests that a difference rebuilds any new text and is small
 * for a small change. */
#include "text_difference/text_difference.h"

#include "core/core.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

constexpr std::size_t MaxBytes = 1U << 20U;

std::string routesText(int Version, int Routes, int Changed = -1) {
  std::string Text = "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
  for (int Number = 0; Number < Routes; ++Number)
    Text += std::string(Number > 0 ? "," : "") + "{\"name\":\"route-" + std::to_string(Number) +
            "\",\"timeout_ms\":" + (Number == Changed ? "9" : "10000") + "}";
  return Text + "]}";
}

TEST(TextDifference, RebuildsNewText) {
  const std::string Old = routesText(1, 50);
  const std::string New = routesText(2, 51, 20);
  const auto Rebuilt = applyDifference(Old, computeDifference(Old, New), MaxBytes);
  ASSERT_TRUE(Rebuilt);
  EXPECT_EQ(*Rebuilt, New);
}

TEST(TextDifference, IsSmallForOneChangedRoute) {
  const std::string Old = routesText(1, 500);
  EXPECT_LT(estimateEncodedBytes(computeDifference(Old, routesText(2, 500, 250))), 300U);
  EXPECT_LT(estimateEncodedBytes(computeDifference(Old, routesText(2, 501))), 300U);
  EXPECT_LT(estimateEncodedBytes(computeDifference(Old, routesText(2, 499))), 300U);
}

TEST(TextDifference, IsSmallForOneChangedLine) {
  std::string Old;
  for (int Line = 0; Line < 300; ++Line)
    Old += "key_" + std::to_string(Line) + " = \"value\"\n";
  std::string New = Old;
  New.replace(New.find("key_150"), 7, "KEY_150");
  EXPECT_LT(estimateEncodedBytes(computeDifference(Old, New)), 150U);
}

// A restarted host may hold a different text than its sender assumes. Applying the difference to it
// would build a declaration that nobody declared.
TEST(TextDifference, RejectsWrongBase) {
  const std::string Old = routesText(1, 5);
  const text_difference Difference = computeDifference(Old, routesText(2, 5));
  EXPECT_FALSE(applyDifference(routesText(3, 5), Difference, MaxBytes));
  EXPECT_FALSE(applyDifference("", Difference, MaxBytes));
}

TEST(TextDifference, RejectsCopyBeyondBase) {
  const std::string Old = "{a}{b}";
  text_difference Difference = computeDifference(Old, "{b}{a}");
  for (difference_step &Step : Difference.Steps)
    Step.CopyBytes = 0xFFFFFFFF;
  EXPECT_FALSE(applyDifference(Old, Difference, MaxBytes));
}

TEST(TextDifference, RejectsResultOverLimit) {
  const std::string Old(1'000, 'x');
  EXPECT_FALSE(applyDifference(Old, computeDifference(Old, Old + Old), 1'500));
}

/// Draws a text from a few characters, so that pieces repeat.
std::string drawText(random_source &Random) {
  constexpr std::string_view Letters = "ab{\n";
  std::string Text(Random.below(60), ' ');
  for (char &Letter : Text)
    Letter = Letters[Random.below(Letters.size())];
  return Text;
}

RC_GTEST_PROP(TextDifferenceProperty, RebuildsAnyText, (std::uint64_t Seed)) {
  random_source Random(Seed);
  const std::string Old = drawText(Random);
  const std::string New = drawText(Random);
  const auto Rebuilt = applyDifference(Old, computeDifference(Old, New), MaxBytes);
  RC_ASSERT(Rebuilt.has_value());
  RC_ASSERT(*Rebuilt == New);
}

RC_GTEST_PROP(TextDifferenceProperty, NeverRebuildsWrongTextWhenCorrupted, (std::uint64_t Seed)) {
  random_source Random(Seed);
  const std::string Old = drawText(Random);
  const std::string New = drawText(Random);
  text_difference Difference = computeDifference(Old, New);
  if (Difference.Steps.empty())
    return;
  difference_step &Step = Difference.Steps[Random.below(Difference.Steps.size())];
  Step.CopyOffset += static_cast<std::uint32_t>(Random.below(3));
  Step.CopyBytes += static_cast<std::uint32_t>(Random.below(3));
  const auto Rebuilt = applyDifference(Old, Difference, MaxBytes);
  RC_ASSERT(!Rebuilt || *Rebuilt == New);
}

} // namespace
} // namespace pollenstall
