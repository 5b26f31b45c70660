/** @file peer_link_base.h The connections of a control host to all other control hosts. */
#ifndef POLLENSTALL_PEER_LINK_PEER_LINK_BASE_H
#define POLLENSTALL_PEER_LINK_PEER_LINK_BASE_H

#include "core/core.h"
#include "peer_link/framed_listener_base.h"
#include "peer_link/peer_link_type.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// Addresses, limits and callbacks of a peer link.
struct peer_link_options {
  std::string Fleet;
  member_id Self;
  failure_domain_name Domain;             ///< Of this host; reported to the others.
  std::string Listen;                     ///< "IP:port"; with port 0 the kernel assigns a port.
  std::map<member_id, std::string> Peers; ///< Where the other hosts listen.
  std::vector<std::string> Seeds;         ///< Addresses of control hosts whose ids are unknown.
  std::chrono::milliseconds BackOffMin{20};
  std::chrono::milliseconds BackOffMax{500};
  std::size_t RingCapacity{4096};
  std::function<void()> NotifyOwner; ///< Called on the link's thread when messages are pending.
};

/**
 * Runs one thread with an outgoing connection to each peer for sending, and an incoming one from
 * each for receiving. It drops messages instead of blocking: the consensus protocol resends.
 * Only one thread may call send() and only one may call drain().
 */
class peer_link {
public:
  peer_link(const peer_link &) = delete;
  peer_link &operator=(const peer_link &) = delete;
  ~peer_link();

  /// @return The listening address, with the port that the kernel assigned.
  [[nodiscard]] std::string address() const;

  /// Sends this host's addresses to every peer, now and after each reconnect.
  void announce(peer_addresses Addresses);

  /// Sends to Message.To.Member if its address is known.
  void send(consensus_message Message);

  /// Passes each pending message to Handle. @return The number of messages.
  std::size_t drain(const std::function<void(peer_message &&)> &Handle);

  /// May be called from any thread.
  [[nodiscard]] peer_link_counters counters() const;

private:
  friend class peer_link_builder;
  class state;
  explicit peer_link(std::unique_ptr<state> Started);

  std::unique_ptr<state> State;
};

/// Builds and starts a peer link.
class peer_link_builder {
public:
  peer_link_builder(std::string Fleet, member_id Self, std::string Listen);

  /// Sets the failure domain that the other control hosts are told.
  peer_link_builder &domain(failure_domain_name Domain);
  peer_link_builder &peer(member_id Member, std::string Address);
  /// Adds an address at which a control host may listen. A hello goes to it on each connection
  /// until that host's own hello arrives.
  peer_link_builder &seed(std::string Address);
  /// Sets a callback that runs on the link's thread when messages are ready for drain().
  peer_link_builder &onMessages(std::function<void()> Wake);
  peer_link_builder &backOff(std::chrono::milliseconds Min, std::chrono::milliseconds Max);

  /// Starts to listen, and starts the thread.
  result<std::unique_ptr<peer_link>, listen_error> start();

private:
  peer_link_options Options;
};

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_PEER_LINK_BASE_H
