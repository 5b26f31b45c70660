/** @file entry_listener_base.h The connections of all entries, on a separate thread. */
#ifndef POLLENSTALL_CONTROL_ENTRY_LISTENER_BASE_H
#define POLLENSTALL_CONTROL_ENTRY_LISTENER_BASE_H

#include "control_link/control_link.h"
#include "peer_link/peer_link.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace pollenstall {

struct connection_tag {};
/// Id of an entry's connection, unique within this incarnation of the control host.
using connection_number = strong_id<connection_tag>;

/// The connection was closed.
struct connection_closed {};

/// An event for the decision thread.
struct entry_event {
  connection_number Connection;
  std::variant<link_request, connection_closed> Message;
};

/// A reply from the decision thread. The connection is closed after link_not_leader.
struct outgoing_reply {
  connection_number Connection;
  link_reply Reply;
};

/// Addresses and callbacks of an entry listener.
struct entry_listener_options {
  std::string Fleet;
  std::string Listen;                ///< "IP:port"
  std::function<void()> NotifyOwner; ///< Called on the listener's thread when events are pending.
};

/// Counters of an entry listener, for metrics and dumps.
struct entry_listener_counters {
  std::uint64_t Connections{0}; ///< Currently open.
  std::uint64_t Undecodable{0}; ///< Messages that failed to decode; their connections were closed.
  std::uint64_t Refused{0};     ///< Connections refused over the limit.
};

/// Accepts entries' connections, and reads and writes their messages. entry_server decides the
/// replies. send() and drain() must be called on the same thread.
class entry_listener {
public:
  /// Starts to listen, and starts the thread.
  static result<std::unique_ptr<entry_listener>, listen_error>
  start(entry_listener_options Options);
  ~entry_listener();
  entry_listener(const entry_listener &) = delete;
  entry_listener &operator=(const entry_listener &) = delete;

  [[nodiscard]] std::string address() const;
  void send(outgoing_reply Reply);
  std::size_t drain(const std::function<void(entry_event &&)> &Handle);
  /// May be called from any thread.
  [[nodiscard]] entry_listener_counters counters() const;

private:
  class state;
  explicit entry_listener(std::unique_ptr<state> Started);
  std::unique_ptr<state> State;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_ENTRY_LISTENER_BASE_H
