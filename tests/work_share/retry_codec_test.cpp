/** @file retry_codec_test.cpp Messages about loans of retries on the wire. */
#include "work_share/permit_codec_func.h"
#include "work_share/retry_codec_func.h"
#include "work_share/work_report_codec_func.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

retry_message sentAndReceived(const retry_message &Message) {
  const auto Decoded = decodeRetryMessage("fleet", encodeRetryMessage("fleet", Message));
  EXPECT_TRUE(succeeded(Decoded));
  return valueOf(Decoded);
}

TEST(RetryCodecTest, MessagesArriveAsTheyWereSent) {
  const auto Request = std::get<retry_loan_request>(sentAndReceived(retry_loan_request{7, 8, 2.4}));
  EXPECT_EQ(Request.Service, 7U);
  EXPECT_EQ(Request.Number, 8U);
  EXPECT_DOUBLE_EQ(Request.Amount, 2.4);
  const auto Loan = std::get<retry_loan>(sentAndReceived(retry_loan{9, 10, 0.029}));
  EXPECT_EQ(Loan.Service, 9U);
  EXPECT_EQ(Loan.Number, 10U);
  EXPECT_DOUBLE_EQ(Loan.Amount, 0.029);
}

// Guards against loans that are larger at the borrower than at the lender.
TEST(RetryCodecTest, AmountsAreRoundedDown) {
  EXPECT_DOUBLE_EQ(std::get<retry_loan>(sentAndReceived(retry_loan{1, 1, 0.0299})).Amount, 0.029);
  EXPECT_EQ(std::get<retry_loan>(sentAndReceived(retry_loan{1, 1, -1})).Amount, 0);
}

// Guards against processes of an earlier build: each kind of message must be dropped where another
// is expected.
TEST(RetryCodecTest, IsNotTakenForOtherMessages) {
  const std::string Bytes = encodeRetryMessage("fleet", retry_loan{1, 1, 1});
  EXPECT_EQ(errorOf(decodeWorkReport("fleet", Bytes)), wire_error::OtherKind);
  EXPECT_EQ(errorOf(decodePermitMessage("fleet", Bytes)), wire_error::OtherKind);
  EXPECT_EQ(errorOf(decodeRetryMessage("other", Bytes)), wire_error::OtherFleet);
}

TEST(RetryCodecTest, EveryTruncationIsRefused) {
  const std::string Bytes = encodeRetryMessage("fleet", retry_loan{1, 1, 1});
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    EXPECT_FALSE(succeeded(decodeRetryMessage("fleet", {Bytes.data(), Size}))) << Size;
}

} // namespace
} // namespace pollenstall
