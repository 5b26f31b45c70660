/** @file list_sender_base.h Sends the list of backend servers to entries in parts. */
#ifndef POLLENSTALL_CONTROL_LIST_SENDER_BASE_H
#define POLLENSTALL_CONTROL_LIST_SENDER_BASE_H

#include "control_link/control_link.h"
#include "directory/directory_type.h"
#include "entry_listener_base.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace pollenstall {

/// Returns at most MaxCount listings whose names follow After, see backend_directory.
using listings_after_hook =
    std::function<std::vector<backend_listing>(const instance_name &After, std::size_t MaxCount)>;

/// Functions that a list sender uses.
struct list_sender_callbacks {
  listings_after_hook ListingsAfter;
  std::function<void(connection_number To, link_backends Part)> Send;
};

/**
 * Sends the list to entries that have connected, by turns and at a limited rate. If all were sent
 * at once, after the loss of all processes in a large fleet, heartbeats would wait behind them for
 * seconds, followers would elect another leader, and entries would close connections on which
 * nothing else arrives. An entry can place work with its first part. Each entry starts at another
 * place of the list, so that the first parts of all entries cover all backend servers.
 *
 * A part holds the listings as they are when it is sent, so it never undoes a change that was sent
 * before it.
 */
class list_sender {
public:
  /// @param BytesPerSecond Rate of all parts together.
  list_sender(double BytesPerSecond, list_sender_callbacks Callbacks)
      : Rate(BytesPerSecond), Functions(std::move(Callbacks)) {}

  /// Sends the list to this connection from now on.
  void start(connection_number To, mono_time Now);
  void stop(connection_number To) { Progress.erase(To); }
  void clear();
  /// Sends the parts that are due.
  void advance(mono_time Now);

private:
  struct list_progress {
    std::optional<instance_name> Start; ///< The first part follows this name. Unset before it.
    instance_name Last;                 ///< Name of the last listing sent.
    bool Wrapped{false};                ///< The names up to Start are being sent.
    bool Complete{false};
  };

  void refill(mono_time Now);
  [[nodiscard]] std::size_t partSize() const;
  link_backends nextPart(list_progress &Current);

  double Rate;
  list_sender_callbacks Functions;
  double AvailableBytes{0};
  mono_time RefilledAt{};
  instance_name NextStart; ///< The last name in the newest first part; empty at the list's end.
  std::map<connection_number, list_progress> Progress;
  std::deque<connection_number> Turns;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LIST_SENDER_BASE_H
