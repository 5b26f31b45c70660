/** @file ejection_base.h Sets slow and failing backend servers aside and probes them back. */
#ifndef POLLENSTALL_SCHEDULING_EJECTION_BASE_H
#define POLLENSTALL_SCHEDULING_EJECTION_BASE_H

#include "core/core.h"

#include <cstdint>
#include <map>
#include <vector>

namespace pollenstall {

/// How a backend server is treated.
enum class ejection_state : std::uint8_t {
  Admitted, ///< Gets work.
  Ejected,  ///< Gets none until its time is over.
  Probing,  ///< Gets one attempt at a time; its end decides.
};

/// What a review compares between the servers of one group.
struct peer_speed {
  backend_key Backend;
  double Rate{0};    ///< Learnt speed; 0 where none is learnt (plain services).
  double Samples{0}; ///< How much the rate rests on.
};

/**
 * Outlier detection between peers. A server is set aside where it fails much of what it gets or is
 * far slower than the median of its peers; never more than a share of the group, because a fault
 * that hits all of them (or this host's own network) must not leave none.
 */
class ejection {
public:
  /// An attempt on the server ended. @param Failed Whether the server is to blame.
  void observe(const backend_key &Backend, bool Failed, mono_time Now);
  /// Takes the server's learnt speed into account and decides whom to set aside.
  void review(const std::vector<peer_speed> &Group, std::uint32_t MostPercent, mono_time Now);
  void forget(const backend_key &Backend) { Servers.erase(Backend); }

  /// @param Outstanding Attempts of this host on the server. @return Whether it may get one more.
  [[nodiscard]] bool admits(const backend_key &Backend, std::uint32_t Outstanding) const;
  [[nodiscard]] ejection_state state(const backend_key &Backend) const;

private:
  struct server_state {
    ejection_state State{ejection_state::Admitted};
    double FailureShare{0};
    double Samples{0};
    std::uint32_t FailedInRow{0};
    std::uint32_t TimesEjected{0};
    mono_time Until;
    bool Slow{false}; ///< Set aside for its speed rather than for failures.
  };

  static bool fails(const server_state &Server);
  static void eject(server_state &Server, bool Slow, mono_time Now);

  std::map<backend_key, server_state> Servers;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_EJECTION_BASE_H
