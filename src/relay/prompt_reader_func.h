/** @file prompt_reader_func.h Reads the facts of a model call in one pass over its body. */
#ifndef POLLENSTALL_RELAY_PROMPT_READER_FUNC_H
#define POLLENSTALL_RELAY_PROMPT_READER_FUNC_H

#include "relay/prompt_facts_type.h"

#include <string_view>

namespace pollenstall {

/**
 * Validates the whole body as UTF-8 JSON without building a tree, so that a prompt of a million
 * tokens is not copied.
 * @return The facts, or the first error.
 */
result<prompt_facts, prompt_error> readPrompt(std::string_view Body, prompt_form Form);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_PROMPT_READER_FUNC_H
