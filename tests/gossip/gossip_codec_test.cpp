/** @file gossip_codec_test.cpp Round trips of datagrams, and rejection of invalid ones. */
#include "gossip/gossip.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

const gossip_secret NoKey{"accra", ""};
const gossip_secret WithKey{"accra", "a shared key"};

membership_message sampleMessage() {
  membership_message Message;
  Message.Sender = {host_name("accra-a-1"), incarnation(17)};
  Message.Body = ping{42, {host_name("accra-b-1"), incarnation(9)}};
  host_record Host;
  Host.Key = Message.Sender;
  Host.Addresses = {peer_address("10.0.0.1:7000")};
  Message.Hosts = {Host};
  backend_record Backend;
  Backend.Announcement.Key = {backend_address("10.1.0.1:8000"), incarnation(3)};
  Backend.Announcement.Labels = {{"version", "1"}};
  Backend.Announcement.Models = {model_name("base")};
  Backend.Announcement.Leaving = true;
  Backend.Sequence = 5;
  Message.Backends = {Backend};
  Message.Loads = {packLoad(Backend.Announcement.Key, {}, {})};
  return Message;
}

std::span<const char> bytesOf(const std::string &Text) { return {Text.data(), Text.size()}; }

TEST(GossipCodec, RoundTrips) {
  for (const gossip_secret &Secret : {NoKey, WithKey}) {
    const auto Read = decodeDatagram(Secret, bytesOf(encodeDatagram(Secret, sampleMessage())));
    ASSERT_TRUE(succeeded(Read));
    const membership_message &Message = valueOf(Read);
    EXPECT_EQ(Message.Sender, sampleMessage().Sender);
    EXPECT_EQ(std::get<ping>(Message.Body).Nonce, 42U);
    EXPECT_EQ(Message.Hosts, sampleMessage().Hosts);
    EXPECT_EQ(Message.Backends, sampleMessage().Backends);
    EXPECT_EQ(Message.Loads, sampleMessage().Loads);
  }
}

TEST(GossipCodec, SizeIsWithinTheEstimate) {
  EXPECT_LE(encodeDatagram(WithKey, sampleMessage()).size(), wireBytes(sampleMessage()));
  membership_message Loads;
  Loads.Loads.resize(MaxMessageItems);
  const std::size_t FullBytes = encodeDatagram(NoKey, Loads).size();
  Loads.Loads.pop_back();
  EXPECT_EQ(FullBytes - encodeDatagram(NoKey, Loads).size(), DigestWireBytes);
}

TEST(GossipCodec, RejectsTruncatedAndOverlongDatagrams) {
  const std::string Datagram = encodeDatagram(NoKey, sampleMessage());
  for (std::size_t Size = 0; Size < Datagram.size(); ++Size)
    EXPECT_FALSE(succeeded(decodeDatagram(NoKey, bytesOf(Datagram).first(Size)))) << Size;
  EXPECT_FALSE(succeeded(decodeDatagram(NoKey, bytesOf(Datagram + "x"))));
  EXPECT_EQ(errorOf(decodeDatagram(NoKey, bytesOf(std::string(MaxDatagramBytes + 1, 'x')))),
            datagram_error::TooLarge);
}

TEST(GossipCodec, RejectsAnotherFleetAndAWrongKey) {
  const std::string Bytes = encodeDatagram(WithKey, sampleMessage());
  EXPECT_EQ(errorOf(decodeDatagram({"accra", "another key"}, bytesOf(Bytes))),
            datagram_error::Unauthenticated);
  EXPECT_EQ(errorOf(decodeDatagram(WithKey, bytesOf(encodeDatagram(NoKey, sampleMessage())))),
            datagram_error::Unauthenticated);
  EXPECT_EQ(
      errorOf(decodeDatagram({"sognebrev", ""}, bytesOf(encodeDatagram(NoKey, sampleMessage())))),
      datagram_error::OtherFleet);
}

// A forged or damaged datagram must neither crash a host nor cause a large allocation. Each byte is
// changed in turn, and every datagram that still decodes is passed to a fleet_membership, which
// must keep its invariants.
TEST(GossipCodec, SurvivesEveryChangedByte) {
  fleet_membership Fleet = fleet_membership_builder()
                               .self({host_name("accra-b-1"), incarnation(9)}, {})
                               .address(peer_address("10.0.0.2:7000"))
                               .build(mono_time(std::chrono::hours(1)));
  const std::string Datagram = encodeDatagram(NoKey, sampleMessage());
  random_source Random(1);
  int Decoded = 0;
  for (std::size_t Position = 0; Position < Datagram.size(); ++Position)
    for (int Try = 0; Try < 16; ++Try) {
      std::string Bytes = Datagram;
      Bytes[Position] = static_cast<char>(Random.below(256));
      const auto Read = decodeDatagram(NoKey, bytesOf(Bytes));
      if (!succeeded(Read))
        continue;
      ++Decoded;
      Fleet.receive(valueOf(Read), peer_address("10.0.0.1:7000"), mono_time(std::chrono::hours(1)));
      Fleet.takeActions();
    }
  EXPECT_GT(Decoded, 0);
}

} // namespace
} // namespace pollenstall
