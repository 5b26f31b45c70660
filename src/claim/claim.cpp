/** @file claim.cpp Rows of the claim table and their two indexes by expiry time. */
#include "claim/claim_base.h"

namespace pollenstall {

const claim_record *claim_table::findRecord(claim_key_hash Key) const {
  const auto Found = Claims.find(Key);
  return Found == Claims.end() ? nullptr : &Found->second;
}

std::optional<claim_record> claim_table::find(claim_key_hash Key) const {
  const claim_record *Found = findRecord(Key);
  return Found == nullptr ? std::nullopt : std::optional<claim_record>(*Found);
}

std::optional<unix_millis> claim_table::nextExpiry() const {
  if (ByExpiry.empty())
    return std::nullopt;
  return ByExpiry.begin()->first;
}

bool claim_table::hasRoom() const { return Claims.size() < Capacity || !ReleasedByExpiry.empty(); }

void claim_table::insert(const claim_record &Record) {
  Claims.emplace(Record.Key, Record);
  ByExpiry.emplace(Record.ExpiresAt, Record.Key);
  if (Record.State == claim_state::Released)
    ReleasedByExpiry.emplace(Record.ExpiresAt, Record.Key);
}

void claim_table::erase(claim_key_hash Key) {
  const auto Found = Claims.find(Key);
  if (Found == Claims.end())
    return;
  const std::pair<unix_millis, claim_key_hash> Index{Found->second.ExpiresAt, Key};
  ByExpiry.erase(Index);
  ReleasedByExpiry.erase(Index);
  Claims.erase(Found);
}

void claim_table::evictReleasedIfFull() {
  // A released record is needed only to reject a late copy of its own acquire, so it is evicted for
  // a new claim.
  if (Claims.size() >= Capacity && !ReleasedByExpiry.empty())
    erase(ReleasedByExpiry.begin()->second);
}

void claim_table::requireConsistent() const {
  requireInvariant(Claims.size() <= Capacity, "the claim table stays within its capacity");
  requireInvariant(ByExpiry.size() == Claims.size(), "every claim is in the expiry index");
}

} // namespace pollenstall
