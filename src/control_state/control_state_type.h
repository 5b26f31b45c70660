/** @file control_state_type.h Commands on the control state, their answers, and stored records. */
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

// ---- Commands: the payload of an entry of the control log. ----

/// Puts another declaration in force.
struct apply_change {
  change_id Id;
  revision Base; ///< Which revision the operator changed.
  std::string Text;
  std::string Summary;  ///< One line for the history.
  std::string Rejected; ///< What the validation found wrong; empty where the text is valid.
  unix_millis Time{0};  ///< The proposing leader's wall clock.
};

/// Starts or ends the draining of a backend server.
struct set_drain {
  change_id Id;
  backend_address Backend;
  bool Undo{false};
  unix_millis Time{0};
};

/// Takes a number for an order to an engine.
struct take_fence {};

/**
 * Offers a declaration under a revision that whoever sends it has chosen: the highest one counts.
 * An older one is answered as done and changes nothing, so that a resend, a race or a late copy can
 * never take a newer one back.
 */
struct offer_declaration {
  revision Revision;
  std::string Text;
  unix_millis Time{0}; ///< The proposing leader's wall clock.
};

/// What the leader's list of backend servers came to be. One that is gone is forgotten.
struct note_backends {
  std::vector<backend_listing> Changes;
};

/// Requests that an entry had on a backend server when it crashed.
struct note_crash {
  std::vector<request_fingerprint> Marks;
  incarnation Incarnation; ///< Of the backend server.
  unix_millis Time{0};     ///< The proposing leader's wall clock.
};

/// A request does not crash backend servers: a run of it ended well, or an operator says so.
struct clear_suspect {
  std::uint64_t High{0}; ///< Of its mark, which operators are told.
};

using control_command =
    std::variant<apply_change, set_drain, claim_acquire, claim_settle, claim_expire, take_fence,
                 offer_declaration, note_backends, note_crash, clear_suspect>;

// ---- Answers. ----

struct change_accepted {
  revision Revision; ///< Of the declaration that the change made.

  bool operator==(const change_accepted &) const = default;
};

/// Another change was accepted first.
struct change_conflict {
  revision Current; ///< When the conflict was found.

  bool operator==(const change_conflict &) const = default;
};

struct change_invalid {
  std::string Details; ///< As the validation wrote them.

  bool operator==(const change_invalid &) const = default;
};

struct drain_recorded {
  std::uint64_t Version{0}; ///< Of the list of drains.

  bool operator==(const drain_recorded &) const = default;
};

/// Too many backend servers are drained already.
struct drains_full {
  bool operator==(const drains_full &) const = default;
};

/// What a change id was answered first; every resend gets it again.
using change_verdict =
    std::variant<change_accepted, change_conflict, change_invalid, drain_recorded, drains_full>;

/// Answer to apply_change and set_drain.
struct change_answer {
  change_verdict Verdict;
  bool Repeated{false}; ///< The id was answered before.

  bool operator==(const change_answer &) const = default;
};

/// The id was used for a change with another content, which was answered; this one has no effect.
struct change_id_reused {
  bool operator==(const change_id_reused &) const = default;
};

struct fence_granted {
  fencing_token Fence;

  bool operator==(const fence_granted &) const = default;
};

/// Answer to offer_declaration.
struct offer_answer {
  revision Current;  ///< In the log now; never below the offered one.
  bool Taken{false}; ///< The offered one is it.

  bool operator==(const offer_answer &) const = default;
};

/// Answer to note_backends.
struct backends_kept {
  bool operator==(const backends_kept &) const = default;
};

/// Answer to note_crash and clear_suspect.
struct suspects_kept {
  bool operator==(const suspects_kept &) const = default;
};

using claim_acquire_answer = result<claim_status, claim_error>;
using claim_done_answer = result<done, claim_error>; ///< Of a settle or an expiry.

using control_answer =
    std::variant<change_answer, change_id_reused, fence_granted, claim_acquire_answer,
                 claim_done_answer, offer_answer, backends_kept, suspects_kept>;

// ---- Stored records. ----

/// The declaration in force.
struct declared_text {
  revision Revision;
  std::string Text;

  bool operator==(const declared_text &) const = default;
};

/// One accepted change.
struct history_record {
  revision Revision;
  change_id Id;
  unix_millis Time{0};
  std::string Summary;

  bool operator==(const history_record &) const = default;
};

/// The first answer of one change id.
struct answer_record {
  change_id Id;
  std::uint64_t Content{0}; ///< Hash of what was asked, to tell a resend from a reused id.
  change_verdict Verdict;
  unix_millis Time{0};

  bool operator==(const answer_record &) const = default;
};

/**
 * Bounds of the state; the same on every member, or their states part.
 * An answer is forgotten when it is older than AnswerLifetime or more than MaxAnswers follow it. A
 * resend after that cannot be accepted twice: its base revision is no longer the current one.
 */
struct control_limits {
  std::size_t MaxAnswers{10'000};
  unix_millis AnswerLifetime{std::chrono::hours(24 * 7)};
  std::size_t MaxHistory{1'000};
  std::size_t MaxDrains{4'096};
  std::size_t MaxClaims{200'000};
  std::size_t MaxBackends{4'096}; ///< More are not kept; they are known by their notices alone.
};

/// The whole state as plain values.
struct control_snapshot {
  declared_text Declared;
  std::vector<history_record> History; ///< Oldest first.
  std::vector<answer_record> Answers;  ///< In the order they were given.
  std::vector<backend_address> Drains; ///< Ascending.
  std::uint64_t DrainsVersion{0};
  fencing_token LastFence;
  unix_millis LatestTime{0};
  claim_snapshot Claims;
  std::vector<backend_listing> Backends; ///< By their names.
  std::vector<suspect_record> Suspects;  ///< By their marks.
  std::uint64_t SuspectsVersion{0};

  bool operator==(const control_snapshot &) const = default;
};

/// Why a snapshot is not taken.
enum class control_state_error : std::uint8_t {
  InvalidSnapshot, ///< It breaks a rule that the state keeps.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_STATE_CONTROL_STATE_TYPE_H
