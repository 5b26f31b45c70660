/** @file prompt_facts_type.h The facts read from the body of a model call. */
#ifndef POLLENSTALL_RELAY_PROMPT_FACTS_TYPE_H
#define POLLENSTALL_RELAY_PROMPT_FACTS_TYPE_H

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// Parts of a prompt that are told apart when servers crash.
constexpr std::size_t MaxSharedParts = 16;

/// Which of the two APIs a body is for.
enum class prompt_form : std::uint8_t {
  Chat,       ///< Has "messages".
  Completion, ///< Has "prompt".
};

/// The facts that routing needs; the prompt itself stays in the body.
struct prompt_facts {
  std::string Model;
  bool Stream{false};
  std::optional<std::int64_t> AnswerLimit; ///< max_completion_tokens if present, else max_tokens.
  byte_count PromptBytes;                  ///< Unescaped text of all messages.
  std::vector<std::uint64_t>
      PrefixHashes; ///< Hashes of the leading chunks; each hash continues the previous one.
  /// Names of the messages before the last one, which other requests may share: hashes of their
  /// texts.
  std::vector<std::string> SharedParts;
};

/// Prompt bytes in one chunk: about 256 tokens, which is several blocks of an engine's prefix
/// cache.
constexpr std::size_t PrefixChunkBytes = 1024;
/// Maximum number of hashed chunks: 64 KB of prefix is enough to tell long prompts apart for cache
/// affinity.
constexpr std::size_t MaxPrefixChunks = 64;

/// Why a body is refused.
struct prompt_error {
  std::string Field;   ///< For example "messages[2].content"; "body" if it is not JSON.
  std::string Message; ///< What is allowed.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_PROMPT_FACTS_TYPE_H
