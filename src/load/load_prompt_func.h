/** @file load_prompt_func.h Prompts of a set length, each different from every other. */
#ifndef POLLENSTALL_LOAD_LOAD_PROMPT_FUNC_H
#define POLLENSTALL_LOAD_LOAD_PROMPT_FUNC_H

#include "load/load_type.h"

#include <cstdint>
#include <string>

namespace pollenstall {

/// A request's body and what its answer must carry.
struct load_prompt {
  std::string Body;
  std::uint64_t Hash{0};
};

/// @param Number Of the request in the run; it is part of the prompt. @param Group Of the prefix.
load_prompt makePrompt(const load_settings &Settings, const length_class &Class,
                       std::uint64_t Number, std::uint64_t Group, bool Stream);

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_PROMPT_FUNC_H
