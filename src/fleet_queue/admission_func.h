/** @file admission_func.h When waiting requests could start, and when refused callers return. */
#ifndef POLLENSTALL_FLEET_QUEUE_ADMISSION_FUNC_H
#define POLLENSTALL_FLEET_QUEUE_ADMISSION_FUNC_H

#include <optional>

namespace pollenstall {

/// Figures from which the start of a request is estimated.
struct start_figures {
  double Ahead{0};          ///< Requests of the fleet that go before it.
  double FreeSlots{0};      ///< Free slots of the service.
  double FreedPerSecond{0}; ///< Slots that become free.
  /// Requests a second that arrive and go before it; 0 for requests in time.
  double OvertakingPerSecond{0};
};

/// Returns the milliseconds until the request could start; nothing if that can't be estimated.
std::optional<double> startDelayMs(const start_figures &Figures);

/**
 * Returns when the caller of a refused request should return, in milliseconds from now: between
 * the time at which there is room and the last time at which the caller still returns. The delays
 * are spread so that refused callers don't meet again.
 * @param RoomMs When there is room, by the estimate.
 * @param RemainingMs Time until the caller's deadline.
 * @param Draw A random number from 0 to 1.
 */
double returnDelayMs(double RoomMs, double RemainingMs, double Draw);

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_QUEUE_ADMISSION_FUNC_H
