/** @file control_services_type.h Services of a control host for an adapter to another protocol. */
#ifndef POLLENSTALL_ADAPTER_CONTROL_SERVICES_TYPE_H
#define POLLENSTALL_ADAPTER_CONTROL_SERVICES_TYPE_H

#include "core/core.h"
#include "directory/directory_type.h"

#include <cstdint>
#include <functional>
#include <string>

namespace pollenstall {

/// Result of a call to a control host.
enum class service_status : std::uint8_t {
  Accepted,    ///< Durable, or being sent to every connected entry.
  NotLeader,   ///< Nothing was done; another host is the leader.
  Refused,     ///< Nothing was done, and a repeat would be refused as well.
  Unavailable, ///< Outcome unknown, or nothing was done; retry the call.
};

/// Answer of a control host to a call.
struct service_answer {
  service_status Status{service_status::Unavailable};
  std::string LeaderUrl; ///< For NotLeader: "http://IP:port", or empty if not known.
};

/// The declaration in force; never older than a change acknowledged before the call.
struct declaration_answer {
  service_answer Answer;
  revision Revision; ///< 0 if nothing has been declared yet.
  std::string Text;
};

/// Callable from any thread. A call may block for as long as an operator's call.
struct control_services {
  /// A declaration is ignored if its revision is not higher than the current one.
  std::function<service_answer(revision, std::string Text)> ProposeDeclaration;
  std::function<declaration_answer()> ReadDeclaration;
  std::function<service_answer(const backend_notice &)> Announce;
  /// Without a start time it withdraws the current incarnation of that name.
  std::function<service_answer(const backend_incarnation &)> Withdraw;
  /// Evacuates a failure domain, or restores it. Accepted once it binds every entry that may serve
  /// requests within entries.evacuate_within_ms; a repeat is safe.
  std::function<service_answer(const failure_domain_name &, bool Restore)> SetEvacuation;
  std::string OwnUrl; ///< URL of the operator address of this host.
};

} // namespace pollenstall

#endif // POLLENSTALL_ADAPTER_CONTROL_SERVICES_TYPE_H
