/** @file prompt_scan_func.h Extracts the relevant fields of a model call's body with a streaming
 * JSON parser, without building a tree. */
#ifndef POLLENSTALL_FAKE_BACKEND_PROMPT_SCAN_FUNC_H
#define POLLENSTALL_FAKE_BACKEND_PROMPT_SCAN_FUNC_H

#include "core/core.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

constexpr std::int64_t BytesPerToken = 4; ///< The fake backend counts one token per 4 bytes.

/// The fields of a model call that the engine uses.
struct model_call {
  std::string Model;
  bool Stream{false};
  std::int64_t AnswerTokens{0};           ///< 0 if the caller did not set a limit.
  std::int64_t PromptTokens{0};           ///< At least 1.
  std::uint64_t PromptHash{0};            ///< promptHash() of the concatenated contents.
  std::vector<std::uint64_t> BlockHashes; ///< Hashes of all prefixes that fill whole blocks.
};

/// The reason why a body was rejected.
struct scan_error {
  std::string Message;
};

/**
 * Scans a body, which may have several megabytes, in one pass and hashes its contents without
 * copying them.
 * @param BlockTokens Number of tokens per block of KV memory.
 */
result<model_call, scan_error> scanModelCall(std::string_view Body, std::int64_t BlockTokens);

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_PROMPT_SCAN_FUNC_H
