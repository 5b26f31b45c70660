/** @file abandoned_base.h Attempts that nobody waits for, kept until their memory is surely free.
 */
#ifndef POLLENSTALL_DISPATCH_ABANDONED_BASE_H
#define POLLENSTALL_DISPATCH_ABANDONED_BASE_H

#include "dispatch/attempt_base.h"
#include "dispatch/dispatch_dump_type.h"
#include "dispatch/wake_queue_base.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// What is needed of an abandoned attempt.
struct abandoned_attempt {
  attempt_id Attempt;
  backend_key Backend;
  attempt_lifecycle Lifecycle;                        ///< In Cancelling.
  attempt_state GivenUpIn{attempt_state::Connecting}; ///< Moved on by events that come late.
  std::optional<attempt_failure> Failure;
  std::optional<std::string> ClaimKey; ///< Where its claim was settled as Unknown.
  std::chrono::milliseconds ClaimLifetime{0};
  mono_time Since;
  std::uint32_t CancelsSent{0};

  /// A byte left after the attempt was given up: a refused connection no longer fits.
  void noteSending() {
    if (GivenUpIn == attempt_state::Connecting)
      GivenUpIn = attempt_state::Sent;
  }
  /**
   * A cancel on a new connection can overtake the start on the old one: the engine says that it
   * knows no such attempt, then reads the start, and computes for nobody with its memory taken.
   * @return Whether "never seen" is final by now, so that no start can follow.
   */
  [[nodiscard]] bool startIsOver(mono_time Now) const;
  /// An answer began after the attempt was given up.
  void noteAnswering() { GivenUpIn = attempt_state::Answering; }
};

/**
 * The ledger of abandoned attempts.
 * A cancel can be lost with its connection, and an engine that never hears it computes on and keeps
 * its memory for good. So the cancel is repeated, with growing pauses, until the backend server
 * confirms or its life is over; until then the memory counts as taken.
 */
class abandoned_ledger {
public:
  explicit abandoned_ledger(std::uint64_t Seed) : Random(Seed) {}

  /// Takes an attempt in; its first cancel is due at Now.
  void add(abandoned_attempt Attempt, mono_time Now);
  /// @return The attempt, or null.
  abandoned_attempt *find(const attempt_id &Attempt);
  /// Takes an attempt out whose end is sure; its life is final.
  abandoned_attempt take(const attempt_id &Attempt);
  /// @return An attempt whose cancel is due; the next one is scheduled.
  std::optional<cancel_attempt> takeDueCancel(mono_time Now);
  /// @return When the next cancel is due, or nothing.
  [[nodiscard]] std::optional<mono_time> nextWake() const { return Cancels.next(); }
  /// @return Every attempt on one backend server.
  [[nodiscard]] std::vector<attempt_id> onBackend(const backend_key &Backend) const;
  [[nodiscard]] std::size_t size() const { return Attempts.size(); }
  [[nodiscard]] std::vector<abandoned_dump> dump(mono_time Now) const;

private:
  mono_duration pauseAfter(std::uint32_t CancelsSent);

  std::map<attempt_id, abandoned_attempt> Attempts;
  wake_queue<attempt_id> Cancels;
  random_source Random;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_ABANDONED_BASE_H
