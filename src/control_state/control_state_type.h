/** @file control_state_type.h Commands on the control state, their answers and the stored records.
 */
#ifndef POLLENSTALL_CONTROL_STATE_CONTROL_STATE_TYPE_H
#define POLLENSTALL_CONTROL_STATE_CONTROL_STATE_TYPE_H

#include "claim/claim.h"
#include "core/core.h"
#include "directory/directory_type.h"
#include "suspect/suspect.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

// ---- Commands: payloads of the entries of the control log. ----

/// Replaces the declaration.
struct apply_change {
  change_id Id;
  revision Base; ///< Revision on which the operator based the change.
  std::string Text;
  std::string Summary;          ///< One line for the history.
  std::string ValidationErrors; ///< Empty if the text is valid.
  unix_millis Time{0};          ///< The proposing leader's wall clock.
};

/// Starts draining a backend server, or ends it if Undo is set.
struct set_drain {
  change_id Id;
  backend_address Backend;
  bool Undo{false};
  unix_millis Time{0};
};

/// Requests the next fencing token. Each order to an engine carries one.
struct take_fencing_token {};

/**
 * Offers a declaration with a revision chosen by the sender; the highest revision wins.
 * An offer that is not newer changes nothing and is answered with Applied = false, which is no
 * error, so that a retry, a race or a late copy never replaces a newer declaration.
 */
struct offer_declaration {
  revision Revision;
  std::string Text;
  unix_millis Time{0}; ///< The proposing leader's wall clock.
};

/// Merges the leader's changed listings into the list of backend servers. Listings in state Gone
/// are removed.
struct update_backends {
  std::vector<backend_listing> Changes;
};

/// Records the requests that an entry had in progress on a backend server when that server crashed.
struct record_crash {
  std::vector<request_fingerprint> Fingerprints;
  incarnation Incarnation; ///< Of the backend server.
  unix_millis Time{0};     ///< The proposing leader's wall clock.
};

/// Clears a suspected request: a run of it ended well, or an operator cleared it.
struct clear_suspect {
  std::uint64_t FingerprintHigh{0}; ///< Field High of its fingerprint, which operators see.
};

/// Records that an answer to a request with a suspected part of a prompt has begun.
struct record_suspect_run {
  std::uint64_t FingerprintHigh{0}; ///< Field High of its fingerprint.
  unix_millis Time{0};              ///< The proposing leader's wall clock.
};

/**
 * Evacuates a failure domain: its backend servers get no new work. Restores it if Undo is set.
 * It carries no change id, because a repeat changes nothing and gets the answer of the first.
 */
struct set_evacuation {
  failure_domain_name Domain;
  bool Undo{false};
  unix_millis Time{0}; ///< The proposing leader's wall clock.
};

using control_command =
    std::variant<apply_change, set_drain, claim_acquire, claim_settle, claim_expire,
                 take_fencing_token, offer_declaration, update_backends, record_crash,
                 clear_suspect, record_suspect_run, set_evacuation>;

// ---- Answers. ----

struct change_accepted {
  revision Revision; ///< Of the declaration that the change made.

  bool operator==(const change_accepted &) const = default;
};

/// Another change was accepted first, so the base revision is outdated.
struct change_conflict {
  revision Current; ///< Revision at the time of the conflict.

  bool operator==(const change_conflict &) const = default;
};

struct change_invalid {
  std::string Details; ///< Errors found by the validation.

  bool operator==(const change_invalid &) const = default;
};

struct drain_recorded {
  std::uint64_t Version{0}; ///< Version of the list of drains.

  bool operator==(const drain_recorded &) const = default;
};

/// The maximum number of backend servers is already draining.
struct drains_full {
  bool operator==(const drains_full &) const = default;
};

/// The decision on a change id, made once; every retry with the id gets it again.
using change_verdict =
    std::variant<change_accepted, change_conflict, change_invalid, drain_recorded, drains_full>;

/// Answer to apply_change and set_drain: the decision, and whether it was made for an earlier copy.
struct change_answer {
  change_verdict Verdict;
  bool Repeated{false}; ///< Whether the id was answered before.

  bool operator==(const change_answer &) const = default;
};

/// The id belongs to an earlier, answered change with other content; this change has no effect.
struct change_id_reused {
  bool operator==(const change_id_reused &) const = default;
};

struct fencing_token_granted {
  fencing_token Fence;

  bool operator==(const fencing_token_granted &) const = default;
};

