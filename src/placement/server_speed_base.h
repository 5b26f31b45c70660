/** @file server_speed_base.h Estimates how much slower than expected a server answers. */
#ifndef POLLENSTALL_PLACEMENT_SERVER_SPEED_BASE_H
#define POLLENSTALL_PLACEMENT_SERVER_SPEED_BASE_H

#include "core/core.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace pollenstall {

/// A measured time of a server, compared with the expected one.
struct speed_sample {
  double Slowness{1}; ///< Measured over expected time.
  double Fill{0};     ///< Used part of the server's slots or memory, whichever is higher.
  double Weight{1};
  mono_time Time;
};

/**
 * Estimates by which factor a server is slower than expected, as a weighted median of the latest
 * samples. Their weights halve with each half-life, against a constant weight for normal speed: a
 * server without recent samples counts as normal, gets work and is thereby measured again.
 *
 * Some servers are slow only while nearly full. A normal sample tells nothing of the speed at a
 * higher fill, and slow ones do not count at a lower fill at which there are normal samples.
 */
class server_speed {
public:
  /// Lower estimates count as normal, so that noise changes no choice. In the fleet model, a few of
  /// 5,000 series of gaps at normal engines took 1.6 to 2.4 times as long as expected.
  static constexpr double MinSlowness = 1.8;
  /// A higher factor brings no other choice and would delay the recovery of the median.
  static constexpr double MaxSlowness = 16;

  void record(const speed_sample &Sample);
  /// Returns the factor at this fill; 1 if it is below MinSlowness.
  [[nodiscard]] double slowness(double Fill, mono_duration HalfLife, mono_time Now) const;
  /// Returns the median of the recent samples at any fill; empty without recent samples.
  [[nodiscard]] std::optional<double> measured(mono_duration HalfLife, mono_time Now) const;
  /// Returns whether any kept sample is slow. Cheap, as it is asked for each candidate.
  [[nodiscard]] bool mayBeSlow() const { return SlowSamples > 0; }

private:
  std::vector<speed_sample> Samples; ///< The latest, in a ring.
  std::size_t Next{0};               ///< The oldest sample once the ring is full.
  std::size_t SlowSamples{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_SERVER_SPEED_BASE_H
