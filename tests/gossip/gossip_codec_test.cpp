/** @file gossip_codec_test.cpp Datagrams read back what was written, and garbage is refused. */
#include "gossip/gossip.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

const gossip_secret Open{"accra", ""};
const gossip_secret Keyed{"accra", "a shared key"};

membership_message sample() {
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

TEST(GossipCodec, ReadsBackWhatItWrote) {
  for (const gossip_secret &Secret : {Open, Keyed}) {
    const auto Read = decodeDatagram(Secret, bytesOf(encodeDatagram(Secret, sample())));
    ASSERT_TRUE(succeeded(Read));
    const membership_message &Message = valueOf(Read);
    EXPECT_EQ(Message.Sender, sample().Sender);
    EXPECT_EQ(std::get<ping>(Message.Body).Nonce, 42U);
    EXPECT_EQ(Message.Hosts, sample().Hosts);
    EXPECT_EQ(Message.Backends, sample().Backends);
    EXPECT_EQ(Message.Loads, sample().Loads);
  }
}

TEST(GossipCodec, TakesNoMoreThanItWasEstimatedAt) {
  EXPECT_LE(encodeDatagram(Keyed, sample()).size(), wireBytes(sample()));
  membership_message Loads;
  Loads.Loads.resize(MaxMessageItems);
  const std::size_t Full = encodeDatagram(Open, Loads).size();
  Loads.Loads.pop_back();
  EXPECT_EQ(Full - encodeDatagram(Open, Loads).size(), DigestWireBytes);
}

TEST(GossipCodec, RefusesEveryTruncationAndALongerDatagram) {
  const std::string Whole = encodeDatagram(Open, sample());
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    EXPECT_FALSE(succeeded(decodeDatagram(Open, bytesOf(Whole).first(Size)))) << Size;
  EXPECT_FALSE(succeeded(decodeDatagram(Open, bytesOf(Whole + "x"))));
  EXPECT_EQ(errorOf(decodeDatagram(Open, bytesOf(std::string(MaxDatagramBytes + 1, 'x')))),
            datagram_error::TooLarge);
}

TEST(GossipCodec, RefusesAnotherFleetAndAWrongKey) {
  const std::string Bytes = encodeDatagram(Keyed, sample());
  EXPECT_EQ(errorOf(decodeDatagram({"accra", "another key"}, bytesOf(Bytes))),
            datagram_error::Unauthenticated);
  EXPECT_EQ(errorOf(decodeDatagram(Keyed, bytesOf(encodeDatagram(Open, sample())))),
            datagram_error::Unauthenticated);
  EXPECT_EQ(errorOf(decodeDatagram({"sognebrev", ""}, bytesOf(encodeDatagram(Open, sample())))),
            datagram_error::OtherFleet);
}

// A forged or damaged datagram must not crash a host nor make it allocate: every byte is changed in
// turn, and whatever still decodes is fed to a live fleet_membership, which must keep its
// invariants.
TEST(GossipCodec, SurvivesEveryChangedByte) {
  fleet_membership Fleet = fleet_membership_builder()
                               .self({host_name("accra-b-1"), incarnation(9)}, {})
                               .address(peer_address("10.0.0.2:7000"))
                               .build(mono_time(std::chrono::hours(1)));
  const std::string Whole = encodeDatagram(Open, sample());
  random_source Random(1);
  int Decoded = 0;
  for (std::size_t At = 0; At < Whole.size(); ++At)
    for (int Try = 0; Try < 16; ++Try) {
      std::string Bytes = Whole;
      Bytes[At] = static_cast<char>(Random.below(256));
      const auto Read = decodeDatagram(Open, bytesOf(Bytes));
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
