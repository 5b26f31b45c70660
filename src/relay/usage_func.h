/** @file usage_func.h The token counts that an engine gives with its answer. */
#ifndef POLLENSTALL_RELAY_USAGE_FUNC_H
#define POLLENSTALL_RELAY_USAGE_FUNC_H

#include "core/core.h"

#include <optional>
#include <string_view>

namespace pollenstall {

/// Counts as the engine made them; each may be absent.
struct engine_usage {
  std::optional<tokens> PromptTokens;
  std::optional<tokens> AnswerTokens;
  std::optional<tokens> CachedTokens;
};

/**
 * Finds the last "usage" object in an answer's end. Quotes inside texts are escaped in JSON, so
 * that an answer's text cannot be mistaken for it.
 * @param Tail The last bytes of a body, or the data of an event.
 */
engine_usage usageIn(std::string_view Tail);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_USAGE_FUNC_H
