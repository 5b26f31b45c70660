/** @file entry_hub_base.h The connections of all entries, on a thread of their own. */
#ifndef POLLENSTALL_CONTROL_ENTRY_HUB_BASE_H
#define POLLENSTALL_CONTROL_ENTRY_HUB_BASE_H

#include "control_link/control_link.h"
#include "peer_link/peer_link.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace pollenstall {

struct connection_tag {};
/// One connection of an entry, in this life of the control host.
using connection_number = strong_id<connection_tag>;

struct connection_closed {};

/// To the decision thread.
struct hub_event {
  connection_number Connection;
  std::variant<link_request, connection_closed> What;
};

/// From the decision thread. After link_not_leader the connection is closed.
struct hub_order {
  connection_number Connection;
  link_reply Reply;
};

struct entry_hub_plan {
  std::string Fleet;
  std::string Listen;              ///< "IP:port"
  std::function<void()> WakeOwner; ///< Called on the hub's thread when events wait.
};

struct entry_hub_counters {
  std::uint64_t Connections{0}; ///< Open now.
  std::uint64_t Garbage{0};     ///< Messages that did not decode; their connections were closed.
  std::uint64_t Refused{0};     ///< Connections over the bound.
};

/// Frames and codes only; what is answered is decided elsewhere. send() and drain() belong to one
/// thread.
class entry_hub {
public:
  static result<std::unique_ptr<entry_hub>, listen_error> start(entry_hub_plan Plan);
  ~entry_hub();
  entry_hub(const entry_hub &) = delete;
  entry_hub &operator=(const entry_hub &) = delete;

  [[nodiscard]] std::string address() const;
  void send(hub_order Order);
  std::size_t drain(const std::function<void(hub_event &&)> &Handle);
  /// May be called from any thread.
  [[nodiscard]] entry_hub_counters counters() const;

private:
  class state;
  explicit entry_hub(std::unique_ptr<state> Started);
  std::unique_ptr<state> State;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_ENTRY_HUB_BASE_H
