/** @file control_codec_test.cpp Encoding of commands and snapshots. */
#include "control_codec_func.h"

#include "control_link/control_link_codec_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

control_state sampleState() {
  const claim_holder Holder{{host_name("entry-1"), incarnation(1)}, request_number(2)};
  control_state State{control_limits{}};
  State.execute(apply_change{change_id("a"), revision(0), "A", "sum", "", unix_millis(5)});
  State.execute(apply_change{change_id("b"), revision(0), "B", "", "", unix_millis(6)});
  State.execute(apply_change{change_id("c"), revision(1), "C", "", "[1]", unix_millis(7)});
  State.execute(set_drain{change_id("d"), backend_address("127.0.0.1:1"), false, unix_millis(8)});
  State.execute(claim_acquire{{1, 2}, Holder, unix_millis(9)});
  State.execute(take_fencing_token{});
  backend_listing Listing;
  Listing.Instance = instance_name("i-1");
  Listing.Started = incarnation_start(3);
  Listing.Key = keyOf(backend_address("127.0.0.1:9"), {Listing.Instance, Listing.Started});
  State.execute(update_backends{{Listing}});
  return State;
}

TEST(ControlCodec, RoundTripsAState) {
  const control_state State = sampleState();
  const auto Decoded = decodeState(encodeState(State), {});
  ASSERT_TRUE(succeeded(Decoded));
  EXPECT_EQ(valueOf(Decoded).snapshot(), State.snapshot());
}

/// @return A snapshot of an empty state as an older version encoded it, without newer fields.
std::string olderSnapshot(char Version, std::size_t NewerBytes) {
  std::string Bytes = encodeState(control_state{control_limits{}});
  EXPECT_EQ(Bytes[0], 4);
  Bytes[0] = Version;
  Bytes.resize(Bytes.size() - NewerBytes);
  return Bytes;
}

// Hosts are upgraded one by one: a new program must read the disk of an older one.
TEST(ControlCodec, ReadsSnapshotsOfOlderVersions) {
  constexpr std::size_t CountOfBackends = 8;
  constexpr std::size_t CountAndVersionOfSuspects = 16;
  for (const std::string &Bytes :
       {olderSnapshot(1, CountOfBackends + CountAndVersionOfSuspects),
        olderSnapshot(2, CountAndVersionOfSuspects), olderSnapshot(3, 0)}) {
    const auto Decoded = decodeState(Bytes, {});
    ASSERT_TRUE(succeeded(Decoded));
    EXPECT_EQ(valueOf(Decoded).snapshot(), control_state{control_limits{}}.snapshot());
  }
}

// An older program must stop at a command that it cannot apply, and only there.
TEST(ControlCodec, UsesTheNewerVersionForNewCommandsOnly) {
  EXPECT_EQ(encodeCommand(take_fencing_token{})[0], 1);
  EXPECT_EQ(encodeCommand(update_backends{})[0], 2);
  EXPECT_TRUE(succeeded(decodeCommand(encodeCommand(update_backends{}))));
  EXPECT_EQ(encodeCommand(record_crash{})[0], 4);
  EXPECT_EQ(encodeCommand(clear_suspect{})[0], 4);
  EXPECT_TRUE(succeeded(decodeCommand(encodeCommand(record_crash{}))));
  const request_fingerprint Part{request_fingerprint::AnyAccount, 1, 1, 1};
  EXPECT_EQ(encodeCommand(record_crash{{Part}, incarnation(1), unix_millis(1)})[0], 5);
  EXPECT_EQ(encodeCommand(record_suspect_run{})[0], 5);
  EXPECT_TRUE(succeeded(decodeCommand(encodeCommand(record_suspect_run{}))));
}

TEST(ControlCodec, RoundTripsCommands) {
  control_state First{control_limits{}};
  control_state Second{control_limits{}};
  const control_command Command =
      apply_change{change_id("a"), revision(0), "A", "sum", "", unix_millis(5)};
  const auto Decoded = decodeCommand(encodeCommand(Command));
  ASSERT_TRUE(succeeded(Decoded));
  First.execute(Command);
  Second.execute(valueOf(Decoded));
  EXPECT_EQ(First.snapshot(), Second.snapshot());
}

