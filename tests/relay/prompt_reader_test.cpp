/** @file prompt_reader_test.cpp Which facts are read from the bodies of model calls, and which
 * bodies are refused. */
#include "relay/relay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/json.hpp>

namespace pollenstall {
namespace {

result<prompt_facts, prompt_error> chat(std::string_view Body) {
  return readPrompt(Body, prompt_form::Chat);
}

std::string fieldOf(const result<prompt_facts, prompt_error> &Read) {
  return succeeded(Read) ? std::string("(taken)") : errorOf(Read).Field;
}

std::string chatOf(const std::string &Content) {
  boost::json::object Message{{"role", "user"}, {"content", Content}};
  boost::json::object Body{{"model", "m"}, {"messages", boost::json::array{Message}}};
  return boost::json::serialize(Body);
}

TEST(PromptReader, ReadsTheFactsForRouting) {
  const auto Read = chat(R"({"model":"m-1","stream":true,"max_tokens":7,"temperature":0.5,
    "messages":[{"role":"system","content":"abc"},{"role":"user","content":[
      {"type":"text","text":"de"},{"type":"image_url","image_url":{"url":"data:xyz"}}]}]})");
  ASSERT_TRUE(succeeded(Read));
  EXPECT_EQ(valueOf(Read).Model, "m-1");
  EXPECT_TRUE(valueOf(Read).Stream);
  EXPECT_EQ(valueOf(Read).AnswerLimit, 7);
  // Counts roles and texts, but neither the part's type nor the image.
  EXPECT_EQ(valueOf(Read).PromptBytes, byte_count(6 + 3 + 4 + 2));
}

TEST(PromptReader, PrefersTheNewerNameOfTheAnswerLimit) {
  const auto Read = chat(R"({"model":"m","max_tokens":9,"max_completion_tokens":4,
                             "messages":[{"role":"user","content":"x"}]})");
  ASSERT_TRUE(succeeded(Read));
  EXPECT_EQ(valueOf(Read).AnswerLimit, 4);
}

TEST(PromptReader, AcceptsEveryFormOfACompletionPrompt) {
  for (const char *Prompt : {R"("text")", R"(["a","b"])", "[1,2,3]", "[[1,2],[3]]"}) {
    const std::string Body = std::string(R"({"model":"m","prompt":)") + Prompt + "}";
    EXPECT_TRUE(succeeded(readPrompt(Body, prompt_form::Completion))) << Prompt;
  }
}

TEST(PromptReader, NamesTheInvalidField) {
  const std::vector<std::pair<std::string, std::string>> Cases{
      {"", "body"},
      {"[]", "body"},
      {"{", "body"},
      {"{}x", "body"},
      {R"({"model":3})", "model"},
      {R"({"model":""})", "model"},
      {R"({"model":{}})", "model"},
      {R"({"model":"m"})", "messages"},
      {R"({"messages":[{"role":"user","content":"x"}]})", "model"},
      {R"({"model":"m","messages":"x"})", "messages"},
      {R"({"model":"m","messages":[]})", "messages"},
      {R"({"model":"m","messages":["x"]})", "messages[0]"},
      {R"({"model":"m","messages":[{"content":"x"}]})", "messages[0]"},
      {R"({"model":"m","messages":[{"role":"u","content":"x"},{"role":3}]})", "messages[1].role"},
      {R"({"model":"m","messages":[{"role":"u","content":7}]})", "messages[0].content"},
      {R"({"model":"m","messages":[{"role":"u","content":["x"]}]})", "messages[0].content[0]"},
      {R"({"model":"m","stream":"yes"})", "stream"},
      {R"({"model":"m","stream":1})", "stream"},
      {R"({"model":"m","max_tokens":"7"})", "max_tokens"},
      {R"({"model":"m","max_tokens":0})", "max_tokens"},
      {R"({"model":"m","max_tokens":1.5})", "max_tokens"},
      {R"({"model":"m","max_completion_tokens":99999999999999999999})", "max_completion_tokens"},
      {R"({"model":"m","model":"n","messages":[{"role":"u","content":"x"}]})", "model"}};
  for (const auto &[Body, Field] : Cases)
    EXPECT_EQ(fieldOf(chat(Body)), Field) << Body;
}

