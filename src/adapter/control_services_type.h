/** @file control_services_type.h What a control host does for callers of another protocol. */
#ifndef POLLENSTALL_ADAPTER_CONTROL_SERVICES_TYPE_H
#define POLLENSTALL_ADAPTER_CONTROL_SERVICES_TYPE_H

#include "core/core.h"
#include "directory/directory_type.h"

#include <cstdint>
#include <functional>
#include <string>

namespace pollenstall {

/// How a control host has answered.
enum class service_status : std::uint8_t {
  Accepted,    ///< Durable, or on its way to every entry in touch.
  NotLeader,   ///< Nothing was done: another host leads.
  Unavailable, ///< Not known, or nothing was done: ask again.
};

struct service_answer {
  service_status Status{service_status::Unavailable};
  std::string LeaderUrl; ///< For NotLeader: "http://IP:port"; empty where not known.
};

/// The declaration in force, never older than what was acknowledged before it was asked for.
struct declaration_answer {
  service_answer Answer;
  revision Revision; ///< 0 where nothing was declared yet.
  std::string Text;
};

/// Calls that may block for as long as an operator's call may; from any thread.
struct control_services {
  std::function<service_answer(revision, std::string Text)>
      ProposeDeclaration; ///< The highest revision counts.
  std::function<declaration_answer()> ReadDeclaration;
  std::function<service_answer(const backend_notice &)> Announce;
  /// A life without a start stands for whichever has that name now.
  std::function<service_answer(const backend_incarnation &)> Withdraw;
  std::string OwnUrl; ///< Of this host's operators' address.
};

} // namespace pollenstall

#endif // POLLENSTALL_ADAPTER_CONTROL_SERVICES_TYPE_H
