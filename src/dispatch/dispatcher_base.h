/** @file dispatcher_base.h The life of every request at one entry, from admission to one answer. */
#ifndef POLLENSTALL_DISPATCH_DISPATCHER_BASE_H
#define POLLENSTALL_DISPATCH_DISPATCHER_BASE_H

#include "declaration/declaration_type.h"
#include "dispatch/abandoned_base.h"
#include "dispatch/dispatch_dump_type.h"
#include "dispatch/dispatch_seam_type.h"
#include "dispatch/dispatch_type.h"
#include "dispatch/live_request_type.h"
#include "dispatch/retry_budget_base.h"
#include "dispatch/wake_queue_base.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

class dispatcher_builder;

/**
 * Decides what happens to each request: claim, queue, attempt, retry, resume, and the one final
 * answer. Events and the time go in by the methods, actions come out of takeActions(); it reads no
 * clock. After every call takeActions() and nextWake() are to be looked at.
 *
 * Invariants, checked in release builds too: one final answer for each request; no second start of
 * a non-idempotent request that may have run; never "not run" of one that may have; every started
 * attempt ends once, and is in the ledger of abandoned attempts from being given up until then.
 */
class dispatcher {
public:
  /// Takes an event of the callers' or the backend servers' side; one that fits nothing is counted.
  void handle(const dispatch_event &Event, mono_time Now);
  /// The scheduler has chosen a backend server.
  void place(const work_placement &Placement, mono_time Now);
  /// The scheduler has given a waiting request up.
  void expire(const work_expiry &Expiry, mono_time Now);

  /**
   * Nothing was heard of the backend server for the expiry time. That proves nothing: idempotent
   * work without an answer yet is tried elsewhere where the budget allows, the rest goes on.
   */
  void backendLost(const backend_key &Backend, mono_time Now);
  /**
   * The backend server's life is over for sure: another incarnation answers at its address, or
   * membership has forgotten it. Its memory is free, and nothing needs to be cancelled there.
   */
  void backendGone(const backend_key &Backend, mono_time Now);

  /// Lets time pass: deadlines, claims without answer, slow attempts, repeated cancels.
  void advance(mono_time Now);
  /// @return When advance() has something to do, or nothing.
  [[nodiscard]] std::optional<mono_time> nextWake() const;
  /// @return What is to be done, in order; each action once.
  std::vector<dispatch_action> takeActions();

  /// Refuses new requests; those admitted end by themselves, or at Now + Limit.
  void beginShutdown(mono_time Now, mono_duration Limit);
  /// An entry without a declaration in force refuses new requests; those admitted go on.
  void setReady(bool Value) { Ready = Value; }
  /// Takes the limits of a new declaration; running attempts keep theirs.
  void applyLimits(const limits_declaration &Value);
  /// Bounds retries that no first attempt has paid for; see retry_budget.
  void setRetryAllowance(const retry_allowance &Value) { Budget.setAllowance(Value); }

  /// @return Requests without a final answer.
  [[nodiscard]] std::size_t liveRequests() const { return Requests.size(); }
  /// @return Attempts whose memory counts as taken although they were given up.
  [[nodiscard]] std::size_t abandonedAttempts() const { return Abandoned.size(); }
  /// @return The state without prompts and keys.
  [[nodiscard]] dispatch_dump dump(mono_time Now) const;

private:
  friend class dispatcher_builder;
  dispatcher(process_key Self, const limits_declaration &Limits, std::uint64_t Seed,
             dispatch_seam Seam);

  // dispatcher_cmd.cpp: events.
  void on(const request_arrived &Event, mono_time Now);
  void on(const caller_left &Event, mono_time Now);
  void on(const claim_answered &Event, mono_time Now);
  void on(const attempt_sending &Event, mono_time Now);
  void on(const attempt_answering &Event, mono_time Now);
  void on(const attempt_advanced &Event, mono_time Now);
  void on(const attempt_completed &Event, mono_time Now);
  void on(const attempt_failed &Event, mono_time Now);
  void on(const cancel_confirmed &Event, mono_time Now);

  // dispatcher.cpp: the request.
  std::optional<failure_reason> refusalAtArrival(const live_request &Request, mono_time Now) const;
  void askForClaim(live_request &Request, mono_time Now);
  void submit(live_request &Request, mono_time Now);
  void finishComplete(live_request &Request);
  void finishAlreadyComplete(live_request &Request);
  void finishShort(live_request &Request, failure_reason Reason,
                   std::optional<std::chrono::seconds> RetryAfter, mono_time Now);
  void settle(const live_request &Request, claim_standing Standing);
  void close(const live_request &Request, const finish_request &Finish);
  std::optional<std::chrono::seconds> retryAfter(const live_request &Request, failure_reason Reason,
                                                 std::optional<std::chrono::seconds> Given,
                                                 mono_time Now) const;

  // dispatcher_attempt.cpp: the attempt.
  live_request *withCurrent(const attempt_id &Attempt);
  bool stepCurrent(const attempt_id &Attempt, attempt_step Step);
  void startAttempt(live_request &Request, const work_placement &Placement, mono_time Now);
  void failAttempt(live_request &Request, const attempt_failed &Event, mono_time Now);
  void closeAttempt(live_request &Request, std::optional<attempt_failure> Failure, mono_time Now,
                    const backend_address &AtFault = {});
  void abandon(live_request &Request, std::optional<attempt_failure> Failure, mono_time Now);
  bool resumeAttempt(live_request &Request, attempt_failure Failure, mono_time Now);
  [[nodiscard]] std::uint32_t mostAttempts(const live_request &Request) const;
  bool mayRetry(const live_request &Request, mono_time Now) const;
  bool payForRetry(const live_request &Request, mono_time Now);
  void retryOrFinish(live_request &Request, mono_time Now);
  void retryElsewhere(live_request &Request, attempt_failure Failure, mono_time Now);
  void moveUnanswered(const backend_key &Backend, mono_time Now);
  void endAbandoned(const attempt_id &Attempt, attempt_end End, mono_time Now);
  void reportEnd(const attempt_ending &Ending, mono_time Now) const;

  // dispatcher_time.cpp: timeouts.
  void wakeRequest(live_request &Request, mono_time Now);
  void wakeAttempt(live_request &Request, mono_time Now);
  void setWake(const live_request &Request);
  void sendDueCancels(mono_time Now);
  void finishAll(failure_reason Reason, mono_time Now);

  live_request *find(request_number Request);
  void ignore() { ++Counters.IgnoredEvents; }
  void requireConsistent() const;
  [[nodiscard]] std::string text() const;

  process_key Self;
  limits_declaration Limits;
  dispatch_seam Seam;
  bool Ready{false};
  std::optional<mono_time> ShutdownBy;
  std::map<request_number, live_request> Requests;
  std::size_t Claiming{0}; ///< Requests that wait for a claim; the scheduler does not bound these.
  abandoned_ledger Abandoned;
  retry_budget Budget;
  wake_queue<request_number> Wakes;
  std::vector<dispatch_action> Actions;
  dispatch_counters Counters;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_DISPATCHER_BASE_H
