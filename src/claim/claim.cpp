/** @file claim.cpp The rows of the table of claims and their two indexes by expiry. */
#include "claim/claim_base.h"

namespace pollenstall {

const claim_record *claim_table::lookUp(claim_key_hash Key) const {
  const auto Found = Claims.find(Key);
  return Found == Claims.end() ? nullptr : &Found->second;
}

std::optional<claim_record> claim_table::find(claim_key_hash Key) const {
  const claim_record *Found = lookUp(Key);
  return Found == nullptr ? std::nullopt : std::optional<claim_record>(*Found);
}

std::optional<unix_millis> claim_table::nextExpiry() const {
  if (ByExpiry.empty())
    return std::nullopt;
  return ByExpiry.begin()->first;
}

bool claim_table::hasRoom() const { return Claims.size() < Limit || !Released.empty(); }

void claim_table::insert(const claim_record &Record) {
  Claims.emplace(Record.Key, Record);
  ByExpiry.emplace(Record.ExpiresAt, Record.Key);
  if (Record.Standing == claim_state::Released)
    Released.emplace(Record.ExpiresAt, Record.Key);
}

void claim_table::erase(claim_key_hash Key) {
  const auto Found = Claims.find(Key);
  if (Found == Claims.end())
    return;
  const std::pair<unix_millis, claim_key_hash> Index{Found->second.ExpiresAt, Key};
  ByExpiry.erase(Index);
  Released.erase(Index);
  Claims.erase(Found);
}

void claim_table::evictOneReleased() {
  // A released row only guards against a late copy of its own acquire; a live claim matters more.
  if (Claims.size() >= Limit && !Released.empty())
    erase(Released.begin()->second);
}

void claim_table::requireConsistent() const {
  requireInvariant(Claims.size() <= Limit, "the table of claims stays within its bound");
  requireInvariant(ByExpiry.size() == Claims.size(), "every claim is in the index by expiry");
}

} // namespace pollenstall
