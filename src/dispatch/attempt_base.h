/** @file attempt_base.h The life of one attempt as a state machine. */
#ifndef POLLENSTALL_DISPATCH_ATTEMPT_BASE_H
#define POLLENSTALL_DISPATCH_ATTEMPT_BASE_H

#include "dispatch/attempt_type.h"

#include <memory>

namespace pollenstall {

/// One attempt's state; refuses steps that do not fit, so that late and crossed events do nothing.
class attempt_lifecycle {
public:
  attempt_lifecycle();
  ~attempt_lifecycle();
  attempt_lifecycle(attempt_lifecycle &&Other) noexcept;
  attempt_lifecycle &operator=(attempt_lifecycle &&Other) noexcept;
  attempt_lifecycle(const attempt_lifecycle &) = delete;
  attempt_lifecycle &operator=(const attempt_lifecycle &) = delete;

  /// @return Whether the step fits the state; otherwise the state stays as it was.
  bool apply(attempt_step Step);

  /// @return Where the attempt stands.
  [[nodiscard]] attempt_state state() const;

private:
  struct machine;
  std::unique_ptr<machine> Machine; ///< Boost.MSM stays inside attempt.cpp.
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_ATTEMPT_BASE_H
