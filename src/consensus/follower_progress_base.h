/** @file follower_progress_base.h Replication progress of one other member, kept by the leader. */
#ifndef POLLENSTALL_CONSENSUS_FOLLOWER_PROGRESS_BASE_H
#define POLLENSTALL_CONSENSUS_FOLLOWER_PROGRESS_BASE_H

#include "consensus/consensus_type.h"

#include <deque>

namespace pollenstall {

/// How the leader sends entries to a member.
enum class send_mode : std::uint8_t {
  Probe,     ///< One append at a time until the last matching entry is found.
  Replicate, ///< Several appends in flight at once.
  Snapshot,  ///< A snapshot is in flight; no entries are sent.
};

/// Match index, next index and in-flight appends of one member.
class follower_progress {
public:
  follower_progress(member_key Member, log_index First) : Key(Member), Next(First) {}

  [[nodiscard]] const member_key &key() const { return Key; }
  [[nodiscard]] log_index match() const { return Match; }
  [[nodiscard]] log_index next() const { return Next; }
  [[nodiscard]] send_mode mode() const { return Mode; }
  /// @return Whether an append with entries may be sent now.
  [[nodiscard]] bool mayAppend(std::size_t MaxInFlight) const;

  /// Records an append up to Last; an empty append has a Last before next().
  void recordSentAppend(log_index Last);
  /// Switches to snapshot mode. @param NextRound Round of the next message; replies to earlier
  /// rounds cannot change the mode.
  void recordSentSnapshot(std::uint64_t NextRound, mono_time Now);
  [[nodiscard]] mono_time snapshotSentAt() const { return SnapshotSentAt; }
  /// Permits another probe, in case the last one was lost; called for each heartbeat.
  void allowProbe() { ProbeInFlight = false; }

  /// Records that entries up to Index are durable on the member. @return Whether match() advanced.
  bool recordMatch(log_index Index, std::uint64_t Round, std::uint64_t NextRound);
  /// Records that the member's log did not match at Prev. @param NextTry Next index to probe.
  /// @return False if the reply is stale.
  bool recordRejection(log_index Prev, log_index NextTry, std::uint64_t Round,
                       std::uint64_t NextRound);
  /// Returns to probing after a snapshot was installed or lost.
  void restartProbe(log_index NextTry, std::uint64_t NextRound);

  /// Records a reply to the message of Round, which this leader sent at SentAt.
  void recordReply(std::uint64_t Round, mono_time SentAt);
  /// Called at a clock jump, after which earlier times are invalid.
  void clearRepliedSendTime() { LastRepliedSendTime.reset(); }
  [[nodiscard]] std::uint64_t lastRepliedRound() const { return LastRepliedRound; }
  [[nodiscard]] std::optional<mono_time> lastRepliedSendTime() const { return LastRepliedSendTime; }

  log_index SentCommit; ///< Last commit index sent to the member.

private:
  member_key Key;
  log_index Match;
  log_index Next;
  /**
   * Changes the mode from NextRound on; replies to earlier rounds cannot change it again. Each
   * reply may trigger several appends. If a reply to a message sent before the last change of mode
   * could change the mode back, reordered replies would make the messages multiply without bound.
   */
  void changeMode(send_mode NewMode, std::uint64_t NextRound);

  send_mode Mode{send_mode::Probe};
  std::uint64_t FirstModeRound{0}; ///< Round of the first message sent in this mode.
  bool ProbeInFlight{false};
  std::deque<log_index> InFlight; ///< Last index of each unacknowledged append.
  mono_time SnapshotSentAt{};
  std::uint64_t LastRepliedRound{0};
  std::optional<mono_time> LastRepliedSendTime; ///< Send time of the newest message with a reply.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_FOLLOWER_PROGRESS_BASE_H
