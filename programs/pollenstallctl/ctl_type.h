/** @file ctl_type.h Options, results and exit codes of pollenstallctl. */
#ifndef POLLENSTALL_POLLENSTALLCTL_CTL_TYPE_H
#define POLLENSTALL_POLLENSTALLCTL_CTL_TYPE_H

#include "core/core.h"
#include "declaration/declaration.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenstall {

/// Exit codes; --help and docs/DECLARATIONS.md list them.
enum class ctl_exit : std::uint8_t {
  Ok = 0,
  Refused = 1,        ///< The file, the key or the request was rejected; nothing was changed.
  BadUsage = 2,       ///< Bad command line or settings, or an unreadable file.
  Conflict = 3,       ///< Another change was accepted first; nothing was changed.
  UnknownOutcome = 4, ///< The response was lost: resend with the same change id.
  NotReachable = 5,   ///< No control host processed the request; nothing was changed.
  NotInForce = 6      ///< Accepted, but not reported in force everywhere before the timeout.
};

/// The contents of a settings file.
struct ctl_settings {
  std::vector<std::string> ControlUrls;
  std::string KeyFile;
  std::chrono::milliseconds Timeout{20'000};
};

/// The command line, with defaults from the --config file.
struct ctl_options {
  std::string Verb;
  std::vector<std::string> Arguments; ///< The words after the verb.
  std::vector<std::string> ControlUrls;
  std::string KeyFile;
  std::chrono::milliseconds Timeout{20'000};
  bool Json{false};
  bool Wait{false};
  bool Undo{false};
  std::optional<revision> BaseRevision;
  std::string ChangeId;
  std::string Target;
  std::string File;
  selector_input Request; ///< The request that explain examines.
};

/// Output of a verb that succeeded, as text and as JSON.
struct verb_output {
  std::string Text;
  boost::json::value Json;
};

/// Error of a verb that failed.
struct verb_failure {
  ctl_exit Exit{ctl_exit::Refused};
  std::string Message;
  boost::json::value Details; ///< Null, or machine-readable details.
};

using verb_result = result<verb_output, verb_failure>;

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_CTL_TYPE_H
