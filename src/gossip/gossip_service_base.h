/** @file gossip_service_base.h The thread that runs the membership protocol over UDP. */
#ifndef POLLENSTALL_GOSSIP_GOSSIP_SERVICE_BASE_H
#define POLLENSTALL_GOSSIP_GOSSIP_SERVICE_BASE_H

#include "gossip/gossip_codec_func.h"
#include "gossip/gossip_type.h"

#include <memory>
#include <string>

namespace pollenstall {

/// Options of the gossip thread.
struct gossip_options {
  gossip_secret Secret;
  peer_address Bind; ///< With port 0 the kernel chooses the port; see gossip_service::address().
  membership_identity Identity; ///< If it has no addresses, the bound address is advertised.
  membership_settings Settings;
  std::uint64_t RandomSeed{0};
};

/**
 * Owns the socket, the fleet_membership and the thread that serves them. Exactly one thread may
 * write to announcements() and exactly one may read from changes().
 */
class gossip_service {
public:
  /// Binds the socket; start() starts the thread.
  static result<std::unique_ptr<gossip_service>, gossip_error> create(gossip_options Options);

  gossip_service(const gossip_service &) = delete;
  gossip_service &operator=(const gossip_service &) = delete;
  ~gossip_service(); ///< Stops the thread if stop() was not called.

  /// Returns the bound address, at which peers reach this host.
  [[nodiscard]] const peer_address &address() const;

  /// Ring to the gossip thread. If it is full, the caller must answer the backend server with an
  /// error; the backend server sends the announcement again.
  bounded_ring<received_announcement> &announcements();
  /// Ring from the gossip thread. Set its onWake() before start(); the callback runs on the gossip
  /// thread.
  bounded_ring<membership_event> &changes();

  /// Starts the thread. Call once, after onWake() is set.
  void start();
  /// Notifies the fleet that this process stops, then joins the thread.
  void stop();

  /// Returns the state as JSON, or an empty string if the thread does not run. Waits for the
  /// thread; callable from any thread.
  [[nodiscard]] std::string dump();
  [[nodiscard]] const gossip_counters &counters() const;

private:
  class event_loop;
  explicit gossip_service(std::unique_ptr<event_loop> NewLoop);

  std::unique_ptr<event_loop> Loop;
};

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_GOSSIP_SERVICE_BASE_H
