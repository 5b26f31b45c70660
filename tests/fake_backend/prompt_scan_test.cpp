/** @file prompt_scan_test.cpp Tests which fields the fake backend reads from a request body. */
#include "fake_backend/fake_backend.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

model_call scanOrFail(const std::string &Body) {
  auto Call = scanModelCall(Body, 16);
  EXPECT_TRUE(succeeded(Call));
  return succeeded(Call) ? valueOf(std::move(Call)) : model_call{};
}

TEST(PromptScanTest, JoinsTheContentsOfAllMessages) {
  const model_call Call = scanOrFail(
      R"({"model":"m","stream":true,"max_tokens":7,"metadata":{"model":"x","content":"y"},)"
      R"("messages":[{"role":"system","content":"ab\u0063"},)"
      R"({"role":"user","content":[{"type":"text","text":"def"}]}]})");
  EXPECT_EQ(Call.Model, "m");
  EXPECT_TRUE(Call.Stream);
  EXPECT_EQ(Call.AnswerTokens, 7);
  EXPECT_EQ(Call.PromptTokens, 2);
  EXPECT_EQ(Call.PromptHash, promptHash("abcdef"));
}

TEST(PromptScanTest, HashesEveryPrefixOfWholeBlocks) {
  const std::string Shared(128, 'a');
  const model_call First = scanOrFail(R"({"model":"m","prompt":")" + Shared + R"(tail"})");
  const model_call Second = scanOrFail(R"({"model":"m","prompt":")" + Shared + R"(other"})");
  ASSERT_EQ(First.BlockHashes.size(), 2U);
  EXPECT_EQ(First.BlockHashes, Second.BlockHashes);
  EXPECT_NE(First.PromptHash, Second.PromptHash);
}

TEST(PromptScanTest, RejectsInvalidCalls) {
  EXPECT_FALSE(succeeded(scanModelCall("{", 16)));
  EXPECT_FALSE(succeeded(scanModelCall("[]", 16)));
  EXPECT_FALSE(succeeded(scanModelCall(R"({"model":"m"})", 16)));
}

} // namespace
} // namespace pollenstall
