/** @file control_link_test.cpp Messages of the control link: codec, invalid bytes, pending calls.
 */
#include "control_link/claim_call_tracker_base.h"
#include "control_link/control_link_codec_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

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
          link_evacuations{3, {failure_domain_name("zone-1")}},
          link_evacuation_change{4, failure_domain_name("zone-1"), true},
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
      Ledger.acquire(sampleClaimRequest(1, Now + std::chrono::seconds(1)), unix_millis(0), Now);
  EXPECT_EQ(Ledger.takeUnanswered(Now).size(), 1U);
  const auto Event = Ledger.handleClaimAnswer({Message.Call, claim_status::Granted});
  ASSERT_TRUE(Event);
  EXPECT_EQ(Event->Request, request_number(1));
  EXPECT_TRUE(Ledger.takeUnanswered(Now).empty());
  EXPECT_FALSE(Ledger.handleClaimAnswer({Message.Call, claim_status::Granted}));
}

TEST_F(PendingCallsTest, ReleaseTheirClaimOnTimeout) {
  // The answer with the grant is lost. The entry gets the verdict Unavailable and runs nothing, so
  // the key must be released, or no other request can use it until the claim expires.
  const auto Message = Ledger.acquire(sampleClaimRequest(1, Now), unix_millis(0), Now);
  const auto Events = Ledger.timeOut(Now);
  ASSERT_EQ(Events.size(), 1U);
  EXPECT_EQ(Events[0].Status, claim_status::Unavailable);
  const auto Overdue = Ledger.takeOverdue(Now);
  ASSERT_EQ(Overdue.size(), 1U) << "the release is sent at once";
  const auto Release = std::get<link_claim_settle>(Overdue[0]);
  EXPECT_EQ(Release.Claim.State, claim_state::Released);
  EXPECT_EQ(Release.Claim.Holder, Message.Claim.Holder);
  EXPECT_EQ(Ledger.takeUnanswered(Now).size(), 1U);
  EXPECT_FALSE(Ledger.handleClaimAnswer({Message.Call, claim_status::Granted}))
      << "the answer is too late to run the request";
  Ledger.handleSettleAnswer({Release.Call});
  EXPECT_TRUE(Ledger.takeUnanswered(Now).empty());
}

TEST_F(PendingCallsTest, ContainOnlyTheHashOfTheKey) {
  const auto Message = Ledger.acquire(sampleClaimRequest(1, Now), unix_millis(0), Now);
  EXPECT_EQ(encodePlain(Message).find("account/key"), std::string::npos);
  const auto Other = Ledger.acquire(sampleClaimRequest(2, Now), unix_millis(0), Now);
  EXPECT_EQ(Message.Claim.Key, Other.Claim.Key);
}

/// Calls whose messages or proposals are lost.
class LostCallsTest : public testing::Test {
protected:
  LostCallsTest() {
    Claim.Claim = {request_number(7), "key", Now + 2s, 60s};
    Claim.Lifetime = 60s;
    Release.Claim = {request_number(7), "key", claim_state::Released, 60s};
    Release.Lifetime = 60s;
  }

  /// Sends the overdue calls. @return Their number.
  std::size_t resend() { return Tracker.takeOverdue(Now).size(); }

  static constexpr unix_millis Wall{1'700'000'000'000};
  mono_time Now{1h};
  request_claim Claim;
  report_claim_outcome Release;
  claim_call_tracker Tracker{process_key{host_name("entry"), incarnation(1)}};
};

// Guards against a release that the leader drops while it holds no lease: the connection stays
// open, and nobody else could use the key until the claim expires.
TEST_F(LostCallsTest, ResendsAReleaseOnTheSameConnectionUntilItIsAnswered) {
  const link_claim_settle Sent = Tracker.settle(Release, Wall, Now);
  EXPECT_EQ(resend(), 0U);
  for (int Round = 0; Round < 3; ++Round) {
    Now += 500ms;
    const auto Overdue = Tracker.takeOverdue(Now);
    ASSERT_EQ(Overdue.size(), 1U);
    EXPECT_EQ(std::get<link_claim_settle>(Overdue[0]).Call, Sent.Call);
    EXPECT_EQ(resend(), 0U) << "it has just been sent";
  }
  Tracker.handleSettleAnswer({Sent.Call});
  Now += 10s;
  EXPECT_EQ(resend(), 0U);
}

TEST_F(LostCallsTest, ResendsAClaimUntilItsTimeIsOver) {
  const link_claim_acquire Sent = Tracker.acquire(Claim, Wall, Now);
  Now += 500ms;
  const auto Overdue = Tracker.takeOverdue(Now);
  ASSERT_EQ(Overdue.size(), 1U);
  EXPECT_EQ(std::get<link_claim_acquire>(Overdue[0]).Call, Sent.Call);
  Now += 2s;
  const auto Events = Tracker.timeOut(Now);
  ASSERT_EQ(Events.size(), 1U);
  EXPECT_EQ(Events[0].Status, claim_status::Unavailable);
  const auto AfterTimeout = Tracker.takeOverdue(Now);
  ASSERT_EQ(AfterTimeout.size(), 1U) << "its release, at once";
  EXPECT_EQ(std::get<link_claim_settle>(AfterTimeout[0]).Claim.State, claim_state::Released);
}

// Guards against a copy of a claim call that arrives after its release, when another request has
// used and released the key: the key would be granted to a request that has ended.
TEST_F(LostCallsTest, ResendsNoClaimOfAReleasedRequest) {
  Tracker.acquire(Claim, Wall, Now);
  Tracker.settle(Release, Wall, Now);
  Now += 500ms;
  for (const link_request &Message : Tracker.takeOverdue(Now))
    EXPECT_TRUE(std::holds_alternative<link_claim_settle>(Message));
  EXPECT_TRUE(Tracker.timeOut(Now + 5s).empty());
  EXPECT_EQ(Tracker.unrecordedOutcomes(), 1U);
}

TEST_F(LostCallsTest, SendsAllUnansweredCallsOnANewConnection) {
  Tracker.acquire(Claim, Wall, Now);
  Release.Claim.Request = request_number(8);
  Tracker.settle(Release, Wall, Now);
  const auto Messages = Tracker.takeUnanswered(Now);
  ASSERT_EQ(Messages.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<link_claim_acquire>(Messages[0]));
}

} // namespace
} // namespace pollenstall
