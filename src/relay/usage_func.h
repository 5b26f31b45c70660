/** @file usage_func.h Extracts the token counts that an engine reports in its answer. */
#ifndef POLLENSTALL_RELAY_USAGE_FUNC_H
#define POLLENSTALL_RELAY_USAGE_FUNC_H

#include "core/core.h"

#include <optional>
#include <string_view>

namespace pollenstall {

/// Token counts reported by the engine; each may be absent.
struct engine_usage {
  std::optional<tokens> PromptTokens;
  std::optional<tokens> AnswerTokens;
  std::optional<tokens> CachedTokens;
};

/**
 * Finds the last "usage" object in the end of an answer. Quotes inside JSON strings are escaped, so
 * the answer's text cannot be mistaken for it.
 * @param Tail The last bytes of a body, or the data of an event.
 */
engine_usage parseUsage(std::string_view Tail);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_USAGE_FUNC_H
