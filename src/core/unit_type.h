/** @file unit_type.h Amounts with a unit: tokens, bytes, memory blocks. Durations use
 * std::chrono. */
#ifndef POLLENSTALL_CORE_UNIT_TYPE_H
#define POLLENSTALL_CORE_UNIT_TYPE_H

#include "core/strong_type.h"

namespace pollenstall {

struct tokens_tag {};
struct bytes_tag {};
struct blocks_tag {};

using tokens = strong_amount<tokens_tag>;    ///< Model tokens of a prompt or an answer.
using byte_count = strong_amount<bytes_tag>; ///< Size of a body, a message or a file.
using memory_blocks =
    strong_amount<blocks_tag>; ///< KV memory of an engine, in blocks of that engine.

} // namespace pollenstall

#endif // POLLENSTALL_CORE_UNIT_TYPE_H
