/** @file permit_codec_test.cpp Messages about permits on the wire. */
#include "work_share/permit_codec_func.h"
#include "work_share/work_report_codec_func.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

permit_message sentAndReceived(const permit_message &Message) {
  const std::string Bytes = encodePermitMessage("fleet", Message);
  const auto Decoded = decodePermitMessage("fleet", Bytes);
  EXPECT_TRUE(succeeded(Decoded));
  return valueOf(Decoded);
}

TEST(PermitCodecTest, MessagesArriveAsTheyWereSent) {
  const auto Request = std::get<permit_request>(sentAndReceived(
      permit_request{incarnation(7), requests_per_second(2.4), true, milliseconds(500)}));
  EXPECT_EQ(Request.Server, incarnation(7));
  EXPECT_EQ(Request.Limit, requests_per_second(2.4));
  EXPECT_TRUE(Request.Wanted);
  EXPECT_EQ(Request.Wait, milliseconds(500));
  const auto Report =
      std::get<limit_report>(sentAndReceived(limit_report{incarnation(8), std::nullopt, {5, 6}}));
  EXPECT_FALSE(Report.Limit);
  EXPECT_EQ(Report.Permit, (permit_stamp{5, 6}));
  const auto Reply = std::get<permit_reply>(sentAndReceived(
      permit_reply{incarnation(9), requests_per_second(0), {1, 2}, milliseconds(250), true}));
  EXPECT_EQ(Reply.Limit, requests_per_second(0));
  EXPECT_EQ(Reply.Permit, (permit_stamp{1, 2}));
  EXPECT_EQ(Reply.RetryAfter, milliseconds(250));
  EXPECT_TRUE(Reply.Queued);
}

TEST(PermitCodecTest, ColdServersArriveAsTheyWereSent) {
  permit_request Request{incarnation(7), std::nullopt, true, milliseconds(500)};
  Request.Cold = cold_statement{requests_per_second(17.5), milliseconds(40), 123'456};
  const auto First = std::get<permit_request>(sentAndReceived(Request));
  EXPECT_EQ(First.Server, incarnation(7));
  EXPECT_FALSE(First.Limit);
  EXPECT_EQ(First.Wait, milliseconds(500));
  ASSERT_TRUE(First.Cold);
  EXPECT_EQ(First.Cold->PerSecond, requests_per_second(17.5));
  EXPECT_EQ(First.Cold->WarmAgo, milliseconds(40));
  EXPECT_EQ(First.Cold->AskedAt, 123'456U);
  Request.Limit = requests_per_second(2);
  // A rate of 0 would mean that no permit ever comes.
  Request.Cold = cold_statement{requests_per_second(1e-6), std::nullopt, 1};
  const auto Second = std::get<permit_request>(sentAndReceived(Request));
  EXPECT_EQ(Second.Limit, requests_per_second(2));
  ASSERT_TRUE(Second.Cold);
  EXPECT_EQ(Second.Cold->WarmAgo, std::nullopt);
  EXPECT_GT(Second.Cold->PerSecond, requests_per_second(0));
  permit_reply Reply{incarnation(9), std::nullopt, {1, 2}, milliseconds(0), false};
  Reply.Cold = cold_grant{~0U, milliseconds(33)};
  const auto Third = std::get<permit_reply>(sentAndReceived(Reply));
  EXPECT_EQ(Third.Permit, (permit_stamp{1, 2}));
  ASSERT_TRUE(Third.Cold);
  EXPECT_EQ(Third.Cold->AskedAt, ~0U);
  EXPECT_EQ(Third.Cold->Waited, milliseconds(33));
}

// Guards against processes of an earlier build, which know no permits: each kind of message must be
// dropped where the other is expected.
TEST(PermitCodecTest, WorkReportsAndPermitsAreNotTakenForEachOther) {
  const std::string Permit =
      encodePermitMessage("fleet", limit_report{incarnation(8), std::nullopt, {}});
  EXPECT_EQ(errorOf(decodeWorkReport("fleet", Permit)), wire_error::OtherKind);
  const std::string Report = encodeWorkReport("fleet", work_report{});
  EXPECT_EQ(errorOf(decodePermitMessage("fleet", Report)), wire_error::OtherKind);
  EXPECT_EQ(errorOf(decodePermitMessage("other", Permit)), wire_error::OtherFleet);
}

TEST(PermitCodecTest, EveryTruncationIsRefused) {
  const std::string Bytes =
      encodePermitMessage("fleet", limit_report{incarnation(8), std::nullopt, {}});
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    EXPECT_FALSE(succeeded(decodePermitMessage("fleet", {Bytes.data(), Size}))) << Size;
}

} // namespace
} // namespace pollenstall
