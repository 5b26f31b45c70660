/** @file rethrow_func.h The end of a coroutine that nobody awaits. */
#ifndef POLLENSTALL_RELAY_RETHROW_FUNC_H
#define POLLENSTALL_RELAY_RETHROW_FUNC_H

#include <exception>

namespace pollenstall {

/// Handed to co_spawn: what a coroutine throws ends the process instead of being lost.
inline void rethrow(const std::exception_ptr &Thrown) {
  if (Thrown)
    std::rethrow_exception(Thrown);
}

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RETHROW_FUNC_H
