/** @file follower_progress_base.h What a leader knows of one other member. */
#ifndef POLLENSTALL_CONSENSUS_FOLLOWER_PROGRESS_BASE_H
#define POLLENSTALL_CONSENSUS_FOLLOWER_PROGRESS_BASE_H

#include "consensus/consensus_type.h"

#include <deque>

namespace pollenstall {

/// How entries are sent to a member.
enum class send_mode : std::uint8_t {
  Probe,     ///< One append at a time until the logs' common part is found.
  Replicate, ///< Several appends under way at once.
  Snapshot,  ///< A snapshot is under way; no entries.
};

/// Match, next index and appends under way of one member, by the rules of their changes.
class follower_progress {
public:
  follower_progress(member_key Member, log_index First) : Key(Member), Next(First) {}

  [[nodiscard]] const member_key &key() const { return Key; }
  [[nodiscard]] log_index match() const { return Match; }
  [[nodiscard]] log_index next() const { return Next; }
  [[nodiscard]] send_mode mode() const { return Mode; }
  /// @return Whether an append with entries may go out now.
  [[nodiscard]] bool mayAppend(std::size_t MaxInFlight) const;

  /// An append up to Last went out; Last is before next() where it was empty.
  void sentAppend(log_index Last);
  void sentSnapshot(mono_time Now);
  [[nodiscard]] mono_time snapshotSentAt() const { return SnapshotSentAt; }
  /// A lost probe is sent again with the next heartbeat.
  void allowProbe() { ProbeUnderWay = false; }

  /// The member has everything up to Index on its disk. @return Whether that is news.
  bool matched(log_index Index);
  /// The member's log did not fit. @param NextTry Where to go on. @return False where the answer is
  /// old.
  bool rejected(log_index Prev, log_index NextTry);
  /// The snapshot is lost or useless: look for the common part again.
  void leaveSnapshot(log_index NextTry);

  /// The member answered a message that this leader sent at SentAt.
  void heard(std::uint64_t Round, mono_time SentAt);
  /// Times before a clock jump mean nothing.
  void forgetHeard() { HeardAt.reset(); }
  [[nodiscard]] std::uint64_t heardRound() const { return HeardRound; }
  [[nodiscard]] std::optional<mono_time> heardAt() const { return HeardAt; }

  log_index SentCommit; ///< The commit index that was last sent.

private:
  member_key Key;
  log_index Match;
  log_index Next;
  send_mode Mode{send_mode::Probe};
  bool ProbeUnderWay{false};
  std::deque<log_index> InFlight; ///< Last index of each append without an answer.
  mono_time SnapshotSentAt{};
  std::uint64_t HeardRound{0};
  std::optional<mono_time> HeardAt; ///< Send time of the newest message that was answered.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_FOLLOWER_PROGRESS_BASE_H
