/** @file prompt_reader_func.h Reads the facts of a model call in one pass over its body. */
#ifndef POLLENSTALL_RELAY_PROMPT_READER_FUNC_H
#define POLLENSTALL_RELAY_PROMPT_READER_FUNC_H

#include "relay/prompt_facts_type.h"

#include <string_view>

namespace pollenstall {

/**
 * Checks the whole body as JSON in UTF-8 without building a tree of it: a prompt of a million
 * tokens costs no second copy.
 * @return The facts, or the first thing that is wrong.
 */
result<prompt_facts, prompt_error> readPrompt(std::string_view Body, prompt_form Form);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_PROMPT_READER_FUNC_H