/// Answer to offer_declaration.
struct offer_answer {
  revision Current;    ///< Revision in the log; never below the offered one.
  bool Applied{false}; ///< Whether the offered declaration was applied.

  bool operator==(const offer_answer &) const = default;
};

/// Answer to update_backends.
struct backends_updated {
  bool operator==(const backends_updated &) const = default;
};

/// Answer to record_crash, clear_suspect and record_suspect_run.
struct suspects_updated {
  bool operator==(const suspects_updated &) const = default;
};

/// Answer to set_evacuation: the failure domain is in the requested state.
struct evacuation_recorded {
  /// The list of evacuated domains has contained this state of the domain since this version. For a
  /// domain that is not evacuated it may be any later version, too.
  std::uint64_t Version{0};

  bool operator==(const evacuation_recorded &) const = default;
};

/// Why set_evacuation has no effect.
enum class evacuation_refusal : std::uint8_t {
  InvalidName, ///< The name is empty or longer than MaxDomainNameBytes.
  TooMany,     ///< control_limits::MaxEvacuations domains are evacuated.
};

/// Answer to set_evacuation: nothing was changed.
struct evacuation_refused {
  evacuation_refusal Reason{evacuation_refusal::InvalidName};

  bool operator==(const evacuation_refused &) const = default;
};

using claim_acquire_answer = result<claim_status, claim_error>;
using claim_update_answer = result<done, claim_error>; ///< Of claim_settle and claim_expire.

using control_answer =
    std::variant<change_answer, change_id_reused, fencing_token_granted, claim_acquire_answer,
                 claim_update_answer, offer_answer, backends_updated, suspects_updated,
                 evacuation_recorded, evacuation_refused>;

// ---- Stored records. ----

/// The current declaration.
struct declaration_record {
  revision Revision;
  std::string Text;

  bool operator==(const declaration_record &) const = default;
};

/// One accepted change.
struct history_record {
  revision Revision;
  change_id Id;
  unix_millis Time{0};
  std::string Summary;

  bool operator==(const history_record &) const = default;
};

/// The decision on a change id, kept for retries.
struct answer_record {
  change_id Id;
  std::uint64_t ContentHash{0}; ///< Hash of the change; tells a retry from a reused id.
  change_verdict Verdict;
  unix_millis Time{0};

  bool operator==(const answer_record &) const = default;
};

/// Longest name of a failure domain that can be evacuated.
constexpr std::size_t MaxDomainNameBytes = 255;

/// An evacuated failure domain.
struct evacuation_record {
  failure_domain_name Domain;
  std::uint64_t Version{0}; ///< Of the list, by the change that evacuated the domain.
  unix_millis Since{0};

  bool operator==(const evacuation_record &) const = default;
};

/**
 * Bounds of the state. They must be the same on every member, or the members' states diverge.
 * An answer is removed once it is older than AnswerLifetime or there are more than MaxAnswers. A
 * later retry of apply_change is not accepted again, since its base revision is no longer the
 * current one. A later retry of set_drain is executed again.
 */
struct control_limits {
  std::size_t MaxAnswers{10'000};
  unix_millis AnswerLifetime{std::chrono::hours(24 * 7)};
  std::size_t MaxHistory{1'000};
  std::size_t MaxDrains{4'096};
  std::size_t MaxClaims{200'000};
  std::size_t MaxEvacuations{256};
  std::size_t MaxBackends{4'096}; ///< Further ones are known from their announcements only.
};

/// The whole state as plain values.
struct control_snapshot {
  declaration_record Declared;
  std::vector<history_record> History; ///< Oldest first.
  std::vector<answer_record> Answers;  ///< In the order in which they were given.
  std::vector<backend_address> Drains; ///< Ascending.
  std::uint64_t DrainsVersion{0};
  fencing_token LastFence;
  unix_millis LatestCommandTime{0};
  claim_snapshot Claims;
  std::vector<backend_listing> Backends; ///< In order of their names.
  std::vector<suspect_record> Suspects;  ///< In order of their fingerprints.
  std::uint64_t SuspectsVersion{0};
  std::vector<evacuation_record> Evacuations; ///< In order of their names.
  std::uint64_t EvacuationsVersion{0};

  bool operator==(const control_snapshot &) const = default;
};

/// Reason why a snapshot is refused.
enum class control_state_error : std::uint8_t {
  InvalidSnapshot, ///< It violates an invariant of the state.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_STATE_CONTROL_STATE_TYPE_H
