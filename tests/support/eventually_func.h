/** @file eventually_func.h Waits for a condition. */
#ifndef POLLENSTALL_SUPPORT_EVENTUALLY_FUNC_H
#define POLLENSTALL_SUPPORT_EVENTUALLY_FUNC_H

#include <chrono>
#include <functional>

namespace pollenstall {

constexpr std::chrono::seconds TestLimit{20}; ///< Default limit; long enough for a busy machine.

/// Polls a condition. @return Whether it became true within the limit.
bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Limit = TestLimit);

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_EVENTUALLY_FUNC_H
