/** @file gossip_service_base.h The thread that carries membership over UDP. */
#ifndef POLLENSTALL_GOSSIP_GOSSIP_SERVICE_BASE_H
#define POLLENSTALL_GOSSIP_GOSSIP_SERVICE_BASE_H

#include "gossip/gossip_codec_func.h"
#include "gossip/gossip_type.h"

#include <memory>
#include <string>

namespace pollenstall {

/// What the gossip thread needs from the settings.
struct gossip_options {
  gossip_secret Secret;
  peer_address Bind;            ///< Port 0: the kernel's choice, see gossip_service::address().
  membership_identity Identity; ///< Without addresses: the bound address is told to others.
  membership_settings Settings;
  std::uint64_t RandomSeed{0};
};

/**
 * Owns the socket, the fleet_membership and the thread that runs both.
 * announcements() takes from exactly one thread, changes() gives to exactly one thread.
 */
class gossip_service {
public:
  /// Binds the socket; the thread runs from start() on.
  static result<std::unique_ptr<gossip_service>, gossip_error> create(gossip_options Options);

  gossip_service(const gossip_service &) = delete;
  gossip_service &operator=(const gossip_service &) = delete;
  ~gossip_service(); ///< Stops, if stop() was not called.

  /// Where others reach this host.
  [[nodiscard]] const peer_address &address() const;

  /// Ring towards the thread; what it refuses must be refused to the backend server, which repeats.
  bounded_ring<heard_announcement> &announcements();
  /// Ring out of the thread. Set its onWake() before start(); the hook runs on the gossip thread.
  bounded_ring<membership_event> &changes();

  /// Starts the thread; call once, after onWake() is set.
  void start();
  /// Tells the fleet that this process stops, then joins the thread.
  void stop();

  /// @return The state as JSON; waits for the thread. Empty where it does not run. From any thread.
  [[nodiscard]] std::string dump();
  [[nodiscard]] const gossip_counters &counters() const;

private:
  class duty;
  explicit gossip_service(std::unique_ptr<duty> Owned);

  std::unique_ptr<duty> Duty;
};

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_GOSSIP_SERVICE_BASE_H
