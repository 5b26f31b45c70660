/** @file dispatcher_base.h The lifecycle of each request, from its arrival to its final answer. */
#ifndef POLLENSTALL_DISPATCH_DISPATCHER_BASE_H
#define POLLENSTALL_DISPATCH_DISPATCHER_BASE_H

#include "declaration/declaration_type.h"
#include "dispatch/abandoned_tracker_base.h"
#include "dispatch/dispatch_dump_type.h"
#include "dispatch/dispatch_type.h"
#include "dispatch/dispatcher_callbacks_type.h"
#include "dispatch/live_request_type.h"
#include "dispatch/timer_queue_base.h"
#include "retry_budget/retry_budget.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollenstall {

class dispatcher_builder;

/**
 * Decides what happens to each request: claim, queue, attempt, retry, resume, and the one final
 * answer. It is a state machine without a clock: events and the current time are passed to its
 * methods, and the caller must check takeActions() and nextWake() after each call.
 *
 * Invariants, checked in release builds too:
 *  - Each request gets exactly one final answer.
 *  - A non-idempotent request that may have run is not started again.
 *  - A request that may have run is never reported as "not run".
 *  - Each started attempt ends exactly once. An abandoned attempt is tracked until it ends.
 *  - An attempt that is merely silent is abandoned only once another attempt of the request has
 *    begun to answer, or the request ends.
 */
class dispatcher {
public:
  /// Handles an event from a caller, a backend server or a claim. An event that matches no request
  /// or attempt, or that its state does not allow, is only counted.
  void handle(const dispatch_event &Event, mono_time Now);
  /// Starts an attempt at the backend server that the scheduler has chosen.
  void place(const work_placement &Placement, mono_time Now);
  /// Ends a queued request that the scheduler has expired.
  void expire(const work_expiry &Expiry, mono_time Now);

  /**
   * Handles a backend server that has been unresponsive for the expiry time. This does not prove
   * that it stopped: idempotent requests without an answer yet are retried elsewhere if the retry
   * budget allows it, and all other requests keep waiting.
   */
  void backendLost(const backend_key &Backend, mono_time Now);
  /**
   * Handles the certain end of a backend server's incarnation: another incarnation answers at its
   * address, or membership has removed it. Its memory is free, and no cancel needs to be sent.
   */
  void backendGone(const backend_key &Backend, mono_time Now);

  /// Handles due deadlines, claim timeouts, slow attempts and repeated cancels.
  void advance(mono_time Now);
  /// @return When advance() must be called next; empty if nothing is scheduled.
  [[nodiscard]] std::optional<mono_time> nextWake() const;
  /// Returns the pending actions in the order in which to execute them, and clears them.
  std::vector<dispatch_action> takeActions();

  /// Refuses new requests from now on and ends those that still run at Now + Limit.
  void beginShutdown(mono_time Now, mono_duration Limit);
  /// Sets whether a declaration is in force. Without one, new requests are refused while admitted
  /// ones continue.
  void setReady(bool Value) { Ready = Value; }
  /// Applies the limits of a new declaration. Deadlines and claim lifetimes that are already set
  /// stay; MaxAttempts applies to live requests too.
  void applyLimits(const limits_declaration &Value);
  /// Replaces the token bucket of retries by a budget that all entries share; see retry_budget.
  void setRetryAllowance(const retry_allowance &Value, mono_time Now) {
    Budget.setAllowance(Value, Self.Incarnation.value(), Now);
  }
  /// @return The budget that all entries share; nullptr if there is none.
  [[nodiscard]] shared_retry_budget *sharedRetries() { return Budget.shared(); }
  /// Handles a message of another entry about loans of retries.
  void receiveRetryMessage(const received_retry_message &Received, mono_time Now);

  /// @return The number of requests without a final answer.
  [[nodiscard]] std::size_t liveRequests() const { return Requests.size(); }
  /// @return The number of abandoned attempts whose memory still counts as used.
  [[nodiscard]] std::size_t abandonedAttempts() const { return Abandoned.size(); }
  /// @return The state, without prompts and keys.
  [[nodiscard]] dispatch_dump dump(mono_time Now);

private:
  friend class dispatcher_builder;
  dispatcher(process_key Self, const limits_declaration &Limits, std::uint64_t Seed,
             dispatcher_callbacks Callbacks);

  /// How a further attempt begins.
  enum class retry_start : std::uint8_t {
    Queue,     ///< The budget pays for it.
    AwaitLoan, ///< Another entry may lend a retry.
  };

  // dispatcher.cpp and dispatcher_attempt.cpp: event handlers.
  void on(const request_arrived &Event, mono_time Now);
  void on(const caller_left &Event, mono_time Now);
  void on(const claim_answered &Event, mono_time Now);
  void on(const attempt_sending &Event, mono_time Now);
  void on(const attempt_answering &Event, mono_time Now);
  void on(const attempt_advanced &Event, mono_time Now);
  void on(const attempt_completed &Event, mono_time Now);
  void on(const attempt_failed &Event, mono_time Now);
  void on(const attempt_silent &Event, mono_time Now);
  void on(const cancel_confirmed &Event, mono_time Now);

