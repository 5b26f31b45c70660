/** @file slot_turnover_base.h How long requests hold a slot, and how often slots become free. */
#ifndef POLLENSTALL_FLEET_QUEUE_SLOT_TURNOVER_BASE_H
#define POLLENSTALL_FLEET_QUEUE_SLOT_TURNOVER_BASE_H

#include <algorithm>

namespace pollenstall {

/// Average time for which the requests of this entry hold a slot.
class slot_turnover {
public:
  /// Records how long a completed request held its slot.
  void record(double Ms) {
    Ms = std::max(Ms, 0.0);
    HoldingMs += (Ms - HoldingMs) * std::max(Weight, 1.0 / ++Samples);
  }
  /// Returns the number of slots that become free each second if this many are in use; 0 if no
  /// request has completed yet.
  [[nodiscard]] double freedPerSecond(double SlotsInUse) const {
    return HoldingMs > 0 ? SlotsInUse * MsPerSecond / HoldingMs : 0;
  }

private:
  static constexpr double MsPerSecond = 1e3;
  /// Weight of the latest request. Answers differ by a factor of two, so that the average of some
  /// twenty of them is within a tenth.
  static constexpr double Weight = 0.05;

  double HoldingMs{0};
  double Samples{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_QUEUE_SLOT_TURNOVER_BASE_H
