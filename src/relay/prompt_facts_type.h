/** @file prompt_facts_type.h What is read from the body of a model call. */
#ifndef POLLENSTALL_RELAY_PROMPT_FACTS_TYPE_H
#define POLLENSTALL_RELAY_PROMPT_FACTS_TYPE_H

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// Which of the two interfaces a body is for.
enum class prompt_form : std::uint8_t {
  Chat,       ///< "messages".
  Completion, ///< "prompt".
};

/// Facts that routing needs; the prompt itself stays in the body.
struct prompt_facts {
  std::string Model;
  bool Stream{false};
  std::optional<std::int64_t> AnswerLimit; ///< max_completion_tokens, else max_tokens.
  byte_count PromptBytes;                  ///< Text of all messages, unescaped.
  std::vector<std::uint64_t> PrefixHashes; ///< Of leading chunks, each continued from the last.
};

/// Prompt bytes in one chunk; about 256 tokens, some blocks of an engine's prefix cache.
constexpr std::size_t PrefixChunkBytes = 1024;
/// Chunks hashed at most: affinity over 64 KB tells long prompts apart.
constexpr std::size_t MaxPrefixChunks = 64;

/// Why a body is refused.
struct prompt_error {
  std::string Field;   ///< As "messages[2].content"; "body" where it is not JSON.
  std::string Message; ///< What is allowed.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_PROMPT_FACTS_TYPE_H
