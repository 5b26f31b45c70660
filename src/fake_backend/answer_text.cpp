/** @file answer_text.cpp Formats chunks and bodies of the chat completions and completions APIs. */
#include "core/core.h"
#include "fake_backend/answer_text_func.h"

#include <boost/json.hpp>

#include <array>

namespace pollenstall {

namespace {

constexpr std::int64_t NonTokenEvents = 4; // role, finish reason, usage, [DONE]

std::string hexHash(std::uint64_t Hash) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr int DigitCount = 8;
  std::string Text(DigitCount, '0');
  for (int DigitIndex = DigitCount - 1; DigitIndex >= 0; --DigitIndex, Hash >>= 4U)
    Text[DigitIndex] = Digits[Hash & 0xFU];
  return Text;
}

boost::json::object usageObject(const answer_parameters &Answer) {
  return {{"prompt_tokens", Answer.PromptTokens},
          {"completion_tokens", Answer.AnswerTokens},
          {"total_tokens", Answer.PromptTokens + Answer.AnswerTokens},
          {"prompt_tokens_details", {{"cached_tokens", Answer.CachedTokens}}}};
}

std::string jsonQuoted(std::string_view Text) {
  return boost::json::serialize(boost::json::string(Text));
}

void appendChunkHead(std::string &Out, const answer_parameters &Answer) {
  const bool Chat = Answer.Api == completion_api::Chat;
  Out += Chat ? R"({"id":"chatcmpl-)" : R"({"id":"cmpl-)";
  Out += hexHash(Answer.PromptHash);
  Out += Chat ? R"(","object":"chat.completion.chunk","created":)"
              : R"(","object":"text_completion","created":)";
  Out += std::to_string(Answer.CreatedUnixS);
  Out += R"(,"model":)";
  Out += jsonQuoted(Answer.Model);
}

/// Appends a chunk with content. @param Content Text that needs no JSON escapes.
void appendContentChunk(std::string &Out, const answer_parameters &Answer,
                        std::string_view Content) {
  appendChunkHead(Out, Answer);
  Out += Answer.Api == completion_api::Chat ? R"(,"choices":[{"index":0,"delta":{"content":")"
                                            : R"(,"choices":[{"index":0,"text":")";
  Out += Content;
  Out += Answer.Api == completion_api::Chat ? R"("},"finish_reason":null}]})"
                                            : R"(","finish_reason":null}]})";
}

void appendRoleChunk(std::string &Out, const answer_parameters &Answer) {
  if (Answer.Api == completion_api::Completion) {
    appendContentChunk(Out, Answer, "");
    return;
  }
  appendChunkHead(Out, Answer);
  Out += R"(,"choices":[{"index":0,"delta":{"role":"assistant","content":""},)"
         R"("finish_reason":null}]})";
}

void appendFinishChunk(std::string &Out, const answer_parameters &Answer) {
  appendChunkHead(Out, Answer);
  Out += Answer.Api == completion_api::Chat ? R"(,"choices":[{"index":0,"delta":{},)"
                                            : R"(,"choices":[{"index":0,"text":"",)";
  Out += R"("finish_reason":"stop"}]})";
}

void appendUsageChunk(std::string &Out, const answer_parameters &Answer) {
  appendChunkHead(Out, Answer);
  Out += R"(,"choices":[],"usage":)" + boost::json::serialize(usageObject(Answer)) + "}";
}

} // namespace

std::uint64_t promptHash(std::string_view Text) { return stableHash(Text); }

std::string answerToken(std::uint64_t PromptHash, std::int64_t Index) {
  return "t" + hexHash(PromptHash) + "-" + std::to_string(Index) + " ";
}

std::int64_t eventCount(const answer_parameters &Answer) {
  return Answer.AnswerTokens + NonTokenEvents;
}

void appendEvent(std::string &Out, const answer_parameters &Answer, std::int64_t Number) {
  Out += "id: " + std::to_string(Number) + "\ndata: ";
  const std::int64_t FromEnd = eventCount(Answer) - Number;
  if (Number == 1)
    appendRoleChunk(Out, Answer);
  else if (FromEnd == 0)
    Out += "[DONE]";
  else if (FromEnd == 1)
    appendUsageChunk(Out, Answer);
  else if (FromEnd == 2)
    appendFinishChunk(Out, Answer);
  else
    appendContentChunk(Out, Answer, answerToken(Answer.PromptHash, Number - 2));
  Out += "\n\n";
}

std::string answerBody(const answer_parameters &Answer) {
  std::string Content;
  for (std::int64_t Index = 0; Index < Answer.AnswerTokens; ++Index)
    Content += answerToken(Answer.PromptHash, Index);
  boost::json::object Choice{{"index", 0}, {"finish_reason", "stop"}};
  const bool Chat = Answer.Api == completion_api::Chat;
  if (Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Content}};
  else
    Choice["text"] = Content;
  const boost::json::object Body{
      {"id", (Chat ? "chatcmpl-" : "cmpl-") + hexHash(Answer.PromptHash)},
      {"object", Chat ? "chat.completion" : "text_completion"},
      {"created", Answer.CreatedUnixS},
      {"model", Answer.Model},
      {"choices", boost::json::array{Choice}},
      {"usage", usageObject(Answer)}};
  return boost::json::serialize(Body);
}

} // namespace pollenstall
