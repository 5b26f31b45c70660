/** @file declaration_lease.cpp Revisions only increase, and are usable only under a lease. */
#include "control_link/declaration_lease_base.h"

namespace pollenstall {

declaration_action declaration_lease::actionFor(revision Revision) const {
  if (!InUse || Revision > *InUse)
    return declaration_action::Take;
  return Revision == *InUse ? declaration_action::Repeat : declaration_action::Stale;
}

void declaration_lease::markInUse(revision Revision) {
  requireInvariant(!InUse || Revision >= *InUse, "a revision in use never reverts");
  InUse = Revision;
}

void declaration_lease::extend(revision Revision, mono_time Until) {
  // A lease for an older revision than the one in use was requested before the change; a lease for
  // a newer revision was not requested by this entry. Neither applies to the declaration in use.
  if (!InUse || Revision != *InUse)
    return;
  if (Until > LeaseEnd)
    LeaseEnd = Until;
}

bool declaration_lease::ready(mono_time Now) const { return InUse && Now < LeaseEnd; }

} // namespace pollenstall
