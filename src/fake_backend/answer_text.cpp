/** @file answer_text.cpp Chunks and bodies in the shape of the chat/completions interface. */
#include "core/core.h"
#include "fake_backend/answer_text_func.h"

#include <boost/json.hpp>

#include <array>

namespace pollenstall {

namespace {

constexpr std::int64_t EventsBesideTokens = 4; // role, finish reason, usage, [DONE]

std::string hashText(std::uint64_t Hash) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr int DigitCount = 8;
  std::string Text(DigitCount, '0');
  for (int Place = DigitCount - 1; Place >= 0; --Place, Hash >>= 4U)
    Text[Place] = Digits[Hash & 0xFU];
  return Text;
}

boost::json::object usageOf(const answer_text &Answer) {
  return {{"prompt_tokens", Answer.PromptTokens},
          {"completion_tokens", Answer.AnswerTokens},
          {"total_tokens", Answer.PromptTokens + Answer.AnswerTokens},
          {"prompt_tokens_details", {{"cached_tokens", Answer.CachedTokens}}}};
}

std::string quoted(std::string_view Text) {
  return boost::json::serialize(boost::json::string(Text));
}

void appendChunkHead(std::string &Out, const answer_text &Answer) {
  const bool Chat = Answer.Shape == answer_shape::Chat;
  Out += Chat ? R"({"id":"chatcmpl-)" : R"({"id":"cmpl-)";
  Out += hashText(Answer.PromptHash);
  Out += Chat ? R"(","object":"chat.completion.chunk","created":)"
              : R"(","object":"text_completion","created":)";
  Out += std::to_string(Answer.CreatedUnixS);
  Out += R"(,"model":)";
  Out += quoted(Answer.Model);
}

/// @param Content Needs no JSON escapes.
void appendContentChunk(std::string &Out, const answer_text &Answer, std::string_view Content) {
  appendChunkHead(Out, Answer);
  Out += Answer.Shape == answer_shape::Chat ? R"(,"choices":[{"index":0,"delta":{"content":")"
                                            : R"(,"choices":[{"index":0,"text":")";
  Out += Content;
  Out += Answer.Shape == answer_shape::Chat ? R"("},"finish_reason":null}]})"
                                            : R"(","finish_reason":null}]})";
}

void appendRoleChunk(std::string &Out, const answer_text &Answer) {
  if (Answer.Shape == answer_shape::Completion) {
    appendContentChunk(Out, Answer, "");
    return;
  }
  appendChunkHead(Out, Answer);
  Out += R"(,"choices":[{"index":0,"delta":{"role":"assistant","content":""},)"
         R"("finish_reason":null}]})";
}

void appendFinishChunk(std::string &Out, const answer_text &Answer) {
  appendChunkHead(Out, Answer);
  Out += Answer.Shape == answer_shape::Chat ? R"(,"choices":[{"index":0,"delta":{},)"
                                            : R"(,"choices":[{"index":0,"text":"",)";
  Out += R"("finish_reason":"stop"}]})";
}

void appendUsageChunk(std::string &Out, const answer_text &Answer) {
  appendChunkHead(Out, Answer);
  Out += R"(,"choices":[],"usage":)" + boost::json::serialize(usageOf(Answer)) + "}";
}

} // namespace

std::uint64_t promptHash(std::string_view Text) { return stableHash(Text); }

std::string answerToken(std::uint64_t PromptHash, std::int64_t Index) {
  return "t" + hashText(PromptHash) + "-" + std::to_string(Index) + " ";
}

std::int64_t eventCount(const answer_text &Answer) {
  return Answer.AnswerTokens + EventsBesideTokens;
}

void appendEvent(std::string &Out, const answer_text &Answer, std::int64_t Number) {
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

std::string wholeAnswer(const answer_text &Answer) {
  std::string Content;
  for (std::int64_t Index = 0; Index < Answer.AnswerTokens; ++Index)
    Content += answerToken(Answer.PromptHash, Index);
  boost::json::object Choice{{"index", 0}, {"finish_reason", "stop"}};
  const bool Chat = Answer.Shape == answer_shape::Chat;
  if (Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Content}};
  else
    Choice["text"] = Content;
  const boost::json::object Body{
      {"id", (Chat ? "chatcmpl-" : "cmpl-") + hashText(Answer.PromptHash)},
      {"object", Chat ? "chat.completion" : "text_completion"},
      {"created", Answer.CreatedUnixS},
      {"model", Answer.Model},
      {"choices", boost::json::array{Choice}},
      {"usage", usageOf(Answer)}};
  return boost::json::serialize(Body);
}

} // namespace pollenstall
