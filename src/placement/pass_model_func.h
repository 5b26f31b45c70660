/** @file pass_model_func.h How long an engine takes, from its declared figures. */
#ifndef POLLENSTALL_PLACEMENT_PASS_MODEL_FUNC_H
#define POLLENSTALL_PLACEMENT_PASS_MODEL_FUNC_H

#include "declaration/declaration_type.h"

namespace pollenstall {

/// @return Milliseconds in which an engine that does nothing else reads the prompt. The pairs of a
/// token and each earlier one grow with the square of the prompt.
double readMs(const engine_figures &Figures, tokens Prompt);

/// @return Milliseconds of one pass without reading, and so between two events of each stream.
/// @param Writers Requests that write. @param Context All their tokens.
double passMs(const engine_figures &Figures, std::uint32_t Writers, double Context);

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_PASS_MODEL_FUNC_H
