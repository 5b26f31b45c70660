/** @file wire_test.cpp Tests round trips of messages and the rejection of forged or truncated
 * bytes. */
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

struct envelope_codec : testing::Test {
  std::string Bytes = encodeEnvelope("accra", message_kind::Gossip, firstSample());
};

TEST_F(envelope_codec, ReadsBackWhatWasWritten) {
  const auto Decoded = decodeSample(Bytes);
  ASSERT_TRUE(succeeded(Decoded));
  EXPECT_EQ(valueOf(Decoded), firstSample());
}

TEST_F(envelope_codec, RejectsAnotherFleetOrKind) {
  EXPECT_EQ(errorOf(decodeEnvelope<sample_message>("tema", message_kind::Gossip, Bytes, Limit)),
            wire_error::OtherFleet);
  EXPECT_EQ(errorOf(decodeEnvelope<sample_message>("accra", message_kind::Consensus, Bytes, Limit)),
            wire_error::OtherKind);
}

TEST_F(envelope_codec, RejectsBytesOverTheLimitWithoutDecoding) {
  EXPECT_EQ(errorOf(decodeEnvelope<sample_message>("accra", message_kind::Gossip, Bytes, 4)),
            wire_error::TooLarge);
}

TEST_F(envelope_codec, RejectsTruncationAtEveryByte) {
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    EXPECT_FALSE(succeeded(decodeSample(std::string_view(Bytes).substr(0, Length)))) << Length;
}

TEST_F(envelope_codec, RejectsTrailingBytes) {
  EXPECT_EQ(errorOf(decodeSample(Bytes + "x")), wire_error::Malformed);
}

// A datagram claims to contain a list of 2^40 hashes. If the decoder trusted the count, it would
// allocate terabytes or end the process by std::bad_alloc. It must reject the count by the size of
// the bytes alone.
TEST(ForgedCount, IsRejectedBeforeAnyAllocation) {
  std::string Bytes;
  string_output_archive Archive(Bytes);
  Archive(std::uint64_t(1) << 40U);
  EXPECT_EQ(errorOf(decodePlain<std::vector<std::uint64_t>>(Bytes)), wire_error::Truncated);
  EXPECT_EQ(errorOf(decodePlain<std::string>(Bytes)), wire_error::Truncated);
}

RC_GTEST_PROP(AnyBytes, DecodeWithoutFailure, (const std::string &Bytes)) {
  (void)decodeSample(Bytes);
  (void)decodePlain<sample_message>(Bytes);
}

RC_GTEST_PROP(FlippedBytes, DecodeWithoutFailure, (std::uint8_t NewByte, std::uint16_t Position)) {
  std::string Bytes = encodeEnvelope("accra", message_kind::Gossip, firstSample());
  Bytes[Position % Bytes.size()] = static_cast<char>(NewByte);
  (void)decodeSample(Bytes);
}

struct frame_splitting : testing::Test {
  frame_reader Reader{16};
};

TEST_F(frame_splitting, ReturnsWholeFramesFromSingleBytes) {
  const std::string Stream = encodeFrame("one") + encodeFrame("") + encodeFrame("three");
  std::vector<std::string> Received;
  for (const char Byte : Stream) {
    Reader.append(std::string_view(&Byte, 1));
    const auto Next = Reader.next();
    ASSERT_TRUE(succeeded(Next));
    if (valueOf(Next))
      Received.push_back(*valueOf(Next));
  }
  EXPECT_EQ(Received, (std::vector<std::string>{"one", "", "three"}));
}

TEST_F(frame_splitting, RejectsALengthOverTheLimitBeforeTheBytesArrive) {
  Reader.append(encodeFrame(std::string(17, 'x')).substr(0, 4));
  EXPECT_EQ(errorOf(Reader.next()), wire_error::TooLarge);
}

} // namespace
} // namespace pollenstall
