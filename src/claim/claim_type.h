/** @file claim_type.h Commands, records and refusals of the table of claims. */
#ifndef POLLENSTALL_CLAIM_CLAIM_TYPE_H
#define POLLENSTALL_CLAIM_CLAIM_TYPE_H

#include "dispatch/dispatch_type.h"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace pollenstall {

/**
 * Leading 128 bits of SHA-256 over acquire_claim::Key; the protocol layer computes it.
 * The table holds hashes only, so that no key of a caller reaches a disk or a dump.
 */
struct claim_key_hash {
  std::uint64_t High{0};
  std::uint64_t Low{0};

  auto operator<=>(const claim_key_hash &) const = default;
};

/// Milliseconds of wall-clock time since 1970; claims outlive every process, so a monotonic clock
/// of one host would not do.
using unix_millis = std::chrono::duration<std::int64_t, std::milli>;

/// Which send of a request holds a claim: one request of one life of one entry.
struct claim_holder {
  process_key Owner;
  request_number Request;

  auto operator<=>(const claim_holder &) const = default;
};

/// Claims a key for one send.
struct claim_acquire {
  claim_key_hash Key;
  claim_holder Holder;
  unix_millis ExpiresAt{0}; ///< Past the request's deadline and the callers' resend window.

  bool operator==(const claim_acquire &) const = default;
};

/// Records how the claimed work ended; only the holder may.
struct claim_settle {
  claim_key_hash Key;
  claim_holder Holder;
  claim_state Standing{claim_state::Unknown}; ///< Never Running.
  unix_millis ExpiresAt{0}; ///< Used only where Released overtook its own acquire.

  bool operator==(const claim_settle &) const = default;
};

/// Forgets claims whose time is over, a bounded number at once: the rest stays held until the next.
/// The log's leader proposes it from its wall clock while nextExpiry() is not after Now.
struct claim_expire {
  unix_millis Now{0};

  bool operator==(const claim_expire &) const = default;
};

/// Any command on the table, for embedding in a replicated log.
using claim_command = std::variant<claim_acquire, claim_settle, claim_expire>;

/// Why a command has no effect; the same on every replica.
enum class claim_error : std::uint8_t {
  TableFull,       ///< The bound on claims is reached and no released one can make room.
  AlreadyExpired,  ///< The claim would end before the time of the last expiry.
  Withdrawn,       ///< This send has released its claim already; a late copy of its acquire.
  NotHolder,       ///< Another send holds the key, or nobody does.
  AlreadySettled,  ///< The end is recorded and differs.
  InvalidStanding, ///< Running is no end.
  TimeWentBack,    ///< An expiry with an earlier time than the last.
  InvalidSnapshot, ///< A key twice, or more claims than the bound.
};

/// One claim, as stored in a snapshot.
struct claim_record {
  claim_key_hash Key;
  claim_holder Holder;
  claim_state Standing{claim_state::Running};
  unix_millis ExpiresAt{0};

  bool operator==(const claim_record &) const = default;
};

/// The whole table as plain values, in ascending order of keys.
struct claim_snapshot {
  unix_millis ExpiredUntil{0}; ///< Time of the last expiry.
  std::vector<claim_record> Records;

  bool operator==(const claim_snapshot &) const = default;
};

/// What the entry is told where the table refuses or the log gives no answer in time.
/// Nothing was claimed for this send, so nothing may run.
constexpr claim_status VerdictOnRefusal = claim_status::Unavailable;

} // namespace pollenstall

#endif // POLLENSTALL_CLAIM_CLAIM_TYPE_H
