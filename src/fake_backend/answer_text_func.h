/** @file answer_text_func.h Builds the fake backend's answers. They depend on the prompt alone, so
 * a caller can check that an answer is complete and belongs to its own prompt. */
#ifndef POLLENSTALL_FAKE_BACKEND_ANSWER_TEXT_FUNC_H
#define POLLENSTALL_FAKE_BACKEND_ANSWER_TEXT_FUNC_H

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstall {

/// The API endpoint that a request was sent to.
enum class completion_api : std::uint8_t { Chat, Completion };

/// The parameters that determine the text of an answer.
struct answer_parameters {
  completion_api Api{completion_api::Chat};
  std::uint64_t PromptHash{0}; ///< promptHash() of the concatenated message contents.
  std::int64_t PromptTokens{0};
  std::int64_t CachedTokens{0};
  std::int64_t AnswerTokens{0};
  std::string Model;
  std::int64_t CreatedUnixS{0};
};

/// Returns the hash that each content token of an answer contains.
/// @param Text Concatenated message contents.
std::uint64_t promptHash(std::string_view Text);

/// Returns the content token at Index (from 0): "t<8 hex digits>-<Index> ".
std::string answerToken(std::uint64_t PromptHash, std::int64_t Index);

/// Returns the number of events in a stream: the role, the tokens, the finish reason, the usage and
/// "[DONE]".
std::int64_t eventCount(const answer_parameters &Answer);

/// Appends event Number (from 1) as SSE text with its id.
void appendEvent(std::string &Out, const answer_parameters &Answer, std::int64_t Number);

/// Returns the JSON body of an answer that is not streamed.
std::string answerBody(const answer_parameters &Answer);

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ANSWER_TEXT_FUNC_H
