/** @file invariant_func.h Checks that stay on in release builds and stop the process by name. */
#ifndef POLLENSTALL_CORE_INVARIANT_FUNC_H
#define POLLENSTALL_CORE_INVARIANT_FUNC_H

#include <functional>
#include <string>
#include <string_view>

namespace pollenstall {

/// Gives a dump of the state that the failed check belongs to.
using state_dump = std::function<std::string()>;

/// Writes the invariant's name and the dump to standard error, then aborts.
[[noreturn]] void failInvariant(std::string_view Name, const state_dump &Dump);

/**
 * Aborts where a condition that the code relies on does not hold.
 * Going on with a broken state could run a request twice or revert a change; a restart cannot.
 * @param Holds The condition.
 * @param Name What must hold, in a few words; it is printed.
 * @param Dump Called only on failure.
 */
inline void requireInvariant(bool Holds, std::string_view Name, const state_dump &Dump = {}) {
  if (!Holds) [[unlikely]]
    failInvariant(Name, Dump);
}

} // namespace pollenstall

#endif // POLLENSTALL_CORE_INVARIANT_FUNC_H
