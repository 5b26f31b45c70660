/** @file prompt_scan_func.h Reads what matters of a model call's body without building a tree. */
#ifndef POLLENSTALL_FAKE_BACKEND_PROMPT_SCAN_FUNC_H
#define POLLENSTALL_FAKE_BACKEND_PROMPT_SCAN_FUNC_H

#include "core/core.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

constexpr std::int64_t BytesPerToken = 4; ///< The stand-in's tokenizer.

/// A model call as the engine sees it.
struct model_call {
  std::string Model;
  bool Stream{false};
  std::int64_t AnswerTokens{0};           ///< 0 where the caller gave none.
  std::int64_t PromptTokens{0};           ///< At least 1.
  std::uint64_t PromptHash{0};            ///< As promptHash() of the joined contents.
  std::vector<std::uint64_t> BlockHashes; ///< Of every prefix that fills whole blocks.
};

/// Why a body was refused.
struct scan_error {
  std::string Message;
};

/**
 * Scans a body of several megabytes in one pass; the contents are hashed where they stand.
 * @param BlockTokens Tokens of one block of KV memory.
 */
result<model_call, scan_error> scanModelCall(std::string_view Body, std::int64_t BlockTokens);

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_PROMPT_SCAN_FUNC_H
