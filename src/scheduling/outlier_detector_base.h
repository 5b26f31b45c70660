/** @file outlier_detector_base.h Ejects slow and failing backend servers and probes them. */
#ifndef POLLENSTALL_SCHEDULING_OUTLIER_DETECTOR_BASE_H
#define POLLENSTALL_SCHEDULING_OUTLIER_DETECTOR_BASE_H

#include "core/core.h"

#include <cstdint>
#include <map>
#include <vector>

namespace pollenstall {

/// Whether a backend server receives work.
enum class ejection_state : std::uint8_t {
  Admitted, ///< Receives work.
  Ejected,  ///< Receives no work until its ejection time has passed.
  Probing,  ///< Receives one attempt at a time; the result admits or ejects it.
};

/// Learned speed of a server, for comparison with its peers.
struct peer_speed {
  backend_key Backend;
  double Rate{0};    ///< Prefill rate; 0 if there is none (plain services).
  double Samples{0}; ///< Sum of the weights of the samples behind the rate.
};

/**
 * Outlier detection between peers. Ejects a server that fails many of its attempts or is far slower
 * than the median of its peers. The share of ejected servers is limited, because a fault that
 * affects all servers, or this host's own network, must not eject every server.
 */
class outlier_detector {
public:
  /// Records the end of an attempt. @param Failed Whether it failed because of the server.
  void observe(const backend_key &Backend, bool Failed, mono_time Now);
  /// Starts probing servers whose ejection time has passed and ejects outliers among the peers.
  /// @param Peers Servers of one service, which are compared with each other.
  /// @param MaxEjectPercent Limit for the peers that are ejected or probing.
  void updateEjections(const std::vector<peer_speed> &Peers, std::uint32_t MaxEjectPercent,
                       mono_time Now);
  void eraseBackend(const backend_key &Backend) { Servers.erase(Backend); }

  /// Returns whether the server may receive another attempt.
  /// @param Outstanding Attempts of this host on the server.
  [[nodiscard]] bool admits(const backend_key &Backend, std::uint32_t Outstanding) const;
  [[nodiscard]] ejection_state state(const backend_key &Backend) const;

private:
  struct server_state {
    ejection_state State{ejection_state::Admitted};
    double FailureShare{0};
    double Samples{0};
    std::uint32_t ConsecutiveFailures{0};
    std::uint32_t EjectionCount{0};
    mono_time EjectedUntil;
    bool Slow{false}; ///< Ejected for its speed and not for failures.
  };

  static bool isFailing(const server_state &Server);
  static void eject(server_state &Server, bool Slow, mono_time Now);

  std::map<backend_key, server_state> Servers;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_OUTLIER_DETECTOR_BASE_H
