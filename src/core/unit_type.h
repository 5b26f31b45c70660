/** @file unit_type.h Amounts with a unit: tokens, bytes, memory blocks. Durations are
 * std::chrono's. */
#ifndef POLLENSTALL_CORE_UNIT_TYPE_H
#define POLLENSTALL_CORE_UNIT_TYPE_H

#include "core/strong_type.h"

namespace pollenstall {

struct tokens_tag {};
struct bytes_tag {};
struct blocks_tag {};

using tokens = strong_amount<tokens_tag>;    ///< Model tokens, of a prompt or of an answer.
using byte_count = strong_amount<bytes_tag>; ///< Bytes of a body, a message or a file.
using memory_blocks =
    strong_amount<blocks_tag>; ///< KV memory of an engine, in the engine's blocks.

} // namespace pollenstall

#endif // POLLENSTALL_CORE_UNIT_TYPE_H
