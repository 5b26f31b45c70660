/** @file packed_text_test.cpp Texts come back as they were, and nothing else comes back. */
#include "core/core.h"
#include "packed_text/packed_text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

constexpr std::size_t Limit = 1U << 20U;

std::string routes(int Count) {
  std::string Text;
  for (int Number = 0; Number < Count; ++Number)
    Text += R"({"name":"r-)" + std::to_string(Number * 7919) + R"(","kind":"streaming"},)";
  return Text;
}

RC_GTEST_PROP(PackedText, ComesBackAsItWas, (const std::string &Text)) {
  RC_ASSERT(unpack(pack(Text), Limit) == Text);
}

TEST(PackedTextSize, IsSmallWhereWordsRepeat) {
  const std::string Text = routes(1000);
  EXPECT_LT(pack(Text).Compressed.size(), Text.size() / 4);
  EXPECT_EQ(unpack(pack(Text), Limit), Text);
}

// A forged message of a few bytes must not make its receiver allocate gigabytes.
TEST(PackedTextSize, IsRefusedOverTheLimit) {
  packed_text Packed = pack(routes(1000));
  EXPECT_FALSE(unpack(Packed, Packed.UncompressedSize - 1));
  Packed.UncompressedSize = 0xFFFFFFFFU;
  EXPECT_FALSE(unpack(Packed, Limit));
}

TEST(PackedTextSize, IsAsItSays) {
  packed_text Packed = pack("text");
  ++Packed.UncompressedSize;
  EXPECT_FALSE(unpack(Packed, Limit));
  Packed.UncompressedSize -= 2;
  EXPECT_FALSE(unpack(Packed, Limit));
}

TEST(PackedTextBytes, AreRefusedWhereverTheyAreCut) {
  const packed_text Whole = pack(routes(20));
  for (std::size_t Length = 0; Length < Whole.Compressed.size(); ++Length)
    EXPECT_FALSE(unpack({Whole.UncompressedSize, Whole.Compressed.substr(0, Length)}, Limit));
}

RC_GTEST_PROP(PackedTextBytes, NeverComeBackAsAnotherText, (std::uint64_t Seed)) {
  random_source Random(Seed);
  const std::string Text = routes(20);
  packed_text Packed = pack(Text);
  Packed.Compressed[Random.below(Packed.Compressed.size())] = static_cast<char>(Random());
  const auto Unpacked = unpack(Packed, Limit);
  RC_ASSERT(!Unpacked || *Unpacked == Text);
}

} // namespace
} // namespace pollenstall
