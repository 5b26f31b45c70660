/** @file claim_sl.cpp The table of claims to and from plain values; the protocol layer encodes them
 * and names the version. */
#include "claim/claim_base.h"

namespace pollenstall {

claim_snapshot claim_table::snapshot() const {
  claim_snapshot Snapshot;
  Snapshot.ExpiredUntil = ExpiredUntil;
  Snapshot.Records.reserve(Claims.size());
  for (const auto &[Key, Record] : Claims)
    Snapshot.Records.push_back(Record);
  return Snapshot;
}

result<claim_table, claim_error> claim_table::restore(const claim_snapshot &Snapshot,
                                                      std::size_t MaxClaims) {
  if (Snapshot.Records.size() > MaxClaims)
    return claim_error::InvalidSnapshot;
  claim_table Table(MaxClaims);
  Table.ExpiredUntil = Snapshot.ExpiredUntil;
  for (const claim_record &Record : Snapshot.Records) {
    if (Table.lookUp(Record.Key) != nullptr)
      return claim_error::InvalidSnapshot;
    Table.insert(Record);
  }
  return Table;
}

} // namespace pollenstall
