/** @file control_link_message_type.h Messages on the TCP connection from an entry to a control
 * host.
 */
#ifndef POLLENSTALL_CONTROL_LINK_CONTROL_LINK_MESSAGE_TYPE_H
#define POLLENSTALL_CONTROL_LINK_CONTROL_LINK_MESSAGE_TYPE_H

#include "claim/claim.h"
#include "control_link/control_link_type.h"
#include "core/core.h"
#include "directory/directory_type.h"
#include "packed_text/packed_text.h"
#include "suspect/suspect.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

// ---- From the entry. ----

/// First message of a connection.
struct link_subscribe {
  process_key Process;
  failure_domain_name Domain;
  std::string WorkAddress{}; ///< Where other entries tell of their work, "IP:port"; may be empty.
  std::optional<revision> Holds{}; ///< As in link_renew.
};

/**
 * Asks for the lease to be extended and says what is in use. Sent at a steady interval, and at once
 * after a new revision came into use.
 */
struct link_renew {
  std::uint64_t Ask{0};              ///< Rises on one connection; the answer names it.
  process_key Process;               ///< A confirmation counts for this life only.
  std::optional<revision> Confirmed; ///< In use in this life; nothing where none is.
  std::uint64_t DrainsSeen{0};       ///< link_drains::Version last received; 0 where none was.
  std::optional<revision> Holds{};   ///< Its text is at hand: a difference may build on it.
};

/// Answered by link_claim_answer. Sent again on the next connection until it is answered.
struct link_claim_acquire {
  std::uint64_t Call{0}; ///< Unique in the process's life.
  claim_acquire Claim;
};

/// Answered by link_settle_answer. Sent again on the next connection until it is answered.
struct link_claim_settle {
  std::uint64_t Call{0};
  claim_settle Claim;
};

/// Requests that this entry had on a backend server when it crashed. Sent again on the next
/// connection: the log counts a life once.
struct link_crash {
  incarnation Incarnation; ///< Of the backend server.
  std::vector<request_fingerprint> Marks;
};

/// A run of a suspected request ended well.
struct link_clear_suspect {
  request_fingerprint Mark;
};

using link_request = std::variant<link_subscribe, link_renew, link_claim_acquire, link_claim_settle,
                                  link_crash, link_clear_suspect>;

// ---- From the control host. ----

/// The declaration in force; sent where the entry confirmed less.
struct link_declaration {
  revision Revision;
  packed_text Text;
};

/// The same as a difference to an older one, whose text the entry holds.
struct link_declaration_change {
  revision Base;
  revision Revision;
  packed_text Change; ///< A text_difference, see packDifference().
};

/// Extends the lease. Given only while the control host holds its own lease as the leader.
struct link_lease {
  std::uint64_t Ask{0}; ///< Of the link_renew that it answers.
  revision Revision;    ///< As confirmed in that link_renew.
  std::uint32_t LeaseMillis{0};
};

/// This control host does not lead; the connection is closed after it.
struct link_not_leader {
  std::string Leader; ///< Where the leader listens for entries, "IP:port"; empty where not known.
};

struct link_claim_answer {
  std::uint64_t Call{0};
  claim_status Verdict{claim_status::Unavailable};
};

/// The end of the claim is recorded, or is known to be refused for good.
struct link_settle_answer {
  std::uint64_t Call{0};
};

/// All backend servers that operators drain.
struct link_drains {
  std::uint64_t Version{0}; ///< Rises with each change; 0 stands for no list yet.
  std::vector<backend_address> Backends;
};

/// Backend servers: all at the start of a connection, then those that changed.
struct link_backends {
  bool Whole{false};
  std::vector<backend_listing> Listings;
};

/// Who else there is; sent at the start of a connection and after each change.
struct link_fleet {
  std::vector<std::string> Controls; ///< Where control hosts listen for entries.
  std::vector<served_entry> Entries; ///< Every entry that the leader serves.
};

/// The log has this declaration; its text follows as the link allows.
struct link_declared {
  revision Revision;
};

/// All suspected requests; at the start of a connection and after each change.
struct link_suspects {
  std::vector<published_suspect> Suspects;
};

using link_reply = std::variant<link_declaration, link_lease, link_not_leader, link_claim_answer,
                                link_settle_answer, link_drains, link_backends, link_fleet,
                                link_declaration_change, link_declared, link_suspects>;

/// Of one link_crash; more go into the next one.
constexpr std::size_t MaxCrashMarks = 64;

/// Largest message that a control host takes from an entry.
constexpr std::size_t MaxLinkRequestBytes = 4U << 10U;
/// Largest message that an entry takes from a control host: a declaration fits.
constexpr std::size_t MaxLinkReplyBytes = 4U << 20U;

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CONTROL_LINK_MESSAGE_TYPE_H
