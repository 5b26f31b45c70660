/** @file attempt_base.h The lifecycle of one attempt as a state machine. */
#ifndef POLLENSTALL_DISPATCH_ATTEMPT_BASE_H
#define POLLENSTALL_DISPATCH_ATTEMPT_BASE_H

#include "dispatch/attempt_type.h"

#include <memory>

namespace pollenstall {

/// The state of one attempt. Steps that the state does not allow are refused, so that late and
/// misrouted events have no effect.
class attempt_lifecycle {
public:
  attempt_lifecycle();
  ~attempt_lifecycle();
  attempt_lifecycle(attempt_lifecycle &&Other) noexcept;
  attempt_lifecycle &operator=(attempt_lifecycle &&Other) noexcept;
  attempt_lifecycle(const attempt_lifecycle &) = delete;
  attempt_lifecycle &operator=(const attempt_lifecycle &) = delete;

  /// Applies the step. @return Whether the state allows it; otherwise the state is unchanged.
  bool apply(attempt_step Step);

  [[nodiscard]] attempt_state state() const;

private:
  struct machine;
  std::unique_ptr<machine> Machine; ///< Keeps Boost.MSM out of this header.
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_ATTEMPT_BASE_H
