/** @file relay_type.h Limits of the data plane, and the orders that it takes. */
#ifndef POLLENSTALL_RELAY_RELAY_TYPE_H
#define POLLENSTALL_RELAY_RELAY_TYPE_H

#include "declaration/declaration.h"
#include "dispatch/dispatch_type.h"
#include "suspect/suspect.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

namespace pollenstall {

/// Bounds on what one caller or one backend server can take of this process.
struct relay_limits {
  using ms = std::chrono::milliseconds;

  std::size_t HeaderBytes{16U << 10U}; ///< Of a request's or an answer's head.
  ms HeaderTimeout{10'000};            ///< From the first byte of a head to its end.
  ms BodyTimeout{60'000};              ///< From the end of the head to the end of the body.
  ms IdleTimeout{75'000};              ///< A caller's connection between two requests.
  ms WriteStall{30'000};               ///< A caller that takes nothing for so long has left.
  ms ConnectTimeout{1'000};            ///< To a backend server.
  ms UserTimeout{10'000};              ///< Sent bytes that a peer does not acknowledge for so long.
  ms ReadyWait{0}; ///< A request waits so long for a declaration in force before it is refused.
  ms CancelTimeout{2'000};           ///< One request that an attempt be ended.
  ms BackendIdle{30'000};            ///< An unused connection to a backend server is closed then.
  std::size_t MaxConnections{8'192}; ///< Callers' connections.
  std::size_t MaxEventBytes{1U << 20U}; ///< Of one event of a stream.
  std::size_t BodyMemory{1U << 30U};    ///< All bodies held at once.
  /// An answer with a length up to this is passed on when it is whole; 0: each part as it comes.
  std::size_t HeldAnswerBytes{64U << 10U};
};

/// The declaration in force; none where this entry may not take new requests.
struct declaration_in_force {
  declaration_view View;
  /// End of its lease. The relay thread looks at the clock itself: after a freeze it may run before
  /// the decision thread has told it that the lease is over.
  mono_time Until{mono_time::max()};
  /// A newer one is on its way: what this one does not know may be known to that one.
  bool Lags{false};
};

/// A cancel, with what the relay cannot know of the backend server.
struct cancel_order {
  cancel_attempt Cancel;
  /// Whether it takes cancels. A plain service holds no memory: closing the connection is all, and
  /// is confirmed at once.
  bool TakesCancels{true};
};

/// Ask an engine which attempts it holds; answered by attempts_listed, or not at all.
struct list_attempts {
  backend_key Backend;
};

/// The attempts that an engine holds, of whatever owner.
struct attempts_listed {
  backend_key Backend;
  std::vector<attempt_id> Attempts;
};

/// Requests to be refused, or whose good end is to be told.
struct suspects_known {
  std::shared_ptr<const suspect_list> List;
};

/// What the relay tells of crashes.
using crash_news = std::variant<crash_report, suspect_cleared>;

/// What the decision thread asks of the relay thread. Claims go to the control link instead.
using relay_order = std::variant<start_attempt, resume_attempt, cancel_order, finish_request,
                                 declaration_in_force, list_attempts, suspects_known>;

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RELAY_TYPE_H
