/** @file control_client_base.h Finds the control log's leader and retries requests. */
#ifndef POLLENSTALL_POLLENSTALLCTL_CONTROL_CLIENT_BASE_H
#define POLLENSTALL_POLLENSTALLCTL_CONTROL_CLIENT_BASE_H

#include "core/core.h"
#include "http_client_func.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// A conclusive response of a control host.
struct control_response {
  unsigned int Status{0};
  boost::json::value Body;
};

/// Why a request has no conclusive response.
struct control_failure {
  bool MayBeAccepted{false}; ///< The change may have been accepted: resend it with its change id.
  std::string Message;       ///< The last error.
};

using control_result = result<control_response, control_failure>;

/**
 * Tries each control host in turn and follows redirects to the leader. Retries a request until it
 * has a conclusive response or the time limit has passed. Changes carry an id, which makes retries
 * idempotent.
 */
class control_client {
public:
  /// @param ControlUrls Validated by parseUrl(). @param BearerKey Empty for none.
  control_client(std::vector<http_url> ControlUrls, std::string BearerKey,
                 std::chrono::milliseconds Limit);

  /// Sends a GET request. Fails without a retry if a round connects to no host.
  control_result get(const std::string &Path);

  /// Sends a change, whose body must contain a change id.
  control_result post(const std::string &Path, const boost::json::value &Body);

  /// Makes later requests try this host first. @return False if the text is not a valid URL.
  bool preferHost(const std::string &Url);

  /// @return The time until the deadline, or zero if it has passed.
  [[nodiscard]] std::chrono::milliseconds remaining() const;

  /// Waits before the next round. @return False if the deadline has passed.
  bool waitBeforeRetry() const;

private:
  /// How to proceed after a request to one host.
  enum class host_outcome : std::uint8_t { Conclusive, TryNext, FollowRedirect };
  struct round_state {
    control_response Response;
    bool AnyConnected{false};
  };

  control_result call(const http_request &Request, bool FailIfUnconnected);
  bool tryRound(const http_request &Request, round_state &Round);
  host_outcome tryHost(const http_url &Url, const http_request &Request, round_state &Round);
  host_outcome classifyResponse(const http_response &Response, round_state &Round);
  bool followRedirects(const http_request &Request, round_state &Round);
  void recordFailure(std::string Message, bool MayBeAccepted);

  std::vector<http_url> Hosts;
  std::string Key;
  std::chrono::steady_clock::time_point Deadline;
  std::optional<http_url> Leader; ///< The target of the last redirect.
  control_failure Failure;
};

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_CONTROL_CLIENT_BASE_H
