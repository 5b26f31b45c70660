/** @file call_route_type.h Routes whose calls say all that is needed in their head, and what
 * engines are declared to be able to do. */
#ifndef POLLENSTALL_DECLARATION_CALL_ROUTE_TYPE_H
#define POLLENSTALL_DECLARATION_CALL_ROUTE_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// What may be repeated of a call that may have run.
enum class repeat_rule : std::uint8_t {
  Always, ///< Idempotent.
  Resume, ///< An event stream that goes on behind its last event, on any engine.
  Never,  ///< At most one run.
};

/// A service with its part of a route's calls.
struct service_share {
  service_name Service;
  std::uint32_t Weight{1};

  bool operator==(const service_share &) const = default;
};

/// Sends calls to services; of a host's routes the longest prefix that begins the path wins.
struct call_route {
  std::string Name;
  std::string Host;       ///< Without port, lower case.
  std::string PathPrefix; ///< Begins and ends with "/"; compared with the path as it was sent.
  repeat_rule Repeat{repeat_rule::Never};
  std::chrono::milliseconds Timeout{10'000};   ///< A call gets its final answer by then.
  std::chrono::milliseconds Target{1'000};     ///< To the answer, of a stream to its first event.
  std::chrono::milliseconds LongestGap{1'000}; ///< Between two events of a stream.
  std::uint32_t Priority{0};                   ///< 0 is the most urgent.
  std::uint32_t MaxAttempts{1};
  bool Anonymous{false}; ///< Needs no key.
  std::vector<service_share> Services;

  bool operator==(const call_route &) const = default;
};

/// How an engine works, as declared: a prior for what is learnt.
struct engine_figures {
  std::uint32_t Places{16};      ///< Requests in one batch.
  tokens Memory;                 ///< KV memory.
  std::uint32_t StepsPerPass{1}; ///< Token steps of a pass that writes.
  double StepMs{10.0};           ///< Of one token step.
  double PerSequenceMs{0.0};     ///< Added to a step for each request that writes.
  double PerContextMs{0.0};      ///< Added to a step for each 1,000 tokens of their context.
  double ReadPerSecond{20'000};  ///< Prompt tokens.
  double PairsMs{0.0};           ///< For a million pairs of a token and an earlier one.
  tokens Chunk{2'048};           ///< Prompt tokens read in one step at most.

  bool operator==(const engine_figures &) const = default;
};

/// Bounds on what a caller may send, and how long it may take.
struct caller_limits {
  std::size_t HeaderBytes{16U << 10U};
  std::size_t BodyBytes{4U << 20U};
  std::chrono::milliseconds HeaderTimeout{10'000};
  std::chrono::milliseconds IdleTimeout{75'000};

  bool operator==(const caller_limits &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_CALL_ROUTE_TYPE_H
