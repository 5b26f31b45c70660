/** @file control_link_type.h Events and requests between an entry's threads and its control link.
 */
#ifndef POLLENSTALL_CONTROL_LINK_CONTROL_LINK_TYPE_H
#define POLLENSTALL_CONTROL_LINK_CONTROL_LINK_TYPE_H

#include "core/core.h"
#include "directory/directory_type.h"
#include "dispatch/dispatch_type.h"
#include "suspect/suspect.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pollenstall {

// ---- Requests: from the entry's decision thread to the link. ----

/// The declaration of this revision is in use in this incarnation of the process.
struct confirm_revision {
  revision Revision;
};

/// Requests a durable claim. Answered by claim_answered, at the latest at Claim.AnswerBy.
struct request_claim {
  acquire_claim Claim;
  std::chrono::milliseconds Lifetime{0}; ///< limits_declaration::ClaimLifetime.
};

/// Reports the outcome of claimed work. Resent until a leader has recorded or finally refused it;
/// the entry gets no event then.
struct report_claim_outcome {
  settle_claim Claim;
  std::chrono::milliseconds Lifetime{0}; ///< limits_declaration::ClaimLifetime.
};

/// The list of evacuated failure domains of this version binds each new request of this entry.
struct confirm_evacuations {
  std::uint64_t Version{0};
  std::uint32_t RequestsLeft{0}; ///< Requests of this entry that still run in these domains.
};

using control_link_request =
    std::variant<confirm_revision, request_claim, report_claim_outcome, crash_report,
                 suspect_cleared, suspect_run_begun, confirm_evacuations>;

// ---- Events: from the link to the entry's decision thread. ----

/// A declaration that a leader sent while it held its leader lease. Revisions may repeat;
/// declaration_lease filters them.
struct declaration_received {
  revision Revision;
  std::string Text;
};

/// The log contains a declaration of this revision; its text will follow.
struct declaration_announced {
  revision Revision;
};

/**
 * The entry may act on the declaration in use until this time.
 * The lease starts when the request was sent. Network delays only shorten it, so the entry's lease
 * never ends later than the leader assumes.
 */
struct lease_extended {
  revision Revision; ///< Confirmed in the renewal that was answered.
  mono_time Until;
};

/// All backend servers that operators drain now; replaces the previous list.
struct drains_changed {
  std::vector<backend_address> Backends;
};

/// All evacuated failure domains, whose backend servers get no new work; replaces the previous
/// list.
struct evacuations_changed {
  std::uint64_t Version{0}; ///< Increases with each change; 0: no domain was ever evacuated.
  std::vector<failure_domain_name> Domains;
};

/// Backend servers that a leader reported.
struct backends_listed {
  bool IsFullList{false}; ///< Sent at the start of a connection: all known backend servers.
  std::vector<backend_listing> Listings;
};

/// An entry connected to the leader.
struct served_entry {
  std::string WorkAddress; ///< "IP:port" at which it receives the work reports of other entries.
  failure_domain_name Domain;
};

/// All entries connected to the leader, including this one.
struct entries_listed {
  std::vector<served_entry> Entries;
};

/// All requests to be refused or watched; replaces the previous list.
struct suspects_listed {
  std::vector<published_suspect> Suspects;
};

/// Why a connection to a control host ended.
enum class control_loss_reason : std::uint8_t {
  Silent,     ///< No bytes arrived for control_link_options::AnswerTimeout.
  Closed,     ///< By the control host, or by a network error.
  Redirected, ///< That host is not the leader.
  Unreadable, ///< A message did not decode, or a difference did not apply to the stored text.
};

/// @return The name in logs.
constexpr std::string_view controlLossReasonText(control_loss_reason Loss) {
  constexpr std::array<std::string_view, 4> Names{"silent", "closed", "redirected", "unreadable"};
  return Names[static_cast<std::size_t>(Loss)];
}

/// The connection to the leader was lost. The current lease stays valid until it expires.
struct control_connection_lost {
  control_loss_reason Reason{control_loss_reason::Closed};
  std::uint64_t PartialMessageBytes{0};          ///< Received of an incomplete message.
  std::chrono::milliseconds SinceLastMessage{0}; ///< Since the last complete message.
};

using control_link_event =
    std::variant<declaration_received, lease_extended, claim_answered, drains_changed,
                 backends_listed, entries_listed, control_connection_lost, declaration_announced,
                 suspects_listed, evacuations_changed>;

/// Counters of a control link, for metrics and dumps.
struct control_link_counters {
  std::uint64_t Connects{0};    ///< Connections on which a leader answered.
  std::uint64_t Undecodable{0}; ///< Messages that did not decode or whose difference did not apply.
  std::uint64_t ClaimTimeouts{0}; ///< Claims without an answer in time, reported as Unavailable.
  std::uint64_t UnrecordedOutcomes{0}; ///< Claim outcomes that no leader has recorded yet.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CONTROL_LINK_TYPE_H
