/** @file relay_type.h Limits of the data plane and the orders that it executes. */
#ifndef POLLENSTALL_RELAY_RELAY_TYPE_H
#define POLLENSTALL_RELAY_RELAY_TYPE_H

#include "declaration/declaration.h"
#include "dispatch/dispatch_type.h"
#include "evacuation/evacuation.h"
#include "hold_watch/hold_watch.h"
#include "path/path_type.h"
#include "suspect/suspect.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

namespace pollenstall {

/// Limits on the resources of this process that one caller or one backend server can use.
struct relay_limits {
  using ms = std::chrono::milliseconds;

  std::size_t HeaderBytes{16U << 10U}; ///< Maximum size of a request's or an answer's head.
  ms HeaderTimeout{10'000};            ///< From the first byte of a head to its end.
  ms BodyTimeout{60'000};              ///< From the end of the head to the end of the body.
  ms IdleTimeout{75'000};   ///< Maximum time between two requests on a caller's connection.
  ms WriteStall{30'000};    ///< A caller that accepts no bytes for this long is treated as gone.
  ms ConnectTimeout{1'000}; ///< For connecting to a backend server.
  ms UserTimeout{10'000};   ///< Maximum time that sent bytes may stay unacknowledged by a peer.
  /// Maximum time that a request waits for a declaration in force before it is refused.
  ms ReadyWait{0};
  ms CancelTimeout{
      2'000}; ///< For one request of the entry itself: cancel, memory hold or list of attempts.
  ms BackendIdle{30'000};            ///< Idle timeout of a pooled connection to a backend server.
  std::size_t MaxTunnels{512};       ///< Connections of other entries that this one carries.
  std::size_t MaxConnections{8'192}; ///< Maximum number of callers' connections.
  std::size_t MaxEventBytes{1U << 20U}; ///< Maximum size of one event of a stream.
  std::size_t BodyMemory{1U << 30U};    ///< Maximum size of all bodies in memory.
  /// Maximum size of all parts of answers that wait for their rest. Each part may take a share of
  /// what is free, and at most MaxEventBytes.
  std::size_t AnswerMemory{256U << 20U};
  /// An answer with a Content-Length up to this is buffered and relayed when it is complete; 0:
  /// each part is relayed when it arrives.
  std::size_t HeldAnswerBytes{64U << 10U};
  hold_limits Holds; ///< Of memory at engines that no request uses.
};

/// The declaration in force; null if this entry must not accept new requests.
struct declaration_in_force {
  declaration_view View;
  /// End of its lease. The relay thread checks the clock itself: after a freeze of the process it
  /// may run before the decision thread has reported the end of the lease.
  mono_time Until{mono_time::max()};
  /// A newer declaration is on its way; it may know a route, key or model that this one does not.
  bool Stale{false};
};

/// A cancel order, with a fact about the backend server that the relay does not know.
struct cancel_order {
  cancel_attempt Cancel;
  /// Whether the backend server accepts cancel requests. Otherwise closing the connection ends the
  /// attempt, and the cancel is confirmed at once: a plain service holds no memory, and an engine
  /// of the control directory ends an attempt when its connection closes.
  bool SupportsCancel{true};
};

/// Asks an engine which attempts it holds. The answer is attempts_listed; there may be none.
struct list_attempts {
  backend_key Backend;
};

/// The attempts that an engine holds, for any owner.
struct attempts_listed {
  backend_key Backend;
  std::vector<attempt_id> Attempts;
};

/// Backend servers that became known, and those that have ended.
struct path_servers_update {
  std::vector<path_server> Added;
  std::vector<backend_key> Removed;
};

/// All entries that may carry connections for this one and for which it may.
struct tunnel_entries_update {
  std::vector<tunnel_peer> Entries;
};

/// The suspected requests. The relay refuses the blocked ones and reports any that completes.
struct suspects_update {
  std::shared_ptr<const suspect_list> List;
};

/// The evacuated failure domains and the domains of the servers; replaces the previous ones.
struct evacuations_update {
  std::shared_ptr<const server_evacuations> Evacuations;
};

/// Messages of the relay about suspects: a server crashed, a suspected request completed, or an
/// answer with a suspected part of a prompt has begun.
using crash_update = std::variant<crash_report, suspect_cleared, suspect_run_begun>;

/// Orders from the decision thread to the relay thread. Claims go to the control link instead.
using relay_order = std::variant<start_attempt, resume_attempt, cancel_order, finish_request,
                                 declaration_in_force, list_attempts, suspects_update,
                                 path_servers_update, tunnel_entries_update, evacuations_update>;

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RELAY_TYPE_H
