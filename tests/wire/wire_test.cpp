/** @file wire_test.cpp Messages read back; forged and cut bytes do no harm. */
#include "wire/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <variant>

namespace pollenstall {
namespace {

struct first_message {
  backend_key Backend;
  std::vector<std::string> Names;
  std::map<std::string, std::uint32_t> Counts;

  template <typename Archive> void serialize(Archive &Into) { Into(Backend, Names, Counts); }
  bool operator==(const first_message &) const = default;
};

struct second_message {
  std::optional<tokens> Prompt;
  bool Streamed{false};
  std::vector<std::uint64_t> Hashes;

  template <typename Archive> void serialize(Archive &Into) { Into(Prompt, Streamed, Hashes); }
  bool operator==(const second_message &) const = default;
};

using sample_message = std::variant<first_message, second_message>;

constexpr std::size_t Limit = 1U << 20U;

sample_message firstSample() {
  return first_message{{backend_address("127.0.0.1:9"), incarnation(3)}, {"a", "bc"}, {{"x", 7}}};
}

result<sample_message, wire_error> decodeSample(std::string_view Bytes) {
  return decodeEnvelope<sample_message>("accra", message_kind::Gossip, Bytes, Limit);
}

struct envelope : testing::Test {
  std::string Bytes = encodeEnvelope("accra", message_kind::Gossip, firstSample());
};

TEST_F(envelope, ReadsBackWhatWasWritten) {
  const auto Decoded = decodeSample(Bytes);
  ASSERT_TRUE(succeeded(Decoded));
  EXPECT_EQ(valueOf(Decoded), firstSample());
}

TEST_F(envelope, OfAnotherFleetOrKindIsRefused) {
  EXPECT_EQ(errorOf(decodeEnvelope<sample_message>("tema", message_kind::Gossip, Bytes, Limit)),
            wire_error::OtherFleet);
  EXPECT_EQ(errorOf(decodeEnvelope<sample_message>("accra", message_kind::Consensus, Bytes, Limit)),
            wire_error::OtherKind);
}

TEST_F(envelope, OverTheLimitIsRefusedUnread) {
  EXPECT_EQ(errorOf(decodeEnvelope<sample_message>("accra", message_kind::Gossip, Bytes, 4)),
            wire_error::TooLarge);
}

TEST_F(envelope, CutAnywhereIsRefused) {
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    EXPECT_FALSE(succeeded(decodeSample(std::string_view(Bytes).substr(0, Length)))) << Length;
}

TEST_F(envelope, WithBytesLeftOverIsRefused) {
  EXPECT_EQ(errorOf(decodeSample(Bytes + "x")), wire_error::Malformed);
}

// A datagram claims to hold a list of 2^40 hashes. Believing the count would allocate terabytes, or
// end the process by std::bad_alloc; the receiver must refuse it from the size of the bytes alone.
TEST(ForgedCount, IsRefusedBeforeAnythingIsAllocated) {
  std::string Bytes;
  string_output_archive Archive(Bytes);
  Archive(std::uint64_t(1) << 40U);
  EXPECT_EQ(errorOf(decodePlain<std::vector<std::uint64_t>>(Bytes)), wire_error::Truncated);
  EXPECT_EQ(errorOf(decodePlain<std::string>(Bytes)), wire_error::Truncated);
}

RC_GTEST_PROP(AnyBytes, NeverBreakTheDecoder, (const std::string &Bytes)) {
  (void)decodeSample(Bytes);
  (void)decodePlain<sample_message>(Bytes);
}

RC_GTEST_PROP(FlippedBytes, NeverBreakTheDecoder, (std::uint8_t Flip, std::uint16_t Where)) {
  std::string Bytes = encodeEnvelope("accra", message_kind::Gossip, firstSample());
  Bytes[Where % Bytes.size()] = static_cast<char>(Flip);
  (void)decodeSample(Bytes);
}

struct frames : testing::Test {
  frame_reader Reader{16};
};

TEST_F(frames, ComeOutWholeHoweverTheyArrive) {
  const std::string Stream = frameOf("one") + frameOf("") + frameOf("three");
  std::vector<std::string> Seen;
  for (const char Byte : Stream) {
    Reader.append(std::string_view(&Byte, 1));
    const auto Next = Reader.next();
    ASSERT_TRUE(succeeded(Next));
    if (valueOf(Next))
      Seen.push_back(*valueOf(Next));
  }
  EXPECT_EQ(Seen, (std::vector<std::string>{"one", "", "three"}));
}

TEST_F(frames, OverTheLimitAreAnErrorBeforeTheirBytesArrive) {
  Reader.append(frameOf(std::string(17, 'x')).substr(0, 4));
  EXPECT_EQ(errorOf(Reader.next()), wire_error::TooLarge);
}

} // namespace
} // namespace pollenstall
