/** @file entry_freshness.cpp Revisions only rise, and count only under a lease. */
#include "control_link/entry_freshness_base.h"

namespace pollenstall {

offer_verdict entry_freshness::offer(revision Revision) const {
  if (!Used || Revision > *Used)
    return offer_verdict::Take;
  return Revision == *Used ? offer_verdict::Repeat : offer_verdict::Stale;
}

void entry_freshness::inUse(revision Revision) {
  requireInvariant(!Used || Revision >= *Used, "a revision in use never reverts");
  Used = Revision;
}

void entry_freshness::extend(revision Revision, mono_time Until) {
  // A lease for an older revision than the one in use was asked for before the change; one for a
  // newer revision cannot be ours. Neither says anything about the declaration in use.
  if (!Used || Revision != *Used)
    return;
  if (Until > LeaseEnd)
    LeaseEnd = Until;
}

bool entry_freshness::ready(mono_time Now) const { return Used && Now < LeaseEnd; }

} // namespace pollenstall
