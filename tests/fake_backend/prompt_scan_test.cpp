/** @file prompt_scan_test.cpp What the stand-in reads of a body. */
#include "fake_backend/fake_backend.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

model_call scanned(const std::string &Body) {
  auto Call = scanModelCall(Body, 16);
  EXPECT_TRUE(succeeded(Call));
  return succeeded(Call) ? valueOf(std::move(Call)) : model_call{};
}

TEST(a_scan_of_a_body, JoinsTheContentsOfAllMessages) {
  const model_call Call =
      scanned(R"({"model":"m","stream":true,"max_tokens":7,"metadata":{"model":"x","content":"y"},)"
              R"("messages":[{"role":"system","content":"ab\u0063"},)"
              R"({"role":"user","content":[{"type":"text","text":"def"}]}]})");
  EXPECT_EQ(Call.Model, "m");
  EXPECT_TRUE(Call.Stream);
  EXPECT_EQ(Call.AnswerTokens, 7);
  EXPECT_EQ(Call.PromptTokens, 2);
  EXPECT_EQ(Call.PromptHash, promptHash("abcdef"));
}

TEST(a_scan_of_a_body, HashesEveryPrefixOfWholeBlocks) {
  const std::string Shared(128, 'a');
  const model_call One = scanned(R"({"model":"m","prompt":")" + Shared + R"(tail"})");
  const model_call Two = scanned(R"({"model":"m","prompt":")" + Shared + R"(other"})");
  ASSERT_EQ(One.BlockHashes.size(), 2U);
  EXPECT_EQ(One.BlockHashes, Two.BlockHashes);
  EXPECT_NE(One.PromptHash, Two.PromptHash);
}

TEST(a_scan_of_a_body, RefusesWhatIsNoCall) {
  EXPECT_FALSE(succeeded(scanModelCall("{", 16)));
  EXPECT_FALSE(succeeded(scanModelCall("[]", 16)));
  EXPECT_FALSE(succeeded(scanModelCall(R"({"model":"m"})", 16)));
}

} // namespace
} // namespace pollenstall