TEST(PromptReader, RefusesInvalidUtf8) {
  EXPECT_EQ(fieldOf(chat("{\"model\":\"m\",\"messages\":[{\"role\":\"u\",\"content\":\"\xff\"}]}")),
            "body");
  // An overlong encoding of a slash.
  EXPECT_EQ(fieldOf(chat("{\"model\":\"\xc0\xaf\"}")), "body");
}

TEST(PromptReader, RefusesDeepNestingWithoutRunningOutOfStack) {
  const std::string Deep = R"({"model":"m","x":)" + std::string(100'000, '[');
  EXPECT_EQ(fieldOf(chat(Deep)), "body");
}

TEST(PromptReader, GivesPromptsWithACommonPrefixTheSameLeadingHashes) {
  const std::string Shared(3 * PrefixChunkBytes, 's');
  const auto A = chat(chatOf(Shared + std::string(2 * PrefixChunkBytes, 'a')));
  const auto B = chat(chatOf(Shared + std::string(2 * PrefixChunkBytes, 'b')));
  ASSERT_TRUE(succeeded(A) && succeeded(B));
  const auto &HashesA = valueOf(A).PrefixHashes;
  const auto &HashesB = valueOf(B).PrefixHashes;
  ASSERT_EQ(HashesA.size(), 5U);
  EXPECT_TRUE(std::equal(HashesA.begin(), HashesA.begin() + 3, HashesB.begin()));
  EXPECT_NE(HashesA[3], HashesB[3]);
  EXPECT_NE(HashesA[4], HashesB[4]);
}

// A message that crashes servers must be found in whichever chat it stands.
TEST(PromptReader, NamesAMessageAlikeInDifferentChats) {
  const auto ChatOf = [](const std::string &First, const std::string &Second) {
    return chat(R"({"model":"m","messages":[{"role":"system","content":")" + First +
                R"("},{"role":"user","content":")" + Second +
                R"("},{"role":"user","content":"own"}]})");
  };
  const auto A = ChatOf("shared", "common");
  const auto B = ChatOf("other", "common");
  ASSERT_TRUE(succeeded(A) && succeeded(B));
  ASSERT_EQ(valueOf(A).SharedParts.size(), 2U) << "the last message belongs to the request";
  ASSERT_EQ(valueOf(B).SharedParts.size(), 2U);
  EXPECT_NE(valueOf(A).SharedParts[0], valueOf(B).SharedParts[0]);
  EXPECT_EQ(valueOf(A).SharedParts[1], valueOf(B).SharedParts[1]);
}

TEST(PromptReader, BoundsTheHashesOfALongPrompt) {
  const auto Read = chat(chatOf(std::string(PrefixChunkBytes * (MaxPrefixChunks + 9), 'l')));
  ASSERT_TRUE(succeeded(Read));
  EXPECT_EQ(valueOf(Read).PrefixHashes.size(), MaxPrefixChunks);
}

RC_GTEST_PROP(PromptReader, CountsTheBytesOfAnyText, ()) {
  const auto Text = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
  const auto Read = chat(chatOf(Text));
  RC_ASSERT(succeeded(Read));
  RC_ASSERT(valueOf(Read).PromptBytes.value() == static_cast<std::int64_t>(4 + Text.size()));
}

RC_GTEST_PROP(PromptReader, AgreesWithTheParserOnWhatIsJson, ()) {
  std::string Body = chatOf("a\"b\\c");
  const auto At = *rc::gen::inRange<std::size_t>(0, Body.size());
  Body[At] = static_cast<char>(*rc::gen::inRange(0, 256));
  boost::json::error_code Code;
  const boost::json::value Parsed = boost::json::parse(Body, Code);
  if (Code)
    RC_ASSERT(fieldOf(chat(Body)) != "(taken)");
}

} // namespace
} // namespace pollenstall
