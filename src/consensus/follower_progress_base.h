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
  /// @param NextRound Of the next message: older answers say nothing of the new mode.
  void sentSnapshot(std::uint64_t NextRound, mono_time Now);
  [[nodiscard]] mono_time snapshotSentAt() const { return SnapshotSentAt; }
  /// A lost probe is sent again with the next heartbeat.
  void allowProbe() { ProbeUnderWay = false; }

  /// The member has everything up to Index on its disk. @return Whether that is news.
  bool matched(log_index Index, std::uint64_t Round, std::uint64_t NextRound);
  /// The log did not fit at Prev. @param NextTry Where to go on. @return False where that is old.
  bool rejected(log_index Prev, log_index NextTry, std::uint64_t Round, std::uint64_t NextRound);
  /// The snapshot is lost or useless: look for the common part again.
  void leaveSnapshot(log_index NextTry, std::uint64_t NextRound);

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
  /**
   * Each answer may set off several appends. If an answer to a message from before the last change
   * of mode could change the mode back, reordered answers would multiply without end.
   */
  void changeMode(send_mode To, std::uint64_t NextRound);

  send_mode Mode{send_mode::Probe};
  std::uint64_t ModeSince{0}; ///< Round of the first message sent in this mode.
  bool ProbeUnderWay{false};
  std::deque<log_index> InFlight; ///< Last index of each append without an answer.
  mono_time SnapshotSentAt{};
  std::uint64_t HeardRound{0};
  std::optional<mono_time> HeardAt; ///< Send time of the newest message that was answered.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_FOLLOWER_PROGRESS_BASE_H
