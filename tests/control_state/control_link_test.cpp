/** @file control_link_test.cpp Messages of the control link: codec, invalid bytes, pending calls.
 */
#include "control_link/claim_call_tracker_base.h"
#include "control_link/control_link_codec_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

const std::string Fleet = "f";
const process_key Owner{host_name("entry-1"), incarnation(5)};

template <typename Message> result<Message, wire_error> decode(const std::string &Bytes) {
  return decodeEnvelope<Message>(Fleet, message_kind::ControlLink, Bytes, MaxLinkReplyBytes);
}

std::vector<link_reply> sampleReplies() {
  return {link_declaration{revision(3), pack("text")},
          link_lease{1, revision(3), 5000},
          link_declaration_announced{revision(4)},
          link_not_leader{"127.0.0.1:1"},
          link_claim_answer{4, claim_status::Running},
          link_settle_answer{4},
          link_drains{2, {backend_address("127.0.0.1:9")}},
          link_declaration_change{revision(3), revision(4),
                                  packDifference(computeDifference("{a}{b}", "{b}{c}"))}};
}

TEST(LinkMessages, SurviveEncodingAndDecoding) {
  for (const link_reply &Reply : sampleReplies()) {
    const auto Bytes = encodeEnvelope(Fleet, message_kind::ControlLink, Reply);
    const auto Decoded = decode<link_reply>(Bytes);
    ASSERT_TRUE(succeeded(Decoded));
    EXPECT_EQ(encodeEnvelope(Fleet, message_kind::ControlLink, valueOf(Decoded)), Bytes);
  }
}

TEST(LinkMessages, AreRefusedIfTruncated) {
  for (const link_reply &Reply : sampleReplies()) {
    const auto Bytes = encodeEnvelope(Fleet, message_kind::ControlLink, Reply);
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
      EXPECT_FALSE(succeeded(decode<link_reply>(Bytes.substr(0, Length))));
  }
}

TEST(LinkMessages, OfAnotherKindAreRefused) {
  const auto Bytes = encodeEnvelope(Fleet, message_kind::Consensus, link_reply(link_lease{}));
  EXPECT_FALSE(succeeded(decode<link_reply>(Bytes)));
}

RC_GTEST_PROP(LinkMessagesProperty, DecodeSafelyWithAnyChangedByte, (std::uint64_t Seed)) {
  random_source Random(Seed);
  const auto Replies = sampleReplies();
  std::string Bytes =
      encodeEnvelope(Fleet, message_kind::ControlLink, Replies[Random.below(Replies.size())]);
  Bytes[Random.below(Bytes.size())] = static_cast<char>(Random());
  const auto Decoded = decode<link_reply>(Bytes);
  if (succeeded(Decoded))
    RC_ASSERT(encodePlain(valueOf(Decoded)).size() <= Bytes.size());
}

class PendingCallsTest : public testing::Test {
protected:
  request_claim sampleClaimRequest(std::uint64_t Request, mono_time AnswerDeadline) {
    return {{request_number(Request), "account/key", AnswerDeadline}, std::chrono::seconds(60)};
  }

  claim_call_tracker Ledger{Owner};
  mono_time Now{std::chrono::seconds(10)};
};

TEST_F(PendingCallsTest, StayUnansweredUntilTheirAnswer) {
  const auto Message =
      Ledger.acquire(sampleClaimRequest(1, Now + std::chrono::seconds(1)), unix_millis(0));
  EXPECT_EQ(Ledger.unanswered().size(), 1U);
  const auto Event = Ledger.handleClaimAnswer({Message.Call, claim_status::Granted});
  ASSERT_TRUE(Event);
  EXPECT_EQ(Event->Request, request_number(1));
  EXPECT_TRUE(Ledger.unanswered().empty());
  EXPECT_FALSE(Ledger.handleClaimAnswer({Message.Call, claim_status::Granted}));
}

TEST_F(PendingCallsTest, ReleaseTheirClaimOnTimeout) {
  // The answer with the grant is lost. The entry gets the verdict Unavailable and runs nothing, so
  // the key must be released, or no other request can use it until the claim expires.
  const auto Message = Ledger.acquire(sampleClaimRequest(1, Now), unix_millis(0));
  const auto Events = Ledger.timeOut(Now);
  ASSERT_EQ(Events.size(), 1U);
  EXPECT_EQ(Events[0].Status, claim_status::Unavailable);
  const auto Releases = Ledger.takeReleases();
  ASSERT_EQ(Releases.size(), 1U);
  EXPECT_EQ(Releases[0].Claim.State, claim_state::Released);
  EXPECT_EQ(Releases[0].Claim.Holder, Message.Claim.Holder);
  EXPECT_EQ(Ledger.unanswered().size(), 1U);
  EXPECT_FALSE(Ledger.handleClaimAnswer({Message.Call, claim_status::Granted}))
      << "the answer is too late to run the request";
  Ledger.handleSettleAnswer({Releases[0].Call});
  EXPECT_TRUE(Ledger.unanswered().empty());
}

TEST_F(PendingCallsTest, ContainOnlyTheHashOfTheKey) {
  const auto Message = Ledger.acquire(sampleClaimRequest(1, Now), unix_millis(0));
  EXPECT_EQ(encodePlain(Message).find("account/key"), std::string::npos);
  const auto Other = Ledger.acquire(sampleClaimRequest(2, Now), unix_millis(0));
  EXPECT_EQ(Message.Claim.Key, Other.Claim.Key);
}

} // namespace
} // namespace pollenstall
