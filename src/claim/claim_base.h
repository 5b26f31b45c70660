/** @file claim_base.h The table of claims, the same on every replica of the control log. */
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
 * Who may run the work behind each idempotency key.
 * A key is granted to one send only; every other send is told the standing. The claim of a dead
 * owner stays Running until it expires, since nobody can prove that its work never ran.
 *
 * A command is checked without effect by check() and carried out by execute(), which checks again:
 * a refused command changes nothing, on every replica alike.
 */
class claim_table {
public:
  /// @param MaxClaims Claims held at most, the same on every replica.
  explicit claim_table(std::size_t MaxClaims) : Limit(MaxClaims) {}

  /// @return The verdict that execute() would give. The same send asking again gets the same one.
  [[nodiscard]] result<claim_status, claim_error> check(const claim_acquire &Command) const;
  [[nodiscard]] result<done, claim_error> check(const claim_settle &Command) const;
  [[nodiscard]] result<done, claim_error> check(const claim_expire &Command) const;

  result<claim_status, claim_error> execute(const claim_acquire &Command);
  result<done, claim_error> execute(const claim_settle &Command);
  result<done, claim_error> execute(const claim_expire &Command);

  /// @return The claim on a key, or nothing.
  [[nodiscard]] std::optional<claim_record> find(claim_key_hash Key) const;

  /// @return When the earliest claim expires, or nothing; the leader proposes claim_expire then.
  [[nodiscard]] std::optional<unix_millis> nextExpiry() const;

  /// @return Claims held, released ones included.
  [[nodiscard]] std::size_t size() const { return Claims.size(); }

  /// @return The table as plain values. Defined in claim_sl.cpp.
  [[nodiscard]] claim_snapshot snapshot() const;

  /// @return The table that a snapshot describes, or InvalidSnapshot. Defined in claim_sl.cpp.
  static result<claim_table, claim_error> restore(const claim_snapshot &Snapshot,
                                                  std::size_t MaxClaims);

private:
  using expiry_index = std::set<std::pair<unix_millis, claim_key_hash>>;

  [[nodiscard]] const claim_record *lookUp(claim_key_hash Key) const;
  [[nodiscard]] bool hasRoom() const;
  void insert(const claim_record &Record);
  void erase(claim_key_hash Key);
  void evictOneReleased();
  void requireConsistent() const;

  std::size_t Limit;
  unix_millis ExpiredUntil{0};
  std::map<claim_key_hash, claim_record> Claims;
  expiry_index ByExpiry; ///< Every claim.
  expiry_index Released; ///< Those that make room when the table is full.
};

} // namespace pollenstall

#endif // POLLENSTALL_CLAIM_CLAIM_BASE_H