  // dispatcher.cpp: requests.
  std::optional<failure_reason> rejectionOnArrival(const live_request &Request,
                                                   mono_time Now) const;
  void requestClaim(live_request &Request, mono_time Now);
  void submit(live_request &Request, mono_time Now);
  void finishComplete(live_request &Request, mono_time Now);
  void finishAlreadyComplete(live_request &Request, mono_time Now);
  void finishWithFailure(live_request &Request, failure_reason Reason,
                         std::optional<std::chrono::seconds> RetryAfter, mono_time Now);
  void settle(const live_request &Request, claim_state FinalState);
  void close(live_request &Request, const finish_request &Finish, mono_time Now);
  std::optional<std::chrono::seconds> retryAfter(const live_request &Request, failure_reason Reason,
                                                 std::optional<std::chrono::seconds> Suggested,
                                                 mono_time Now) const;

  // dispatcher_attempt.cpp and dispatcher_retry.cpp: attempts and retries.
  live_request *findByCurrentAttempt(const attempt_id &Attempt);
  bool applyToCurrentAttempt(const attempt_id &Attempt, attempt_step Step);
  void startAttempt(live_request &Request, const work_placement &Placement, mono_time Now);
  void failAttempt(live_request &Request, const attempt_failed &Event, mono_time Now);
  void closeAttempt(live_request &Request, std::optional<attempt_failure> Failure, mono_time Now,
                    const backend_address &AtFault = {});
  void endAttempt(live_request &Request, running_attempt &&Attempt,
                  std::optional<attempt_failure> Failure, mono_time Now,
                  const backend_address &AtFault = {});
  void abandon(live_request &Request, running_attempt &&Attempt,
               std::optional<attempt_failure> Failure, mono_time Now);
  bool resumeAttempt(live_request &Request, attempt_failure Failure, mono_time Now);
  [[nodiscard]] std::uint32_t maxAttempts(const live_request &Request) const;
  bool mayRetry(const live_request &Request, mono_time Now) const;
  bool tryQueueRetry(live_request &Request, mono_time Now);
  void refuseRetry(const live_request &Request, mono_time Now);
  void finishWithoutRetry(live_request &Request, mono_time Now);
  void awaitRetry(live_request &Request, mono_time Now);
  void leaveRetryWait(live_request &Request, mono_time Now);
  void tryAwaitedRetry(live_request &Request, mono_time Now);
  bool tryPayForRetry(live_request &Request, const service_name &Service, mono_time Now);
  void returnUnpaidPlacement(live_request &Request, mono_time Now);
  bool mayAwaitLoan(const live_request &Request, mono_time Now);
  void releaseQueuedRetry(live_request &Request);
  void reportRetry(const live_request &Request, retry_verdict Verdict, mono_time Now);
  std::optional<retry_start> decideRetry(live_request &Request, mono_time Now);
  void beginRetry(live_request &Request, retry_start Start, mono_time Now);
  void retryOrFinish(live_request &Request, mono_time Now);
  void retryUnanswered(const backend_key &Backend, mono_time Now);
  void endAbandoned(const attempt_id &Attempt, attempt_end End, mono_time Now);
  void reportResult(const attempt_result &Result, mono_time Now) const;

  // dispatcher_hedge.cpp: attempts beside one that fell silent.
  void hedge(live_request &Request, mono_time Now);
  running_attempt *findSilentAttempt(const attempt_id &Attempt);
  std::optional<running_attempt> takeSilentAttempt(const attempt_id &Attempt);
  void keepIfSilent(const attempt_id &Attempt, mono_time Now);
  void returnToSilentAttempt(live_request &Request);
  void abandonSilentAttempts(live_request &Request, mono_time Now);
  void finishUnlessSilent(live_request &Request, failure_reason Reason,
                          std::optional<std::chrono::seconds> RetryAfter, mono_time Now);
  void leaveQueue(live_request &Request, mono_time Now);

  // dispatcher_time.cpp: timers.
  void handleRequestTimer(live_request &Request, mono_time Now);
  void handleAttemptTimer(live_request &Request, mono_time Now);
  void updateTimer(const live_request &Request);
  void sendDueCancels(mono_time Now);
  void finishAll(failure_reason Reason, mono_time Now);

  live_request *find(request_number Request);
  void countIgnoredEvent() { ++Counters.IgnoredEvents; }
  void requireConsistent() const;
  [[nodiscard]] std::string stateText() const;

  process_key Self;
  limits_declaration Limits;
  dispatcher_callbacks Callbacks;
  bool Ready{false};
  std::optional<mono_time> ShutdownBy;
  std::map<request_number, live_request> Requests;
  std::size_t Claiming{0}; ///< Requests waiting for a claim; the scheduler does not limit them.
  abandoned_tracker Abandoned;
  retry_budget Budget;
  std::unordered_map<service_name, std::size_t> QueuedRetries;  ///< Not paid for yet.
  std::unordered_map<service_name, std::size_t> AwaitedRetries; ///< Waiting for a loan.
  std::deque<request_number> AwaitingRetry; ///< In the order in which loans are given to them.
  timer_queue<request_number> Timers;
  std::vector<dispatch_action> Actions;
  dispatch_counters Counters;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_DISPATCHER_BASE_H
