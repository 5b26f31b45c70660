/** @file claim_type.h Commands, records and errors of the claim table. */
#ifndef POLLENSTALL_CLAIM_CLAIM_TYPE_H
#define POLLENSTALL_CLAIM_CLAIM_TYPE_H

#include "dispatch/dispatch_type.h"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace pollenstall {

/**
 * The first 128 bits of the SHA-256 hash of the field Key of dispatch's action acquire_claim,
 * computed by the protocol layer. The table stores hashes only, so that no caller's key is written
 * to a disk or a dump.
 */
struct claim_key_hash {
  std::uint64_t High{0};
  std::uint64_t Low{0};

  auto operator<=>(const claim_key_hash &) const = default;
};

/// Wall-clock time in milliseconds since 1970. Claims outlive every process, so the monotonic clock
/// of one host cannot date them.
using unix_millis = std::chrono::duration<std::int64_t, std::milli>;

/// Identifies the request that holds a claim: a request number of one incarnation of an entry. A
/// caller's retry with the same key is another request.
struct claim_holder {
  process_key Owner;
  request_number Request;

  auto operator<=>(const claim_holder &) const = default;
};

/// Claims a key for one request.
struct claim_acquire {
  claim_key_hash Key;
  claim_holder Holder;
  /// Later than the request's deadline plus the time in which callers retry.
  unix_millis ExpiresAt{0};

  bool operator==(const claim_acquire &) const = default;
};

/// Records the outcome of the claimed work. Only the holder may settle its claim.
struct claim_settle {
  claim_key_hash Key;
  claim_holder Holder;
  claim_state State{claim_state::Unknown}; ///< Never Running.
  /// Used only by a release that arrives before the acquire that it releases.
  unix_millis ExpiresAt{0};

  bool operator==(const claim_settle &) const = default;
};

/// Removes expired claims, up to a bound per command; the next command removes further ones. The
/// leader proposes it with its wall-clock time while nextExpiry() is not after Now.
struct claim_expire {
  unix_millis Now{0};

  bool operator==(const claim_expire &) const = default;
};

/// Any command on the table, to be embedded in a replicated log.
using claim_command = std::variant<claim_acquire, claim_settle, claim_expire>;

/// Reason why a command has no effect; the same on every replica.
enum class claim_error : std::uint8_t {
  TableFull,         ///< The table is at its capacity and no released claim can be evicted.
  AlreadyExpired,    ///< The claim's expiry is not after the time of the last claim_expire.
  AlreadyReleased,   ///< A late copy of an acquire whose request has released its claim.
  NotHolder,         ///< Another request holds the key, or no request does.
  AlreadySettled,    ///< Another outcome is recorded.
  InvalidState,      ///< Running is not an outcome.
  TimeWentBackwards, ///< A claim_expire with an earlier time than the last one.
  InvalidSnapshot,   ///< A key occurs twice, or there are more claims than the capacity.
};

/// One claim, as stored in a snapshot.
struct claim_record {
  claim_key_hash Key;
  claim_holder Holder;
  claim_state State{claim_state::Running};
  unix_millis ExpiresAt{0};

  bool operator==(const claim_record &) const = default;
};

/// The whole table as plain values, in ascending order of the keys.
struct claim_snapshot {
  unix_millis LastExpireTime{0}; ///< Time of the last claim_expire.
  std::vector<claim_record> Records;

  bool operator==(const claim_snapshot &) const = default;
};

/// The verdict that the table's caller gives the entry if the table refuses an acquire or the log
/// does not answer in time. Nothing was claimed for the request, so it must not run.
constexpr claim_status StatusOnRefusal = claim_status::Unavailable;

} // namespace pollenstall

#endif // POLLENSTALL_CLAIM_CLAIM_TYPE_H
