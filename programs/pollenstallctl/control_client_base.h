/** @file control_client_base.h Talks to whichever control host leads, and resends lost changes. */
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

/// A definite answer of a control host.
struct control_answer {
  unsigned int Status{0};
  boost::json::value Body;
};

/// Why there is no definite answer.
struct control_failure {
  bool MayBeAccepted{false}; ///< A change may have taken hold: resend with the same change id.
  std::string Message;       ///< The last thing that went wrong.
};

using control_result = result<control_answer, control_failure>;

/**
 * Tries each control host in turn and follows their hints to the leader. A call is repeated until
 * it has a definite answer or the time is up; changes carry an id, so repeating them is safe.
 */
class control_client {
public:
  /// @param ControlUrls Checked by parseUrl(). @param BearerKey Empty for none.
  control_client(std::vector<http_url> ControlUrls, std::string BearerKey,
                 std::chrono::milliseconds Limit);

  /// Reads something; gives up early where no host can be connected to.
  control_result get(const std::string &Path);

  /// Sends a change, which must carry a change id.
  control_result post(const std::string &Path, const boost::json::value &Body);

  /// Tries this host first from now on. @return False where the text is no URL.
  bool prefer(const std::string &Url);

  /// @return How long is left of the time limit, not below zero.
  [[nodiscard]] std::chrono::milliseconds remaining() const;

  /// Waits before another round. @return False where the time is up.
  bool pause() const;

private:
  /// What one host's reaction means for the call.
  enum class reaction : std::uint8_t { Definite, TryNext, FollowHint };
  struct round_state {
    control_answer Answer;
    bool AnyConnected{false};
  };

  control_result call(const http_call &Call, bool GiveUpUnconnected);
  bool tryRound(const http_call &Call, round_state &Round);
  reaction tryHost(const http_url &Url, const http_call &Call, round_state &Round);
  reaction judge(const http_answer &Answer, round_state &Round);
  bool followHints(const http_call &Call, round_state &Round);
  void noteFailure(std::string Message, bool MayBeAccepted);

  std::vector<http_url> Hosts;
  std::string Key;
  std::chrono::steady_clock::time_point Deadline;
  std::optional<http_url> Leader; ///< From the last hint.
  control_failure Failure;
};

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_CONTROL_CLIENT_BASE_H
