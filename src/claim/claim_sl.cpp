/** @file claim_sl.cpp Converts the claim table to and from a snapshot of plain values. The protocol
 * layer encodes the snapshot and adds its format version. */
#include "claim/claim_base.h"

namespace pollenstall {

claim_snapshot claim_table::snapshot() const {
  claim_snapshot Snapshot;
  Snapshot.LastExpireTime = LastExpireTime;
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
  Table.LastExpireTime = Snapshot.LastExpireTime;
  for (const claim_record &Record : Snapshot.Records) {
    if (Table.findRecord(Record.Key) != nullptr)
      return claim_error::InvalidSnapshot;
    Table.insert(Record);
  }
  return Table;
}

} // namespace pollenstall
