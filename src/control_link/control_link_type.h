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

/// The declaration of this revision is in use in this life of the process.
struct revision_confirmed {
  revision Revision;
};

/// Make a claim durable; answered by claim_answered, at the latest at Claim.AnswerBy.
struct claim_wanted {
  acquire_claim Claim;
  std::chrono::milliseconds Lifetime{0}; ///< limits_declaration::ClaimLifetime.
};

/// Record the end of claimed work; resent until a leader has recorded it, not answered.
struct claim_ended {
  settle_claim Claim;
  std::chrono::milliseconds Lifetime{0}; ///< limits_declaration::ClaimLifetime.
};

using control_link_request =
    std::variant<revision_confirmed, claim_wanted, claim_ended, crash_report, suspect_cleared>;

// ---- Events: from the link to the entry's decision thread. ----

/// A leader that held its lease declared this. Revisions may repeat; entry_freshness sorts it out.
struct declaration_received {
  revision Revision;
  std::string Text;
};

/// The log has a declaration of this revision; its text is on the way.
struct declaration_announced {
  revision Revision;
};

/**
 * The declaration in use may be acted upon until then.
 * The span counts from the moment the request was sent: delays on the way only shorten it, so the
 * leader's own count never ends before the entry's.
 */
struct lease_extended {
  revision Revision; ///< Which the entry had confirmed when it asked.
  mono_time Until;
};

/// All backend servers that operators drain now; replaces the last such list.
struct drains_changed {
  std::vector<backend_address> Backends;
};

/// A leader told of backend servers.
struct backends_listed {
  bool Whole{false}; ///< All that it knows, at the start of a connection.
  std::vector<backend_listing> Listings;
};

/// An entry that the leader serves.
struct served_entry {
  std::string WorkAddress; ///< Where other entries tell of their work, "IP:port".
  failure_domain_name Domain;
};

/// The entries that the leader serves, this one included.
struct entries_listed {
  std::vector<served_entry> Entries;
};

/// All requests to be refused or watched; replaces the last such list.
struct suspects_listed {
  std::vector<published_suspect> Suspects;
};

/// Why a connection to a control host ended.
enum class control_loss : std::uint8_t {
  Silent,     ///< Nothing came for control_link_plan::AnswerWithin.
  Closed,     ///< By the other side, or by the network.
  Redirected, ///< That host does not lead.
  Unreadable, ///< What came is no message, or no difference to the text held.
};

/// @return The loss's name in logs.
constexpr std::string_view controlLossText(control_loss Loss) {
  constexpr std::array<std::string_view, 4> Names{"silent", "closed", "redirected", "unreadable"};
  return Names[static_cast<std::size_t>(Loss)];
}

/// No leader is connected; the lease at hand still counts until its end.
struct control_lost {
  control_loss Why{control_loss::Closed};
  std::uint64_t PartBytes{0};                ///< Of a message that was under way.
  std::chrono::milliseconds SinceMessage{0}; ///< Since the last whole message.
};

using control_link_event = std::variant<declaration_received, lease_extended, claim_answered,
                                        drains_changed, backends_listed, entries_listed,
                                        control_lost, declaration_announced, suspects_listed>;

/// What the link says of itself, for metrics and dumps.
struct control_link_counters {
  std::uint64_t Connects{0};      ///< Connections that a leader answered on.
  std::uint64_t Garbage{0};       ///< Messages that did not decode.
  std::uint64_t ClaimTimeouts{0}; ///< Claims answered Unavailable for want of an answer.
  std::uint64_t UnsettledEnds{0}; ///< Ends of claims not yet recorded.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CONTROL_LINK_TYPE_H
