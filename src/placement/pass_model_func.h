/** @file pass_model_func.h Prefill and decode times of an engine from its declared figures. */
#ifndef POLLENSTALL_PLACEMENT_PASS_MODEL_FUNC_H
#define POLLENSTALL_PLACEMENT_PASS_MODEL_FUNC_H

#include "declaration/declaration_type.h"

namespace pollenstall {

/// Returns the milliseconds that an otherwise idle engine takes to prefill the prompt. The cost of
/// attention, over pairs of a token and an earlier one, grows with the square of the prompt length.
double prefillMs(const engine_profile &Figures, tokens Prompt);

/// Returns the milliseconds of one pass without prefill, which is the time between two events of
/// each stream.
/// @param DecodingRequests Number of requests in decode.
/// @param Context Total number of tokens of these requests.
double passMs(const engine_profile &Figures, std::uint32_t DecodingRequests, double Context);

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_PASS_MODEL_FUNC_H
