/** @file evacuation_type.h Messages between the threads of an entry about evacuated domains. */
#ifndef POLLENSTALL_EVACUATION_EVACUATION_TYPE_H
#define POLLENSTALL_EVACUATION_EVACUATION_TYPE_H

#include <cstdint>

namespace pollenstall {

/// The relay obeys the list of this version.
struct evacuations_in_use {
  std::uint64_t Version{0};
  std::uint32_t RequestsLeft{0}; ///< Sent requests that use a server of an evacuated domain.

  bool operator==(const evacuations_in_use &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_EVACUATION_EVACUATION_TYPE_H
