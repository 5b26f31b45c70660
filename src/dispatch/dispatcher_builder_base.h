/** @file dispatcher_builder_base.h Builds a dispatcher. */
#ifndef POLLENSTALL_DISPATCH_DISPATCHER_BUILDER_BASE_H
#define POLLENSTALL_DISPATCH_DISPATCHER_BUILDER_BASE_H

#include "dispatch/dispatcher_base.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace pollenstall {

/// What a dispatcher cannot be built without.
enum class dispatcher_build_error : std::uint8_t {
  NoProcess, ///< Attempts would not be unique in the fleet.
  NoSubmit,
  NoGroups,
};

/// Collects the parts of a dispatcher. It starts unready: see dispatcher::setReady().
class dispatcher_builder {
public:
  /// @param Self This life of this entry; it is part of every attempt's id.
  dispatcher_builder &process(process_key Self);
  /// Limits until applyLimits() brings others.
  dispatcher_builder &limits(const limits_declaration &Value);
  /// @param Value Seed of the pauses between cancels.
  dispatcher_builder &seed(std::uint64_t Value);
  dispatcher_builder &seam(dispatch_seam Value);

  /// @return The dispatcher, or what is missing.
  result<dispatcher, dispatcher_build_error> build();

private:
  std::optional<process_key> Self;
  limits_declaration Limits;
  std::uint64_t Seed{0};
  dispatch_seam Seam;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_DISPATCHER_BUILDER_BASE_H
