/** @file claim_base.h The claim table, identical on every replica of the control log. */
#ifndef POLLENSTALL_CLAIM_CLAIM_BASE_H
#define POLLENSTALL_CLAIM_CLAIM_BASE_H

#include "claim/claim_type.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace pollenstall {

/**
 * Records which request may run the work of each idempotency key.
 * A key is granted to one request only; every other request with the key gets a verdict that
 * shows the claim's state. If the holder's process ends, its claim stays Running until it expires,
 * since nobody can prove that its work never ran.
 *
 * check() validates a command without changing the table. execute() validates it again and applies
 * it; a refused command changes nothing on any replica.
 */
class claim_table {
public:
  /// @param MaxClaims Maximum number of claims; the same on every replica.
  explicit claim_table(std::size_t MaxClaims) : Capacity(MaxClaims) {}

  /// @return The verdict that execute() would return. A request that repeats its acquire gets the
  /// same verdict until its claim is settled.
  [[nodiscard]] result<claim_status, claim_error> check(const claim_acquire &Command) const;
  [[nodiscard]] result<done, claim_error> check(const claim_settle &Command) const;
  [[nodiscard]] result<done, claim_error> check(const claim_expire &Command) const;

  result<claim_status, claim_error> execute(const claim_acquire &Command);
  result<done, claim_error> execute(const claim_settle &Command);
  result<done, claim_error> execute(const claim_expire &Command);

  /// @return The claim on the key, or nothing if there is none.
  [[nodiscard]] std::optional<claim_record> find(claim_key_hash Key) const;

  /// @return The time at which the earliest claim expires, or nothing if the table is empty. The
  /// leader proposes claim_expire at that time.
  [[nodiscard]] std::optional<unix_millis> nextExpiry() const;

  /// @return The number of claims, including released ones.
  [[nodiscard]] std::size_t size() const { return Claims.size(); }

  /// Returns the table as plain values. Defined in claim_sl.cpp.
  [[nodiscard]] claim_snapshot snapshot() const;

  /// Rebuilds the table from a snapshot. Defined in claim_sl.cpp. @return The table, or
  /// InvalidSnapshot.
  static result<claim_table, claim_error> restore(const claim_snapshot &Snapshot,
                                                  std::size_t MaxClaims);

private:
  using expiry_index = std::set<std::pair<unix_millis, claim_key_hash>>;

  [[nodiscard]] const claim_record *findRecord(claim_key_hash Key) const;
  [[nodiscard]] bool hasRoom() const;
  void insert(const claim_record &Record);
  void erase(claim_key_hash Key);
  void evictReleasedIfFull();
  void requireConsistent() const;

  std::size_t Capacity;
  unix_millis LastExpireTime{0}; ///< Time of the last claim_expire.
  std::map<claim_key_hash, claim_record> Claims;
  expiry_index ByExpiry;         ///< All claims.
  expiry_index ReleasedByExpiry; ///< Released claims, which are evicted when the table is full.
};

} // namespace pollenstall

#endif // POLLENSTALL_CLAIM_CLAIM_BASE_H
