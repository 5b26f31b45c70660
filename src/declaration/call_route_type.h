/** @file call_route_type.h Routes of calls that carry all scheduling data in their headers,
 * and the declared performance of engines. */
#ifndef POLLENSTALL_DECLARATION_CALL_ROUTE_TYPE_H
#define POLLENSTALL_DECLARATION_CALL_ROUTE_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// Whether a call that may have run is retried.
enum class retry_mode : std::uint8_t {
  Always, ///< The call is idempotent and may be retried.
  Resume, ///< An event stream that any engine can resume after its last event.
  Never,  ///< The call runs at most once.
};

/// A service with its weight in a route.
struct service_share {
  service_name Service;
  std::uint32_t Weight{1};

  bool operator==(const service_share &) const = default;
};

/// Routes calls to services. Of a host's routes, the longest matching path prefix wins.
struct call_route {
  std::string Name;
  std::string Host;       ///< Without port, lower case.
  std::string PathPrefix; ///< Begins and ends with "/"; compared with the path as received.
  retry_mode RetryMode{retry_mode::Never};
  std::chrono::milliseconds Timeout{10'000};   ///< Deadline of the final answer.
  std::chrono::milliseconds Target{1'000};     ///< Latency target of the answer or first event.
  std::chrono::milliseconds LongestGap{1'000}; ///< Longest time between two events of a stream.
  /// Time without an event after which callers leave; 0 if only the timeout counts.
  std::chrono::milliseconds Patience{0};
  std::uint32_t Priority{0}; ///< 0 is the most urgent.
  std::uint32_t MaxAttempts{1};
  bool Anonymous{false}; ///< Calls need no key.
  std::vector<service_share> Services;

  bool operator==(const call_route &) const = default;
};

/// Declared performance of an engine; the starting point for the measured values.
struct engine_profile {
  std::uint32_t BatchSlots{16};  ///< Requests that one batch holds.
  tokens Memory;                 ///< Capacity of the KV cache.
  std::uint32_t StepsPerPass{1}; ///< Token steps in one decode pass.
  double StepMs{10.0};           ///< Duration of one token step.
  double PerSequenceMs{0.0};     ///< Added to a step for each decoding request.
  double PerContextMs{0.0};      ///< Added to a step for each 1,000 context tokens of those.
  double PrefillTokensPerSecond{20'000}; ///< Prompt tokens prefilled per second.
  double MsPerMillionPairs{0.0};         ///< Prefill time, for pairs of a token and an earlier one.
  tokens PrefillChunk{2'048};            ///< Limit of prompt tokens prefilled in one step.

  bool operator==(const engine_profile &) const = default;
};

/// Size limits and timeouts of a caller's requests.
struct caller_limits {
  std::size_t HeaderBytes{16U << 10U};
  std::size_t BodyBytes{4U << 20U};
  std::chrono::milliseconds HeaderTimeout{10'000};
  std::chrono::milliseconds IdleTimeout{75'000};

  bool operator==(const caller_limits &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_CALL_ROUTE_TYPE_H
