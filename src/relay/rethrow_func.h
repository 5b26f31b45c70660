/** @file rethrow_func.h Completion handler for coroutines that nobody awaits. */
#ifndef POLLENSTALL_RELAY_RETHROW_FUNC_H
#define POLLENSTALL_RELAY_RETHROW_FUNC_H

#include <exception>

namespace pollenstall {

/// Passed to co_spawn: an exception that leaves a coroutine ends the process instead of being lost.
inline void rethrow(const std::exception_ptr &Thrown) {
  if (Thrown)
    std::rethrow_exception(Thrown);
}

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RETHROW_FUNC_H
