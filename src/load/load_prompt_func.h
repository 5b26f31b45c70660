/** @file load_prompt_func.h Generates unique prompts of a given length. */
#ifndef POLLENSTALL_LOAD_LOAD_PROMPT_FUNC_H
#define POLLENSTALL_LOAD_LOAD_PROMPT_FUNC_H

#include "load/load_type.h"

#include <cstdint>
#include <string>

namespace pollenstall {

/// A request body, and the prompt's hash, which the tokens of its answer contain.
struct load_prompt {
  std::string Body;
  std::uint64_t Hash{0};
};

/// Generates a prompt. @param Number Number of the request in the run; makes the prompt unique.
/// @param Group Number of the prefix group.
load_prompt makePrompt(const load_settings &Settings, const length_class &Class,
                       std::uint64_t Number, std::uint64_t Group, bool Stream);

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_PROMPT_FUNC_H
