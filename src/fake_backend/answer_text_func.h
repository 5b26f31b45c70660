/** @file answer_text_func.h The stand-in's answers: a function of the prompt alone, so that a
 * caller can check that an answer is whole and its own. */
#ifndef POLLENSTALL_FAKE_BACKEND_ANSWER_TEXT_FUNC_H
#define POLLENSTALL_FAKE_BACKEND_ANSWER_TEXT_FUNC_H

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenstall {

/// Which of the callers' two interfaces a request came by.
enum class answer_shape : std::uint8_t { Chat, Completion };

/// All that the text of an answer depends on.
struct answer_text {
  answer_shape Shape{answer_shape::Chat};
  std::uint64_t PromptHash{0}; ///< promptHash() of the message contents, joined.
  std::int64_t PromptTokens{0};
  std::int64_t CachedTokens{0};
  std::int64_t AnswerTokens{0};
  std::string Model;
  std::int64_t CreatedUnixS{0};
};

/// @return The hash that the answer to a prompt carries. @param Text Message contents, joined.
std::uint64_t promptHash(std::string_view Text);

/// @return Content token number Index (from 0): "t<8 hex digits>-<Index> ".
std::string answerToken(std::uint64_t PromptHash, std::int64_t Index);

/// @return Events of a stream: a role, the tokens, the finish reason, the usage and "[DONE]".
std::int64_t eventCount(const answer_text &Answer);

/// Appends event Number (from 1) as SSE text, with its id.
void appendEvent(std::string &Out, const answer_text &Answer, std::int64_t Number);

/// @return The body of an answer that is not streamed.
std::string wholeAnswer(const answer_text &Answer);

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ANSWER_TEXT_FUNC_H
