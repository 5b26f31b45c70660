/** @file invariant_func.h Checks that stay enabled in release builds and abort the process. */
#ifndef POLLENSTALL_CORE_INVARIANT_FUNC_H
#define POLLENSTALL_CORE_INVARIANT_FUNC_H

#include <functional>
#include <string>
#include <string_view>

namespace pollenstall {

/// A function that returns a dump of the state that the check covers.
using state_dump = std::function<std::string()>;

/// Writes the name of the invariant and the dump to standard error, then aborts the process.
[[noreturn]] void failInvariant(std::string_view Name, const state_dump &Dump);

/**
 * Aborts the process if a condition that the code relies on does not hold.
 * Continuing in an invalid state could run a request twice or revert a change; a restart does
 * neither.
 * @param Holds The condition.
 * @param Name A short description of the condition; printed on failure.
 * @param Dump Called only on failure.
 */
inline void requireInvariant(bool Holds, std::string_view Name, const state_dump &Dump = {}) {
  if (!Holds) [[unlikely]]
    failInvariant(Name, Dump);
}

} // namespace pollenstall

#endif // POLLENSTALL_CORE_INVARIANT_FUNC_H
