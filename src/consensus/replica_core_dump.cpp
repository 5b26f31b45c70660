/** @file replica_core_dump.cpp Status and text dump of a replica. */
#include "consensus/replica_core_base.h"

#include <sstream>

namespace pollenstall {

replica_status replica_core::status(mono_time Now) const {
  replica_status Status;
  Status.Self = Self;
  Status.Role = role();
  Status.Term = Hard.Term;
  Status.Leader = Leader;
  Status.Commit = Commit;
  Status.Applied = Applied;
  Status.LastIndex = Log.lastIndex();
  Status.SnapshotIndex = Snapshot ? Snapshot->Index : log_index();
  Status.LeaseValid = leaseValid(Now);
  Status.Empty = isEmpty();
  Status.Members = members();
  Status.Domains = Domains;
  for (const follower_progress &Progress : Followers) {
    const log_member *Member = findMember(members(), Progress.key());
    const mono_time LastReply = Progress.lastRepliedSendTime().value_or(LeadingSince);
    if (Member != nullptr)
      Status.Progress.push_back({*Member, Progress.match(), Now - LastReply});
  }
  return Status;
}

std::string replica_core::dump() const {
  std::ostringstream Out;
  Out << "self " << toText(Self) << " cluster " << cluster() << " role " << toText(role())
      << " term " << Hard.Term << " vote " << toText(Hard.Vote) << " leader " << toText(Leader)
      << '\n';
  Out << "log base " << Log.baseIndex() << " last " << Log.lastIndex() << " commit " << Commit
      << " applied " << Applied << " durable " << PersistTracker.durable() << " snapshot "
      << (Snapshot ? Snapshot->Index : log_index()) << '\n';
  Out << "members since " << History.currentIndex() << ": " << toText(members()) << '\n';
  for (const follower_progress &Progress : Followers)
    Out << "follower " << toText(Progress.key()) << " match " << Progress.match() << " next "
        << Progress.next() << " mode " << static_cast<int>(Progress.mode()) << '\n';
  Out << "deferred messages " << DeferredMessages.size() << " reads " << PendingReads.size()
      << " votes " << Votes.size() << '\n';
  return Out.str();
}

} // namespace pollenstall
