/** @file answer_check_test.cpp The load tool must not take a wrong answer for a right one. */
#include "fake_backend/fake_backend.h"
#include "load/load.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

constexpr std::int64_t Tokens = 5;

answer_parameters answerTo(const std::string &Prompt) {
  answer_parameters Answer;
  Answer.PromptHash = promptHash(Prompt);
  Answer.AnswerTokens = Tokens;
  Answer.PromptTokens = 3;
  Answer.Model = "m";
  return Answer;
}

std::vector<std::string> eventsOf(const answer_parameters &Answer) {
  std::vector<std::string> Events;
  for (std::int64_t Number = 1; Number <= eventCount(Answer); ++Number)
    appendEvent(Events.emplace_back(), Answer, Number);
  return Events;
}

load_outcome judged(const std::vector<std::string> &Events, bool InOrder = true) {
  answer_check Check(promptHash("mine"), Tokens);
  for (const std::string &Event : Events)
    Check.addStream(Event);
  return Check.streamOutcome(InOrder);
}

class a_streamed_answer : public testing::Test {
protected:
  std::vector<std::string> Events = eventsOf(answerTo("mine"));
};

TEST_F(a_streamed_answer, IsCompleteWhenWholeAndItsOwn) {
  EXPECT_EQ(judged(Events), load_outcome::Complete);
}

TEST_F(a_streamed_answer, IsWrongWhenItIsSomeoneElses) {
  EXPECT_EQ(judged(eventsOf(answerTo("theirs"))), load_outcome::Wrong);
}

TEST_F(a_streamed_answer, IsWrongWithOneForeignToken) {
  Events[3] = eventsOf(answerTo("theirs"))[3];
  EXPECT_EQ(judged(Events), load_outcome::Wrong);
}

TEST_F(a_streamed_answer, IsWrongWithATokenTwiceWhereNoIdsTellIt) {
  for (std::string &Event : Events)
    Event.erase(0, Event.find('\n') + 1);
  ASSERT_EQ(judged(Events), load_outcome::Complete);
  Events.insert(Events.begin() + 3, Events[3]);
  EXPECT_EQ(judged(Events), load_outcome::Wrong);
}

TEST_F(a_streamed_answer, IsWrongRatherThanCutAfterAForeignToken) {
  Events[1] = eventsOf(answerTo("theirs"))[1];
  Events.resize(2);
  EXPECT_EQ(judged(Events, false), load_outcome::Wrong);
}

TEST_F(a_streamed_answer, IsWrongWhenItEndsEarlyAsIfItWereWhole) {
  answer_parameters Short = answerTo("mine");
  --Short.AnswerTokens;
  EXPECT_EQ(judged(eventsOf(Short)), load_outcome::Wrong);
}

TEST_F(a_streamed_answer, IsCutWithoutDone) {
  Events.pop_back();
  EXPECT_EQ(judged(Events), load_outcome::Cut);
  EXPECT_EQ(judged(Events, false), load_outcome::Cut);
}

TEST_F(a_streamed_answer, IsCutWhenTheBodyBreaksAfterDone) {
  EXPECT_EQ(judged(Events, false), load_outcome::Cut);
}

TEST_F(a_streamed_answer, TellsTheOutcomeOfAnErrorEvent) {
  Events.resize(3);
  Events.emplace_back("data: {\"error\":{\"message\":\"x\",\"outcome\":\"unknown\"}}\n\n");
  EXPECT_EQ(judged(Events), load_outcome::Unknown);
}

RC_GTEST_PROP(a_streamed_answer_without_one_event_or_with_one_twice, IsNeverComplete, ()) {
  const auto Events = eventsOf(answerTo("mine"));
  const auto Place = *rc::gen::inRange<std::size_t>(0, Events.size());
  auto Lost = Events;
  Lost.erase(Lost.begin() + static_cast<std::ptrdiff_t>(Place));
  RC_ASSERT(judged(Lost) != load_outcome::Complete);
  auto Twice = Events;
  Twice.insert(Twice.begin() + static_cast<std::ptrdiff_t>(Place), Events[Place]);
  RC_ASSERT(judged(Twice) != load_outcome::Complete);
}

RC_GTEST_PROP(a_streamed_answer_in_pieces, IsReadAsOne, ()) {
  std::string Text;
  for (const std::string &Event : eventsOf(answerTo("mine")))
    Text += Event;
  answer_check Check(promptHash("mine"), Tokens);
  while (!Text.empty()) {
    const auto Size = *rc::gen::inRange<std::size_t>(1, Text.size() + 1);
    Check.addStream(Text.substr(0, Size));
    Text.erase(0, Size);
  }
  RC_ASSERT(Check.streamOutcome(true) == load_outcome::Complete);
}

TEST(a_whole_answer, IsJudgedByItsContent) {
  const answer_check Check(promptHash("mine"), Tokens);
  EXPECT_EQ(Check.wholeOutcome(answerBody(answerTo("mine"))), load_outcome::Complete);
  EXPECT_EQ(Check.wholeOutcome(answerBody(answerTo("theirs"))), load_outcome::Wrong);
  EXPECT_EQ(Check.wholeOutcome("{}"), load_outcome::Wrong);
}

TEST(an_error, IsNotRunOnlyWhereItSaysSo) {
  EXPECT_EQ(answer_check::errorOutcome(R"({"error":{"outcome":"not-run"}})"), load_outcome::NotRun);
  EXPECT_EQ(answer_check::errorOutcome(R"({"error":{}})"), load_outcome::Unknown);
  EXPECT_EQ(answer_check::errorOutcome("<html>"), load_outcome::Unknown);
}

} // namespace
} // namespace pollenstall
