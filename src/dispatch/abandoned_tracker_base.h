/** @file abandoned_tracker_base.h Tracks abandoned attempts until their memory is known to be free.
 */
#ifndef POLLENSTALL_DISPATCH_ABANDONED_TRACKER_BASE_H
#define POLLENSTALL_DISPATCH_ABANDONED_TRACKER_BASE_H

#include "dispatch/attempt_base.h"
#include "dispatch/dispatch_dump_type.h"
#include "dispatch/timer_queue_base.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// An attempt whose answer is no longer awaited.
struct abandoned_attempt {
  attempt_id Attempt;
  backend_key Backend;
  attempt_lifecycle Lifecycle;                           ///< In state Cancelling.
  attempt_state ReachedState{attempt_state::Connecting}; ///< Furthest state reached; later events
                                                         ///< still update it.
  std::optional<attempt_failure> Failure;
  std::optional<std::string> ClaimKey; ///< Set if its claim was settled as Unknown.
  std::chrono::milliseconds ClaimLifetime{0};
  mono_time AbandonedAt;
  std::uint32_t CancelsSent{0};

  /// Records that a byte was sent after the attempt was abandoned. A failure to connect that is
  /// reported later no longer proves that nothing was sent.
  void markSent() {
    if (ReachedState == attempt_state::Connecting)
      ReachedState = attempt_state::Sent;
  }
  /**
   * Returns whether a reply "attempt unknown" is final because the start can no longer arrive.
   * A cancel on a new connection can overtake the start on the old one. The engine then replies
   * that it does not know the attempt, reads the start afterwards, and computes an answer that
   * nobody waits for while it holds the memory.
   */
  [[nodiscard]] bool canNoLongerStart(mono_time Now) const;
  /// Records that an answer began after the attempt was abandoned.
  void markAnswering() { ReachedState = attempt_state::Answering; }
};

/**
 * Tracks abandoned attempts.
 * A cancel can be lost with its connection. An engine that does not receive it continues to compute
 * and never frees the memory. The cancel is therefore repeated with exponential backoff until the
 * backend server confirms it or its incarnation ends. Until then the memory counts as used.
 */
class abandoned_tracker {
public:
  explicit abandoned_tracker(std::uint64_t Seed) : Random(Seed) {}

  /// Adds an attempt; its first cancel is due at Now.
  void add(abandoned_attempt Attempt, mono_time Now);
  /// @return The attempt, or null.
  abandoned_attempt *find(const attempt_id &Attempt);
  /// Removes and returns an attempt; its lifecycle must be in a final state.
  abandoned_attempt remove(const attempt_id &Attempt);
  /// Returns a cancel that is due, if any, and schedules its repetition.
  std::optional<cancel_attempt> popDueCancel(mono_time Now);
  /// @return When the next cancel is due; empty if there is none.
  [[nodiscard]] std::optional<mono_time> nextWake() const { return Cancels.next(); }
  /// @return All abandoned attempts at one backend server.
  [[nodiscard]] std::vector<attempt_id> attemptsOn(const backend_key &Backend) const;
  [[nodiscard]] std::size_t size() const { return Attempts.size(); }
  [[nodiscard]] std::vector<abandoned_dump> dump(mono_time Now) const;

private:
  mono_duration backoffAfter(std::uint32_t CancelsSent);

  std::map<attempt_id, abandoned_attempt> Attempts;
  timer_queue<attempt_id> Cancels;
  random_source Random;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_ABANDONED_TRACKER_BASE_H
