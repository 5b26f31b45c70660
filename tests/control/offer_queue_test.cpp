/** @file offer_queue_test.cpp When proposed declarations are acknowledged. */
#include "offer_queue_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

class OfferQueueTest : public testing::Test {
protected:
  void offer(std::uint64_t Revision) {
    if (Offers.mustPropose(revision(Revision), Declared)) {
      ++ProposedCount;
      Offers.proposed(revision(Revision));
    }
    Offers.wait(
        revision(Revision), [this](bool Accepted) { Answers.push_back(Accepted); },
        Now + std::chrono::seconds(10));
  }
  void answerReady() {
    Offers.answerReady(Declared, Now, [this](revision) { return MayAcknowledge; });
  }

  offer_queue Offers;
  revision Declared{4};
  mono_time Now{std::chrono::seconds(50)};
  bool MayAcknowledge{true};
  int ProposedCount{0};
  std::vector<bool> Answers;
};

TEST_F(OfferQueueTest, AnswersOnceTheLogContainsTheOffer) {
  offer(5);
  answerReady();
  EXPECT_TRUE(Answers.empty());
  Declared = revision(5);
  answerReady();
  answerReady();
  EXPECT_EQ(Answers, std::vector{true});
}

// The log contains the offer, but an entry may act on an older declaration for longer than
// promised.
TEST_F(OfferQueueTest, WaitsUntilNoEntryActsOnAnOlderOneForTooLong) {
  offer(5);
  Declared = revision(5);
  MayAcknowledge = false;
  answerReady();
  EXPECT_TRUE(Answers.empty());
  MayAcknowledge = true;
  answerReady();
  EXPECT_EQ(Answers, std::vector{true});
}

// The operator gets no answer for a second, since the text is large and the link is full, and
// resends it. A second copy in the log would fill the link for the same time again.
TEST_F(OfferQueueTest, ProposesAResendOnce) {
  offer(5);
  offer(5);
  Declared = revision(5);
  offer(5);
  answerReady();
  EXPECT_EQ(ProposedCount, 1);
  EXPECT_EQ(Answers, (std::vector{true, true, true}));
}

// A late copy of an older change is acknowledged and changes nothing.
TEST_F(OfferQueueTest, AcknowledgesAnOlderOfferWithoutTheLog) {
  offer(3);
  answerReady();
  EXPECT_EQ(ProposedCount, 0);
  EXPECT_EQ(Answers, std::vector{true});
}

// The leader changes while offers are pending: their outcome is unknown at this host.
TEST_F(OfferQueueTest, ReportsAnUnknownOutcomeWhenItStopsLeading) {
  offer(5);
  Offers.abandonAll();
  EXPECT_EQ(Answers, std::vector{false});
  offer(5);
  EXPECT_EQ(ProposedCount, 2) << "the next leadership starts without proposals";
}

TEST_F(OfferQueueTest, ReportsAnUnknownOutcomeAfterTheDeadline) {
  offer(5);
  Now += std::chrono::seconds(10);
  answerReady();
  EXPECT_EQ(Answers, std::vector{false});
}

} // namespace
} // namespace pollenstall
