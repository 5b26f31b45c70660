/** @file offer_queue_test.cpp Who is told that an offered declaration was accepted, and when. */
#include "offer_queue_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

class OfferQueueTest : public testing::Test {
protected:
  void offer(std::uint64_t Revision) {
    if (Offers.isNews(revision(Revision), Declared)) {
      ++IntoTheLog;
      Offers.proposed(revision(Revision));
    }
    Offers.wait(
        revision(Revision), [this](bool Accepted) { Answers.push_back(Accepted); },
        Now + std::chrono::seconds(10));
  }
  void answerDue() {
    Offers.answerDue(Declared, Now, [this](revision) { return InTime; });
  }

  offer_queue Offers;
  revision Declared{4};
  mono_time Now{std::chrono::seconds(50)};
  bool InTime{true};
  int IntoTheLog{0};
  std::vector<bool> Answers;
};

TEST_F(OfferQueueTest, AnswersOnceTheLogHasTheOffer) {
  offer(5);
  answerDue();
  EXPECT_TRUE(Answers.empty());
  Declared = revision(5);
  answerDue();
  answerDue();
  EXPECT_EQ(Answers, std::vector{true});
}

// The log has it, but an entry may act on an older declaration for longer than is promised.
TEST_F(OfferQueueTest, WaitsUntilNobodyActsOnAnOlderOneForTooLong) {
  offer(5);
  Declared = revision(5);
  InTime = false;
  answerDue();
  EXPECT_TRUE(Answers.empty());
  InTime = true;
  answerDue();
  EXPECT_EQ(Answers, std::vector{true});
}

// The operator hears nothing for a second, since the text is large and the link is full, and sends
// the same again. A second copy in the log would fill the link for as long once more.
TEST_F(OfferQueueTest, PutsAResendIntoTheLogOnce) {
  offer(5);
  offer(5);
  Declared = revision(5);
  offer(5);
  answerDue();
  EXPECT_EQ(IntoTheLog, 1);
  EXPECT_EQ(Answers, (std::vector{true, true, true}));
}

// A late copy of an older change is acknowledged and changes nothing.
TEST_F(OfferQueueTest, AcknowledgesAnOlderOfferWithoutTheLog) {
  offer(3);
  answerDue();
  EXPECT_EQ(IntoTheLog, 0);
  EXPECT_EQ(Answers, std::vector{true});
}

// Leaders change while offers are on their way: nobody here knows what becomes of them.
TEST_F(OfferQueueTest, SaysNothingOfOffersThatItLeavesBehind) {
  offer(5);
  Offers.giveUp();
  EXPECT_EQ(Answers, std::vector{false});
  offer(5);
  EXPECT_EQ(IntoTheLog, 2) << "the next office starts from nothing";
}

TEST_F(OfferQueueTest, GivesUpAfterItsTime) {
  offer(5);
  Now += std::chrono::seconds(10);
  answerDue();
  EXPECT_EQ(Answers, std::vector{false});
}

} // namespace
} // namespace pollenstall
