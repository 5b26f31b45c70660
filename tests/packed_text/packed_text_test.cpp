/** @file packed_text_test.cpp Tests that unpack() returns the packed text or rejects the data. */
#include "core/core.h"
#include "packed_text/packed_text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

constexpr std::size_t MaxBytes = 1U << 20U;

std::string routes(int Count) {
  std::string Text;
  for (int Number = 0; Number < Count; ++Number)
    Text += R"({"name":"r-)" + std::to_string(Number * 7919) + R"(","kind":"streaming"},)";
  return Text;
}

RC_GTEST_PROP(PackedText, RoundTrips, (const std::string &Text)) {
  RC_ASSERT(unpack(pack(Text), MaxBytes) == Text);
}

TEST(PackedTextSize, IsSmallForRepetitiveText) {
  const std::string Text = routes(1000);
  EXPECT_LT(pack(Text).Compressed.size(), Text.size() / 4);
  EXPECT_EQ(unpack(pack(Text), MaxBytes), Text);
}

// A forged message of a few bytes must not make the receiver allocate gigabytes.
TEST(PackedTextSize, IsRejectedOverTheLimit) {
  packed_text Packed = pack(routes(1000));
  EXPECT_FALSE(unpack(Packed, Packed.UncompressedSize - 1));
  Packed.UncompressedSize = 0xFFFFFFFFU;
  EXPECT_FALSE(unpack(Packed, MaxBytes));
}

TEST(PackedTextSize, MustMatchTheText) {
  packed_text Packed = pack("text");
  ++Packed.UncompressedSize;
  EXPECT_FALSE(unpack(Packed, MaxBytes));
  Packed.UncompressedSize -= 2;
  EXPECT_FALSE(unpack(Packed, MaxBytes));
}

TEST(PackedTextBytes, AreRejectedWhenTruncated) {
  const packed_text Complete = pack(routes(20));
  for (std::size_t Length = 0; Length < Complete.Compressed.size(); ++Length)
    EXPECT_FALSE(
        unpack({Complete.UncompressedSize, Complete.Compressed.substr(0, Length)}, MaxBytes));
}

RC_GTEST_PROP(PackedTextBytes, NeverUnpackToAnotherText, (std::uint64_t Seed)) {
  random_source Random(Seed);
  const std::string Text = routes(20);
  packed_text Packed = pack(Text);
  Packed.Compressed[Random.below(Packed.Compressed.size())] = static_cast<char>(Random());
  const auto Unpacked = unpack(Packed, MaxBytes);
  RC_ASSERT(!Unpacked || *Unpacked == Text);
}

} // namespace
} // namespace pollenstall
