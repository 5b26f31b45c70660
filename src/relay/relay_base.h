/** @file relay_base.h The data plane of an entry, between callers and backend servers. */
#ifndef POLLENSTALL_RELAY_RELAY_BASE_H
#define POLLENSTALL_RELAY_RELAY_BASE_H

#include "core/core.h"
#include "relay/backend_connector_base.h"
#include "relay/call_interface_type.h"
#include "relay/call_record_type.h"
#include "relay/relay_metrics_base.h"
#include "relay/relay_type.h"

#include <boost/asio/io_context.hpp>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pollenstall {

/// Why the relay could not listen.
struct relay_error {
  std::string Text;
};

/**
 * Runs in the one thread that runs its io_context; every method must be called there. Events go to
 * the decision thread through a ring; its orders arrive through handle().
 */
class relay {
public:
  relay(const relay &) = delete;
  relay &operator=(const relay &) = delete;
  ~relay();

  /// Binds the callers' address and starts to accept connections. Returns the bound address.
  result<std::string, relay_error> listen(std::string_view Address);
  /// Binds the address at which other entries ask this one to carry connections.
  result<done, relay_error> listenForTunnels(std::string_view Address);
  /// Executes an order of the decision thread.
  void handle(relay_order &&Order);
  /// Closes each caller's connection after its current answer. New requests are still accepted, but
  /// for those that may take longer than this entry has left.
  /// @param WorkEndsAt When all requests are ended.
  void beginDrain(mono_time WorkEndsAt);
  /// Refuses new requests from now on; admitted requests continue.
  void beginStop();
  /// Closes everything. This object may be destroyed once the io_context has run out of work.
  void stop();
  /// Returns the number of requests without a final answer.
  [[nodiscard]] std::size_t openCalls() const;
  /// Returns the number of connections that this entry carries for others.
  [[nodiscard]] std::size_t openTunnels() const;
  /// Returns the state as JSON, without keys and prompts.
  [[nodiscard]] std::string dump() const;

private:
  friend class relay_builder;
  class state;
  explicit relay(std::unique_ptr<state> Built);

  std::unique_ptr<state> State;
};

/// Collects the dependencies of a relay and builds it.
class relay_builder {
public:
  /// @param Context Run by one thread. @param Events Ring to the decision thread.
  relay_builder(boost::asio::io_context &Context, bounded_ring<dispatch_event> &Events);

  /// Sets the ring for answers to list_attempts; without it they are dropped.
  relay_builder &attemptLists(bounded_ring<attempts_listed> &Target);
  /// Sets the ring for backend server crashes and for suspected requests that completed; without it
  /// neither is detected.
  relay_builder &crashUpdates(bounded_ring<crash_update> &Target);
  /// Sets the ring for limits that answers state; without it they are dropped.
  relay_builder &rateLimits(bounded_ring<rate_limit_answer> &Target);
  /// Sets the ring for what answers say of their servers; without it they are dropped.
  relay_builder &serverNotices(bounded_ring<server_notice> &Target);
  /// Sets the ring for lists of evacuated domains that the relay obeys; without it none is
  /// reported.
  relay_builder &evacuationReports(bounded_ring<evacuations_in_use> &Target);
  relay_builder &process(process_key Self);
  relay_builder &limits(const relay_limits &Value);
  relay_builder &metrics(std::shared_ptr<prometheus::Registry> Value);
  /// Sets the hooks of a protocol other than chat/completions.
  relay_builder &interface(call_interface Hooks);
  /// Sets a hook that is called at the end of each call, refused calls included.
  relay_builder &onCallEnd(std::function<void(const call_record &)> Hook);
  /// Sets a hook that is called for each answer that its server broke off.
  relay_builder &onAnswerBroken(std::function<void(const broken_answer &)> Hook);
  /// Sets a hook that is called when the memory holds of an attempt are released.
  relay_builder &onHoldsEnded(std::function<void(const hold_record &)> Hook);

  /// Allows connections through other entries, and theirs through this one; see tunnel_server.
  /// @param SelfAsPeer The address at which this entry accepts tunnels, and its failure domain.
  relay_builder &tunnels(std::string FleetName, tunnel_peer SelfAsPeer);
  /// Simulates a partition between this entry and all backend servers, for tests.
  relay_builder &simulatePartition(std::function<partition_effect()> Hook);
  /// Sets a hook for the time during which the relay's thread stood still.
  relay_builder &onStall(std::function<void(mono_duration)> Hook);
  /// Sets a hook for backend servers whose connections begin or cease to need a tunnel.
  relay_builder &onPathChange(std::function<void(const path_change &)> Hook);
  /// Sets a hook for connections that could be made neither directly nor through a peer.
  relay_builder &onConnectFailure(std::function<void(const connect_failure &)> Hook);

  std::unique_ptr<relay> build();

private:
  boost::asio::io_context &Io;
  bounded_ring<dispatch_event> &Ring;
  bounded_ring<attempts_listed> *Lists{nullptr};
  bounded_ring<crash_update> *CrashUpdates{nullptr};
  bounded_ring<rate_limit_answer> *RateLimits{nullptr};
  bounded_ring<server_notice> *ServerNotices{nullptr};
  bounded_ring<evacuations_in_use> *EvacuationReports{nullptr};
  process_key Self;
  relay_limits Limits;
  std::shared_ptr<prometheus::Registry> Registry;
  call_interface Interface;
  std::function<void(const call_record &)> AtCallEnd;
  std::function<void(const broken_answer &)> AtAnswerBroken;
  std::function<void(const hold_record &)> AtHoldsEnded;
  std::string Fleet;
  std::optional<tunnel_peer> OwnPeer;
  std::function<void(const path_change &)> AtPathChange;
  std::function<void(const connect_failure &)> AtConnectFailure;
  std::function<void(mono_duration)> AtStall;
  std::function<partition_effect()> Partition;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RELAY_BASE_H
