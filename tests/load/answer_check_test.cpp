/** @file answer_check_test.cpp Tests that the load tool detects wrong answers. */
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

load_outcome outcomeOf(const std::vector<std::string> &Events, bool EndedCleanly = true) {
  answer_check Check(promptHash("mine"), Tokens);
  for (const std::string &Event : Events)
    Check.appendStream(Event);
  return Check.streamOutcome(EndedCleanly);
}

class streamed_answer : public testing::Test {
protected:
  std::vector<std::string> Events = eventsOf(answerTo("mine"));
};

TEST_F(streamed_answer, IsCompleteIfItMatchesThePrompt) {
  EXPECT_EQ(outcomeOf(Events), load_outcome::Complete);
}

TEST_F(streamed_answer, IsWrongIfItBelongsToAnotherPrompt) {
  EXPECT_EQ(outcomeOf(eventsOf(answerTo("theirs"))), load_outcome::Wrong);
}

TEST_F(streamed_answer, IsWrongWithOneForeignToken) {
  Events[3] = eventsOf(answerTo("theirs"))[3];
  EXPECT_EQ(outcomeOf(Events), load_outcome::Wrong);
}

TEST_F(streamed_answer, IsWrongIfATokenIsRepeatedWithoutEventIds) {
  for (std::string &Event : Events)
    Event.erase(0, Event.find('\n') + 1);
  ASSERT_EQ(outcomeOf(Events), load_outcome::Complete);
  Events.insert(Events.begin() + 3, Events[3]);
  EXPECT_EQ(outcomeOf(Events), load_outcome::Wrong);
}

TEST_F(streamed_answer, IsWrongRatherThanCutAfterAForeignToken) {
  Events[1] = eventsOf(answerTo("theirs"))[1];
  Events.resize(2);
  EXPECT_EQ(outcomeOf(Events, false), load_outcome::Wrong);
}

TEST_F(streamed_answer, IsWrongIfItEndsCleanlyWithATokenMissing) {
  answer_parameters Short = answerTo("mine");
  --Short.AnswerTokens;
  EXPECT_EQ(outcomeOf(eventsOf(Short)), load_outcome::Wrong);
}

TEST_F(streamed_answer, IsCutWithoutDone) {
  Events.pop_back();
  EXPECT_EQ(outcomeOf(Events), load_outcome::Cut);
  EXPECT_EQ(outcomeOf(Events, false), load_outcome::Cut);
}

TEST_F(streamed_answer, IsCutWhenTheBodyBreaksAfterDone) {
  EXPECT_EQ(outcomeOf(Events, false), load_outcome::Cut);
}

TEST_F(streamed_answer, ReportsTheOutcomeOfAnErrorEvent) {
  Events.resize(3);
  Events.emplace_back("data: {\"error\":{\"message\":\"x\",\"outcome\":\"unknown\"}}\n\n");
  EXPECT_EQ(outcomeOf(Events), load_outcome::Unknown);
}

RC_GTEST_PROP(streamed_answer_with_a_missing_or_repeated_event, IsNeverComplete, ()) {
  const auto Events = eventsOf(answerTo("mine"));
  const auto Index = *rc::gen::inRange<std::size_t>(0, Events.size());
  auto Missing = Events;
  Missing.erase(Missing.begin() + static_cast<std::ptrdiff_t>(Index));
  RC_ASSERT(outcomeOf(Missing) != load_outcome::Complete);
  auto Repeated = Events;
  Repeated.insert(Repeated.begin() + static_cast<std::ptrdiff_t>(Index), Events[Index]);
  RC_ASSERT(outcomeOf(Repeated) != load_outcome::Complete);
}

RC_GTEST_PROP(streamed_answer_in_pieces, IsParsedAsAWhole, ()) {
  std::string Text;
  for (const std::string &Event : eventsOf(answerTo("mine")))
    Text += Event;
  answer_check Check(promptHash("mine"), Tokens);
  while (!Text.empty()) {
    const auto Size = *rc::gen::inRange<std::size_t>(1, Text.size() + 1);
    Check.appendStream(Text.substr(0, Size));
    Text.erase(0, Size);
  }
  RC_ASSERT(Check.streamOutcome(true) == load_outcome::Complete);
}

TEST(non_streamed_answer, IsCheckedByItsContent) {
  const answer_check Check(promptHash("mine"), Tokens);
  EXPECT_EQ(Check.nonStreamedOutcome(answerBody(answerTo("mine"))), load_outcome::Complete);
  EXPECT_EQ(Check.nonStreamedOutcome(answerBody(answerTo("theirs"))), load_outcome::Wrong);
  EXPECT_EQ(Check.nonStreamedOutcome("{}"), load_outcome::Wrong);
}

TEST(error_response, IsNotRunOnlyIfItStatesSo) {
  EXPECT_EQ(answer_check::errorOutcome(R"({"error":{"outcome":"not-run"}})"), load_outcome::NotRun);
  EXPECT_EQ(answer_check::errorOutcome(R"({"error":{}})"), load_outcome::Unknown);
  EXPECT_EQ(answer_check::errorOutcome("<html>"), load_outcome::Unknown);
}

} // namespace
} // namespace pollenstall
