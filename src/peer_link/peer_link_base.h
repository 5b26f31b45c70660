/** @file peer_link_base.h The connections of one control host to all others. */
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

/// Everything a peer link is built from.
struct peer_link_plan {
  std::string Fleet;
  member_id Self;
  std::string Listen;                     ///< "IP:port"; port 0 takes one from the kernel.
  std::map<member_id, std::string> Peers; ///< Where the others listen.
  std::vector<std::string> Seeds;         ///< Where others may listen whose ids are not known.
  std::chrono::milliseconds BackOffMin{20};
  std::chrono::milliseconds BackOffMax{500};
  std::size_t RingCapacity{4096};
  std::function<void()> WakeOwner; ///< Called on the link's thread when messages wait.
};

/**
 * One thread with one connection out to each peer, for sending, and one in from each, for
 * receiving. It loses messages rather than wait: the log's own protocol sends again.
 * send() and drain() belong to one thread each.
 */
class peer_link {
public:
  peer_link(const peer_link &) = delete;
  peer_link &operator=(const peer_link &) = delete;
  ~peer_link();

  /// @return Where it listens, with the port that the kernel gave.
  [[nodiscard]] std::string address() const;

  /// Tells every peer where this host listens, now and after each reconnect.
  void announce(peer_addresses Addresses);

  /// Sends to Message.To.Member, where its address is known.
  void send(consensus_message Message);

  /// Hands every message that waits to Handle.
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

  peer_link_builder &peer(member_id Member, std::string Address);
  /// An address at which some control host may listen; greeted until that host has greeted back.
  peer_link_builder &seed(std::string Address);
  /// Called on the link's thread when messages wait for drain().
  peer_link_builder &onMessages(std::function<void()> Wake);
  peer_link_builder &backOff(std::chrono::milliseconds Min, std::chrono::milliseconds Max);

  /// Listens and starts the thread.
  result<std::unique_ptr<peer_link>, listen_error> start();

private:
  peer_link_plan Plan;
};

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_PEER_LINK_BASE_H
