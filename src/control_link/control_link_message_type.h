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
  std::string WorkAddress{}; ///< "IP:port" at which the entry receives the work reports of other
                             ///< entries; may be empty.
  std::optional<revision> HeldRevision{}; ///< As in link_renew.
};

/**
 * Requests an extension of the lease and reports the revision in use. Sent at a fixed interval, and
 * immediately after the entry started to use a new revision.
 */
struct link_renew {
  std::uint64_t RenewId{0}; ///< Increases within one connection; the reply repeats it.
  process_key Process;      ///< The sender; a restarted process must confirm its revision again.
  std::optional<revision>
      Confirmed;               ///< The revision that this incarnation uses; empty if it uses none.
  std::uint64_t DrainsSeen{0}; ///< link_drains::Version last received; 0 if none.
  std::optional<revision>
      HeldRevision{}; ///< The revision whose text the entry has stored, to which a difference may
                      ///< refer; empty if it has stored none.
};

/**
 * Sent in place of link_renew once the entry has received link_evacuations in this incarnation. It
 * is a message of its own, because an earlier build drops the connection at an unknown field. An
 * entry that sends link_renew has received no list, so it acts on the empty one.
 */
struct link_renew_evacuations {
  link_renew Renewal;
  std::uint64_t Received{0};              ///< link_evacuations::Version received last.
  std::optional<std::uint64_t> Confirmed; ///< confirm_evacuations::Version; empty if there is none.
  std::uint32_t RequestsLeft{0};          ///< confirm_evacuations::RequestsLeft.
};

/// Answered by link_claim_answer. Resent on each new connection until it is answered.
struct link_claim_acquire {
  std::uint64_t Call{0}; ///< Unique within the process's incarnation.
  claim_acquire Claim;
};

/// Answered by link_settle_answer. Resent on each new connection until it is answered.
struct link_claim_settle {
  std::uint64_t Call{0};
  claim_settle Claim;
};

/// Reports the requests that this entry had in flight on a backend server when that server crashed.
/// Resending it on a new connection is safe, because the log counts each crashed incarnation once.
struct link_crash {
  incarnation Incarnation; ///< Of the backend server.
  std::vector<request_fingerprint> Fingerprints;
};

/// Reports that a suspected request completed without a crash.
struct link_clear_suspect {
  request_fingerprint Fingerprint;
};

/// Reports that an answer to a request with a suspected part of a prompt has begun.
struct link_suspect_run {
  request_fingerprint Fingerprint;
};

using link_request =
    std::variant<link_subscribe, link_renew, link_claim_acquire, link_claim_settle, link_crash,
                 link_clear_suspect, link_suspect_run, link_renew_evacuations>;

// ---- From the control host. ----

/// The declaration in force; sent unless the entry has confirmed it or stored its text.
struct link_declaration {
  revision Revision;
  packed_text Text;
};

/// The declaration in force as a difference to an older one whose text the entry has.
struct link_declaration_change {
  revision Base;
  revision Revision;
  packed_text Change; ///< A text_difference, see packDifference().
};

/// Extends the lease. Sent only while the control host holds its own leader lease.
struct link_lease {
  std::uint64_t RenewId{0}; ///< Copied from the link_renew that this message answers.
  revision Revision;        ///< Copied from that link_renew's Confirmed.
  std::uint32_t LeaseMillis{0};
};

/// This control host is not the leader. It closes the connection after this message.
struct link_not_leader {
  std::string Leader; ///< Where the leader listens for entries, "IP:port"; empty if unknown.
};

struct link_claim_answer {
  std::uint64_t Call{0};
  claim_status Verdict{claim_status::Unavailable};
};

/// The claim's outcome is recorded or finally refused; the entry stops resending it.
struct link_settle_answer {
  std::uint64_t Call{0};
};

/// The complete list of backend servers that operators drain.
struct link_drains {
  std::uint64_t Version{0}; ///< Increases with each change; 0 means no list yet.
  std::vector<backend_address> Backends;
};

/// Backend servers: the full list at the start of a connection, later only the changes.
struct link_backends {
  bool IsFullList{false};
  std::vector<backend_listing> Listings;
};

/// The control hosts and entries of the fleet; sent at the start of a connection and after each
/// change.
struct link_fleet {
  std::vector<std::string> Controls; ///< Addresses at which control hosts listen for entries.
  std::vector<served_entry> Entries; ///< Every entry connected to the leader.
};

/// The log contains this declaration. Its text follows as soon as the network has capacity.
struct link_declaration_announced {
  revision Revision;
};

/// All suspected requests; sent at the start of a connection and after each change.
struct link_suspects {
  std::vector<published_suspect> Suspects;
};

/**
 * The complete list of evacuated failure domains. An earlier build cannot read this message. It is
 * therefore sent only while a domain is evacuated, and to entries that have received a list before.
 */
struct link_evacuations {
  std::uint64_t Version{0}; ///< Increases with each change.
  std::vector<failure_domain_name> Domains;
};

/// The change from the list of the previous version to that of Version. It is sent in place of the
/// list to entries that have the previous one: for 320 entries, the longest list is 21 MB.
struct link_evacuation_change {
  std::uint64_t Version{0};
  failure_domain_name Domain;
  bool Restored{false}; ///< Otherwise the domain was evacuated.
};

using link_reply = std::variant<link_declaration, link_lease, link_not_leader, link_claim_answer,
                                link_settle_answer, link_drains, link_backends, link_fleet,
                                link_declaration_change, link_declaration_announced, link_suspects,
                                link_evacuations, link_evacuation_change>;

/// Fingerprints in one link_crash; further ones go into another message.
constexpr std::size_t MaxCrashFingerprints = 64;

/// Largest message that a control host accepts from an entry.
constexpr std::size_t MaxLinkRequestBytes = 4U << 10U;
/// Largest message that an entry accepts from a control host; large enough for a declaration.
constexpr std::size_t MaxLinkReplyBytes = 4U << 20U;

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CONTROL_LINK_MESSAGE_TYPE_H
