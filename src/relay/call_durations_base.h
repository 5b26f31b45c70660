/** @file call_durations_base.h How long the last calls of each kind took. */
#ifndef POLLENSTALL_RELAY_CALL_DURATIONS_BASE_H
#define POLLENSTALL_RELAY_CALL_DURATIONS_BASE_H

#include "dispatch/dispatch_type.h"
#include "scheduling/scheduling.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace pollenstall {

/**
 * Durations of complete answers, from a request's arrival to the end of its answer. They tell a
 * stopping entry which requests may take longer than it has left.
 */
class call_durations {
public:
  static constexpr std::size_t Kept = 64; ///< Durations of each kind.

  void record(const service_name &Service, length_class Length, mono_duration Took);
  /// @return The longest of the last durations; nothing if no call of this kind has ended.
  [[nodiscard]] std::optional<mono_duration> longest(const service_name &Service,
                                                     length_class Length) const;

private:
  struct last_durations {
    std::array<mono_duration, Kept> Values{};
    std::size_t Next{0};
    std::size_t Count{0};
  };

  std::map<std::pair<service_name, length_class>, last_durations> Kinds;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_DURATIONS_BASE_H
