/** @file rate_limit_type.h What answers state about the rate limit of their backend server. */
#ifndef POLLENSTALL_RATE_LIMIT_RATE_LIMIT_TYPE_H
#define POLLENSTALL_RATE_LIMIT_RATE_LIMIT_TYPE_H

#include "core/core.h"

#include <cstdint>
#include <variant>

namespace pollenstall {

struct requests_per_second_tag {};
using requests_per_second = strong_amount<requests_per_second_tag, double>;

/// Limits are kept and sent in thousandths of a request per second.
constexpr double RateLimitUnits = 1'000;

/// The answer states no limit: the server accepts requests without one.
struct no_rate_limit {
  bool operator==(const no_rate_limit &) const = default;
};
/// The answer states a limit that is not a number, or several. The limit stays as it was.
struct unreadable_rate_limit {
  bool operator==(const unreadable_rate_limit &) const = default;
};

/// The limit that an answer states: the requests per second that its backend server accepts from
/// all entries together.
using rate_limit_statement =
    std::variant<no_rate_limit, requests_per_second, unreadable_rate_limit>;

/// Identifies one permit to send a request to a server with a limit.
struct permit_stamp {
  std::uint64_t Issuer{0}; ///< Incarnation of the process that issued it.
  std::uint64_t Number{0}; ///< Rises with each permit of the issuer; 0: no permit.

  [[nodiscard]] bool isSet() const { return Number != 0; }
  bool operator==(const permit_stamp &) const = default;
};

/// The limit stated by the answer to one attempt.
struct rate_limit_answer {
  backend_key Backend;
  attempt_id Attempt;
  rate_limit_statement Stated;
  permit_stamp Permit; ///< Under which the attempt was sent, if any.
};

/// How an answer changed what is known of a server's limit.
enum class rate_limit_change : std::uint8_t {
  None,
  Started,    ///< The server had no limit before.
  Changed,    ///< It states another limit.
  Ended,      ///< It no longer states a limit.
  Unreadable, ///< Its statement is not a limit.
};

/// @return "started", "changed" and so on, for the log.
constexpr const char *rateLimitChangeText(rate_limit_change Change) {
  switch (Change) {
  case rate_limit_change::Started:
    return "started";
  case rate_limit_change::Changed:
    return "changed";
  case rate_limit_change::Ended:
    return "ended";
  case rate_limit_change::Unreadable:
    return "unreadable";
  case rate_limit_change::None:
    break;
  }
  return "none";
}

} // namespace pollenstall

#endif // POLLENSTALL_RATE_LIMIT_RATE_LIMIT_TYPE_H
