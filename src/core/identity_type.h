/** @file identity_type.h Names and ids that several libraries share. */
#ifndef POLLENSTALL_CORE_IDENTITY_TYPE_H
#define POLLENSTALL_CORE_IDENTITY_TYPE_H

#include "core/strong_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

struct host_tag {};
struct failure_domain_tag {};
struct client_account_tag {};
struct service_tag {};
struct model_tag {};
struct group_tag {};
struct selector_tag {};
struct backend_address_tag {};
struct incarnation_tag {};
struct revision_tag {};
struct request_tag {};
struct change_tag {};
struct fence_tag {};

using host_name = strong_text<host_tag>;                     ///< One of the system's own hosts.
using failure_domain_name = strong_text<failure_domain_tag>; ///< Hosts that are lost together.
using client_account_name = strong_text<client_account_tag>; ///< Who a request is accounted to.
using service_name = strong_text<service_tag>;               ///< A declared model or plain service.
using model_name = strong_text<model_tag>;                   ///< What callers write as "model".
using group_name = strong_text<group_tag>;                   ///< A labelled set of backend servers.
using selector_name = strong_text<selector_tag>;          ///< A rule that sends requests to groups.
using backend_address = strong_text<backend_address_tag>; ///< "IP:port" of a backend server.
using change_id = strong_text<change_tag>;                ///< Chosen by the operator's tool.

/// Rises each time a process starts, so that two lives of one address are told apart.
using incarnation = strong_id<incarnation_tag>;
/// Position of a declaration in the sequence of accepted changes; 0 is the empty declaration.
using revision = strong_id<revision_tag>;
/// Number of a request within one life of one entry.
using request_number = strong_id<request_tag>;
/// Rises with each leader's term and order; an engine refuses an order that carries a lower one.
using fencing_token = strong_id<fence_tag>;

/// One life of one backend server: a new incarnation at the same address is another backend server.
struct backend_key {
  backend_address Address; ///< Where it answers HTTP.
  incarnation Incarnation; ///< Announced by the backend server itself.

  auto operator<=>(const backend_key &) const = default;
};

/// One life of one process of the system.
struct process_key {
  host_name Host;          ///< From the settings.
  incarnation Incarnation; ///< Drawn from the wall clock at start, in nanoseconds.

  auto operator<=>(const process_key &) const = default;
};

/**
 * One attempt of one request, unique in the fleet for as long as incarnations are.
 * Engines list running attempts by its text form, and a survivor reads the owner from it.
 */
struct attempt_id {
  process_key Owner;        ///< The entry that started it.
  request_number Request;   ///< Which request of that entry.
  std::uint32_t Ordinal{1}; ///< 1 for the first attempt of the request.

  auto operator<=>(const attempt_id &) const = default;
};

/// @return "host/incarnation/request/ordinal", the form sent to backend servers.
std::string toText(const attempt_id &Attempt);

/// @return The attempt a text names, or nothing where the text has another form.
std::optional<attempt_id> parseAttemptId(std::string_view Text);

/// @return "address#incarnation", for logs and dumps.
std::string toText(const backend_key &Key);

} // namespace pollenstall

#endif // POLLENSTALL_CORE_IDENTITY_TYPE_H
