/** @file identity_type.h Names and ids that several libraries use. */
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

using host_name = strong_text<host_tag>; ///< A host of this system.
using failure_domain_name =
    strong_text<failure_domain_tag>; ///< A set of hosts and backend servers that can fail together.
using client_account_name = strong_text<client_account_tag>; ///< Account of a request's caller.
using service_name =
    strong_text<service_tag>; ///< A model or other service in the operators' declaration.
using model_name = strong_text<model_tag>;       ///< The "model" of a call.
using group_name = strong_text<group_tag>;       ///< A labelled set of backend servers.
using selector_name = strong_text<selector_tag>; ///< Name of a rule that routes requests to groups.
using backend_address = strong_text<backend_address_tag>; ///< "IP:port" of a backend server.
using change_id = strong_text<change_tag>; ///< Id of one change of the declaration, chosen by the
                                           ///< operator's tool.

/// Number of one run of a process or backend server, by which a restarted one is distinct from its
/// predecessor at the same address. It increases with each start, except in keys made by keyOf() of
/// directory, where it is a hash.
using incarnation = strong_id<incarnation_tag>;
/// Number of accepted changes that led to a declaration (the operators' configuration); 0 means the
/// empty declaration.
using revision = strong_id<revision_tag>;
/// Number of a request, unique within one incarnation of an entry.
using request_number = strong_id<request_tag>;
/// Fences orders (commands to backend servers). It increases with each leader term and each order,
/// and a backend server refuses an order whose token is lower than one that it has seen.
using fencing_token = strong_id<fence_tag>;

/// Identifies one incarnation of a backend server. A new incarnation at the same address counts as
/// another backend server.
struct backend_key {
  backend_address Address; ///< Its HTTP address.
  incarnation Incarnation; ///< As announced by the backend server.

  auto operator<=>(const backend_key &) const = default;
};

/// Identifies one incarnation of a process of this system.
struct process_key {
  host_name Host;          ///< Host name from the settings.
  incarnation Incarnation; ///< Wall-clock time of its start, in nanoseconds.

  auto operator<=>(const process_key &) const = default;
};

/**
 * Identifies one attempt of a request; unique in the fleet if the incarnations of a host are
 * unique. Engines list their running attempts in its text form. Other entries read the owner from
 * that form, so that they find the attempts of an owner that has failed.
 */
struct attempt_id {
  process_key Owner;        ///< The entry that started it.
  request_number Request;   ///< The request of that entry.
  std::uint32_t Ordinal{1}; ///< 1 for the first attempt of the request.

  auto operator<=>(const attempt_id &) const = default;
};

/// @return "host/incarnation/request/ordinal", the form that backend servers receive.
std::string toText(const attempt_id &Attempt);

/// Parses the form that toText() writes. @return Nothing if the text has another form.
std::optional<attempt_id> parseAttemptId(std::string_view Text);

/// @return "address#incarnation", for logs and dumps.
std::string toText(const backend_key &Key);

} // namespace pollenstall

#endif // POLLENSTALL_CORE_IDENTITY_TYPE_H
