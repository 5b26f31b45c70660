/** @file dispatcher_builder_base.h Builds a dispatcher. */
#ifndef POLLENSTALL_DISPATCH_DISPATCHER_BUILDER_BASE_H
#define POLLENSTALL_DISPATCH_DISPATCHER_BUILDER_BASE_H

#include "dispatch/dispatcher_base.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace pollenstall {

/// Which required part of a dispatcher is missing.
enum class dispatcher_build_error : std::uint8_t {
  NoProcess, ///< Without a process key, attempt ids would not be unique in the fleet.
  NoSubmit,
  NoGroups,
};

/// Builds a dispatcher, which is not ready at first: see dispatcher::setReady().
class dispatcher_builder {
public:
  /// @param Self The incarnation of this entry; it is part of each attempt's id.
  dispatcher_builder &process(process_key Self);
  /// Sets the initial limits; see dispatcher::applyLimits().
  dispatcher_builder &limits(const limits_declaration &Value);
  /// @param Value Seed of the jitter between cancels.
  dispatcher_builder &seed(std::uint64_t Value);
  dispatcher_builder &callbacks(dispatcher_callbacks Value);

  /// @return The dispatcher, or which part is missing.
  result<dispatcher, dispatcher_build_error> build();

private:
  std::optional<process_key> Self;
  limits_declaration Limits;
  std::uint64_t Seed{0};
  dispatcher_callbacks Callbacks;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_DISPATCHER_BUILDER_BASE_H