// An older program must be able to start from the disk of a newer one and to take its snapshots, as
// long as no failure domain was evacuated.
TEST(ControlCodec, UsesTheNewerSnapshotOnceADomainWasEvacuated) {
  control_state State = sampleState();
  EXPECT_EQ(encodeState(State)[0], 4);
  const set_evacuation Evacuate{failure_domain_name("zone-1"), false, unix_millis(7)};
  EXPECT_EQ(encodeCommand(Evacuate)[0], 6);
  const auto Command = decodeCommand(encodeCommand(Evacuate));
  ASSERT_TRUE(succeeded(Command));
  State.execute(valueOf(Command));
  const std::string Bytes = encodeState(State);
  EXPECT_EQ(Bytes[0], 5);
  const auto Decoded = decodeState(Bytes, {});
  ASSERT_TRUE(succeeded(Decoded));
  EXPECT_EQ(valueOf(Decoded).snapshot(), State.snapshot());
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    EXPECT_FALSE(succeeded(decodeState(Bytes.substr(0, Length), {}))) << Length;
}

TEST(ControlCodec, RoundTripsSuspectedRequests) {
  control_state State{control_limits{}};
  for (std::uint64_t Incarnation = 1; Incarnation <= 3; ++Incarnation) {
    const record_crash Crash{
        {{1, 2, 3, 4}}, incarnation(Incarnation), unix_millis(Incarnation * 1'000)};
    const auto Command = decodeCommand(encodeCommand(Crash));
    ASSERT_TRUE(succeeded(Command));
    State.execute(valueOf(Command));
  }
  const auto Decoded = decodeState(encodeState(State), {});
  ASSERT_TRUE(succeeded(Decoded));
  EXPECT_EQ(valueOf(Decoded).snapshot(), State.snapshot());
  ASSERT_EQ(valueOf(Decoded).suspects().published(unix_millis(3'000)).size(), 1U);
}

/// Size of the version at the start of an encoded command.
constexpr std::size_t HeadBytes = 2;

// Every follower receives the text over the link that also carries the leader's heartbeats.
TEST(ControlCodec, CompressesTheTextOfADeclaration) {
  std::string Text;
  for (int Route = 0; Route < 1000; ++Route)
    Text += R"({"name":"r-)" + std::to_string(Route * 7919) + R"(","kind":"streaming"},)";
  const offer_declaration Offer{revision(3), Text, unix_millis(4)};
  const std::string Bytes = encodeCommand(Offer);
  EXPECT_EQ(Bytes[0], 3);
  EXPECT_LT(Bytes.size(), Text.size() / 4);
  const auto Decoded = decodeCommand(Bytes);
  ASSERT_TRUE(succeeded(Decoded));
  const auto &Back = std::get<offer_declaration>(valueOf(Decoded));
  EXPECT_EQ(Back.Revision, revision(3));
  EXPECT_EQ(Back.Text, Text);
}

// The disk of an older program contains such commands uncompressed.
TEST(ControlCodec, ReadsADeclarationOfTheFirstVersion) {
  const control_command Command = offer_declaration{revision(3), "text", unix_millis(4)};
  const std::string Bytes = encodeCommand(Command);
  const auto Packed =
      decodePlain<packed_text>(std::span(Bytes.data() + HeadBytes, Bytes.size() - HeadBytes));
  ASSERT_TRUE(succeeded(Packed));
  const auto Plain = unpack(valueOf(Packed), MaxLinkReplyBytes);
  ASSERT_TRUE(Plain);
  const auto Decoded = decodeCommand(std::string({1, 0}) + *Plain);
  ASSERT_TRUE(succeeded(Decoded));
  EXPECT_EQ(std::get<offer_declaration>(valueOf(Decoded)).Text, "text");
}

TEST(ControlCodec, RefusesATruncatedCompressedCommand) {
  const std::string Bytes = encodeCommand(offer_declaration{revision(3), "text", unix_millis(4)});
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    EXPECT_FALSE(succeeded(decodeCommand(Bytes.substr(0, Length))));
}

TEST(ControlCodec, DistinguishesANewerVersionFromCorruption) {
  // If a command of a newer program were skipped, this member's state would diverge from the
  // others'. The process must distinguish this from corruption, and stop.
  std::string Bytes = encodeCommand(take_fencing_token{});
  Bytes[0] = 9;
  const auto Decoded = decodeCommand(Bytes);
  ASSERT_FALSE(succeeded(Decoded));
  EXPECT_EQ(errorOf(Decoded), control_codec_error::OtherVersion);
}

RC_GTEST_PROP(ControlCodecProperty, DecodesNoInvalidState, (std::uint64_t Seed)) {
  random_source Random(Seed);
  std::string Bytes = encodeState(sampleState());
  Bytes[Random.below(Bytes.size())] = static_cast<char>(Random());
  if (Random.chance(0.3))
    Bytes.resize(Random.below(Bytes.size()));
  const auto Decoded = decodeState(Bytes, {});
  if (succeeded(Decoded))
    RC_ASSERT(succeeded(control_state::restore(valueOf(Decoded).snapshot(), {})));
}

} // namespace
} // namespace pollenstall
