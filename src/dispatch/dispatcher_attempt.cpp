/** @file dispatcher_attempt.cpp Start, failure, resume and end of attempts. */
#include "dispatch/dispatcher_base.h"
#include "dispatch/outcome_func.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

namespace {

/// An attempt is slow if its first byte takes longer than this many times the expected time.
constexpr int ExpectationTimeoutFactor = 4;
/// Minimum timeout of the first byte, since expected times of short prompts are noisy.
constexpr mono_duration MinFirstTokenTimeout = std::chrono::seconds(30);
/// Minimum timeout as a multiple of the declared target, if there is one. Upper bound: the timeout
/// must expire while the caller is still waiting, and callers of short streams leave after 2 s.
/// Lower bound: after a restart of the fleet, a factor of 2 moved 85 requests in one second away
/// from engines that were merely busy.
constexpr int TargetTimeoutFactor = 4;
constexpr std::uint32_t MaxResumes = 3;
constexpr mono_duration ResumeBackoff = std::chrono::milliseconds(200);

/// @return How long an attempt may take to its first byte.
mono_duration firstTokenTimeout(const request_facts &Facts, mono_duration ExpectedFirstToken) {
  const mono_duration MinTimeout =
      Facts.Target.count() > 0 ? Facts.Target * TargetTimeoutFactor : MinFirstTokenTimeout;
  return std::max(MinTimeout, ExpectedFirstToken * ExpectationTimeoutFactor);
}

} // namespace

live_request *dispatcher::findByCurrentAttempt(const attempt_id &Attempt) {
  if (Attempt.Owner != Self)
    return nullptr;
  live_request *Request = find(Attempt.Request);
  const bool Matches =
      Request != nullptr && Request->CurrentAttempt && Request->CurrentAttempt->Id == Attempt;
  return Matches ? Request : nullptr;
}

bool dispatcher::applyToCurrentAttempt(const attempt_id &Attempt, attempt_step Step) {
  live_request *Request = findByCurrentAttempt(Attempt);
  // While a resume is scheduled, events are leftovers of the connection that broke.
  const bool Accepted = Request != nullptr && !Request->CurrentAttempt->ResumeAt;
  if (Accepted && Request->CurrentAttempt->Lifecycle.apply(Step))
    return true;
  countIgnoredEvent();
  return false;
}

void dispatcher::place(const work_placement &Placement, mono_time Now) {
  live_request *Request = find(Placement.Request);
  if (Request == nullptr || Request->Phase != request_phase::Queued) {
    // The scheduler counts the placement as in flight until it is withdrawn.
    if (Callbacks.Withdraw)
      Callbacks.Withdraw(Placement.Request);
    return countIgnoredEvent();
  }
  if (Request->Facts.Deadline <= Now)
    finishWithFailure(*Request, failure_reason::DeadlineExceeded, std::nullopt, Now);
  else
    startAttempt(*Request, Placement, Now);
  sendDueCancels(Now);
}

void dispatcher::startAttempt(live_request &Request, const work_placement &Placement,
                              mono_time Now) {
  requireInvariant(!Request.CurrentAttempt, "a request has one attempt at a time",
                   [this] { return stateText(); });
  requireInvariant(Request.Facts.Idempotent || !Request.MayHaveRun,
                   "non-idempotent work that may have run is not started again",
                   [this] { return stateText(); });
  requireInvariant(!Request.earlierRequestMayHaveRun(),
                   "work with a key starts only under its claim", [this] { return stateText(); });
  const service_name &Service =
      Placement.Service.empty() ? budgetService(Request.Facts) : Placement.Service;
  const bool IsPaid = Request.RetryQueued;
  // Charged now and not when the retry was queued: backend servers count what arrives.
  if (IsPaid && !tryPayForRetry(Request, Service, Now))
    return returnUnpaidPlacement(Request, Now);
  ++Request.Attempts;
  ++Counters.Attempts;
  if (Request.Attempts == 1)
    Budget.deposit(Service, Now);
  const bool MoreAttemptsAllowed = Request.Attempts < maxAttempts(Request);
  const mono_time SlowAt = Now + firstTokenTimeout(Request.Facts, Placement.ExpectedFirstToken);
  // If no other attempt may follow, giving up a slow one could only lose its answer.
  const bool MayRetryElsewhere = MoreAttemptsAllowed && Request.Facts.Idempotent;
  const mono_time FirstByteBy =
      MayRetryElsewhere ? std::min(SlowAt, Request.Facts.Deadline) : Request.Facts.Deadline;
  Request.Phase = request_phase::Running;
  running_attempt &Started = Request.CurrentAttempt.emplace();
  Started.Id = {Self, Request.Facts.Id, Request.Attempts};
  Started.Backend = Placement.Backend;
  Started.FirstByteBy = FirstByteBy;
  if (IsPaid)
    Started.PaidBy = Service;
  Request.CurrentAttempt->Lifecycle.apply(attempt_step::Start);
  const attempt_id Id = Request.CurrentAttempt->Id;
  Actions.emplace_back(start_attempt{Id,
                                     Placement.Backend,
                                     Placement.Priority,
                                     FirstByteBy,
                                     MoreAttemptsAllowed,
                                     Placement.Helpers,
                                     Placement.Holds,
                                     Placement.ExpectedFirstToken,
                                     {},
                                     Placement.Permit,
                                     DefaultMaxIdleConnections,
                                     Placement.VisibleAfter});
  if (Callbacks.AttemptStarted)
    Callbacks.AttemptStarted({Id, Placement.Backend, Request.Facts.Id}, Now);
  updateTimer(Request);
}

void dispatcher::on(const attempt_sending &Event, mono_time /*Now*/) {
  if (abandoned_attempt *LateAttempt = Abandoned.find(Event.Attempt))
    LateAttempt->markSent();
  if (running_attempt *Silent = findSilentAttempt(Event.Attempt))
    Silent->Lifecycle.apply(attempt_step::Sending);
  else
    applyToCurrentAttempt(Event.Attempt, attempt_step::Sending);
}

void dispatcher::on(const attempt_answering &Event, mono_time Now) {
  keepIfSilent(Event.Attempt, Now);
  if (applyToCurrentAttempt(Event.Attempt, attempt_step::Answering)) {
    live_request &Request = *find(Event.Attempt.Request);
    abandonSilentAttempts(Request, Now);
    updateTimer(Request);
    if (Callbacks.AttemptAnswering)
      Callbacks.AttemptAnswering(Event.Attempt, Now);
    return;
  }
  abandoned_attempt *LateAttempt = Abandoned.find(Event.Attempt);
  if (LateAttempt == nullptr)
    return;
  LateAttempt->markAnswering();
  // The caller has part of the answer of an attempt that was abandoned just before. Another
  // attempt's answer would be appended to it and look complete, so the request ends here.
  if (live_request *Request = find(Event.Attempt.Request))
    finishWithFailure(*Request, failure_reason::BackendFailed, std::nullopt, Now);
}

void dispatcher::on(const attempt_advanced &Event, mono_time Now) {
  keepIfSilent(Event.Attempt, Now);
  if (!applyToCurrentAttempt(Event.Attempt, attempt_step::Advance))
    return;
  if (Callbacks.AttemptAdvanced)
    Callbacks.AttemptAdvanced(Event.Attempt, Event.Events, Now);
}

void dispatcher::on(const attempt_completed &Event, mono_time Now) {
  keepIfSilent(Event.Attempt, Now);
  if (abandoned_attempt *LateAttempt = Abandoned.find(Event.Attempt)) {
    countIgnoredEvent();
    LateAttempt->Lifecycle.apply(attempt_step::Complete);
    if (LateAttempt->ClaimKey)
      Actions.emplace_back(settle_claim{Event.Attempt.Request, *LateAttempt->ClaimKey,
                                        claim_state::Complete, LateAttempt->ClaimLifetime});
    return endAbandoned(Event.Attempt, attempt_end::Completed, Now);
  }
  if (!applyToCurrentAttempt(Event.Attempt, attempt_step::Complete))
    return;
  live_request &Request = *find(Event.Attempt.Request);
  const backend_key Backend = Request.CurrentAttempt->Backend;
  Request.CurrentAttempt.reset();
  reportResult({Event.Attempt,
                Backend,
                attempt_end::Completed,
                std::nullopt,
                Event.PromptTokens,
                Event.AnswerTokens,
                Event.CachedTokens,
                {},
                Event.ServerError},
               Now);
  finishComplete(Request, Now);
}

void dispatcher::on(const attempt_failed &Event, mono_time Now) {
  if (live_request *Request = findByCurrentAttempt(Event.Attempt))
    return failAttempt(*Request, Event, Now);
  if (auto Silent = takeSilentAttempt(Event.Attempt)) {
    const attempt_failure Failure = failureInState(Event.Failure, Silent->Lifecycle.state());
    return endAttempt(*find(Event.Attempt.Request), std::move(*Silent), Failure, Now,
                      Event.AtFault);
  }
  countIgnoredEvent();
  abandoned_attempt *LateAttempt = Abandoned.find(Event.Attempt);
  if (LateAttempt == nullptr ||
      mayHoldMemory(failureInState(Event.Failure, LateAttempt->ReachedState)))
    return;
  LateAttempt->Lifecycle.apply(attempt_step::Fail);
  LateAttempt->Failure = Event.Failure;
  endAbandoned(Event.Attempt, attempt_end::Failed, Now);
}

void dispatcher::on(const cancel_confirmed &Event, mono_time Now) {
  abandoned_attempt *LateAttempt = Abandoned.find(Event.Attempt);
  if (LateAttempt == nullptr)
    return countIgnoredEvent();
  if (Event.NeverSeen && !LateAttempt->canNoLongerStart(Now))
    return; // The start may still arrive there. The cancel is repeated.
  LateAttempt->Lifecycle.apply(attempt_step::Confirm);
  endAbandoned(Event.Attempt, attempt_end::Cancelled, Now);
}

void dispatcher::failAttempt(live_request &Request, const attempt_failed &Event, mono_time Now) {
  if (Request.CurrentAttempt->ResumeAt)
    return countIgnoredEvent(); // The connection's failure was already handled.
  const attempt_state State = Request.CurrentAttempt->Lifecycle.state();
  const attempt_failure Failure = failureInState(Event.Failure, State);
  if (resumeAttempt(Request, Failure, Now))
    return;
  closeAttempt(Request, Failure, Now, Event.AtFault);
  // Another engine can continue after the last event that the caller received.
  const bool ContinuesElsewhere = Request.Facts.Resumable && mayResume(Failure);
  Request.PartlyAnswered = Request.PartlyAnswered || isMidAnswer(State);
  if (isMidAnswer(State) && !ContinuesElsewhere)
    return finishWithFailure(Request, failure_reason::BackendFailed, std::nullopt, Now);
  retryOrFinish(Request, Now);
}

bool dispatcher::resumeAttempt(live_request &Request, attempt_failure Failure, mono_time Now) {
  running_attempt &CurrentAttempt = *Request.CurrentAttempt;
  const bool CanResumeHere = Callbacks.SupportsResume &&
                             Callbacks.SupportsResume(CurrentAttempt.Backend) &&
                             !CurrentAttempt.BackendGone;
  if (!mayResume(Failure) || !CanResumeHere || CurrentAttempt.Resumes >= MaxResumes)
    return false;
  // The server gets another request. The token bucket leaves resumes out: MaxResumes bounds them.
  if (Budget.shared() && !Budget.tryWithdraw(budgetService(Request.Facts), Now))
    return false;
  if (!CurrentAttempt.Lifecycle.apply(attempt_step::Resume))
    return false;
  // The first resume has no delay.
  CurrentAttempt.ResumeAt = Now + ResumeBackoff * CurrentAttempt.Resumes;
  ++CurrentAttempt.Resumes;
  ++Counters.Resumes;
  handleAttemptTimer(Request, Now);
  updateTimer(Request);
  return true;
}

void dispatcher::closeAttempt(live_request &Request, std::optional<attempt_failure> Failure,
                              mono_time Now, const backend_address &AtFault) {
  running_attempt Attempt = std::move(*Request.CurrentAttempt);
  Request.CurrentAttempt.reset();
  endAttempt(Request, std::move(Attempt), Failure, Now, AtFault);
}

void dispatcher::endAttempt(live_request &Request, running_attempt &&Attempt,
                            std::optional<attempt_failure> Failure, mono_time Now,
                            const backend_address &AtFault) {
  const bool ProvedNotRun = Failure && provesNotRun(*Failure);
  const bool HoldsNoMemory = Failure && !mayHoldMemory(*Failure);
  Request.MayHaveRun = Request.MayHaveRun || !ProvedNotRun;
  const bool NeverSent = Failure && wasNeverSent(*Failure);
  Request.UnsentAttempts += NeverSent ? 1 : 0;
  if (NeverSent && Attempt.PaidBy)
    Budget.refund(*Attempt.PaidBy, Now);
  Request.TriedBackends.push_back(Attempt.Backend);
  if (!HoldsNoMemory)
    return abandon(Request, std::move(Attempt), Failure, Now);
  Attempt.Lifecycle.apply(attempt_step::Fail);
  requireInvariant(Attempt.Lifecycle.state() == attempt_state::Failed,
                   "an attempt that holds no memory is in state Failed",
                   [this] { return stateText(); });
  attempt_result Result;
  Result.Attempt = Attempt.Id;
  Result.Backend = Attempt.Backend;
  Result.End = attempt_end::Failed;
  Result.Failure = Failure;
  Result.AtFault = AtFault;
  reportResult(Result, Now);
}

void dispatcher::abandon(live_request &Request, running_attempt &&Attempt,
                         std::optional<attempt_failure> Failure, mono_time Now) {
  if (Attempt.BackendGone) {
    Attempt.Lifecycle.apply(attempt_step::BackendGone);
    Actions.emplace_back(cancel_attempt{Attempt.Id, Attempt.Backend}); // Closes the connection.
    return reportResult({Attempt.Id, Attempt.Backend, attempt_end::BackendGone, Failure,
                         std::nullopt, std::nullopt, std::nullopt},
                        Now);
  }
  ++Counters.Abandoned;
  const attempt_id Id = Attempt.Id;
  abandoned_attempt Record;
  Record.Attempt = Id;
  Record.Backend = Attempt.Backend;
  Record.ReachedState = Attempt.Lifecycle.state();
  Record.Lifecycle = std::move(Attempt.Lifecycle);
  Record.Lifecycle.apply(attempt_step::Cancel);
  Record.Failure = Failure;
  Record.AbandonedAt = Now;
  if (Request.Claim == claim_progress::Granted) {
    Record.ClaimKey = Request.ClaimKey;
    Record.ClaimLifetime = Request.ClaimLifetime;
  }
  Abandoned.add(std::move(Record), Now);
  if (Callbacks.AttemptAbandoned)
    Callbacks.AttemptAbandoned(Id, Failure, Now);
}

void dispatcher::endAbandoned(const attempt_id &Attempt, attempt_end End, mono_time Now) {
  const abandoned_attempt Ended = Abandoned.remove(Attempt);
  reportResult(
      {Attempt, Ended.Backend, End, Ended.Failure, std::nullopt, std::nullopt, std::nullopt}, Now);
}

void dispatcher::reportResult(const attempt_result &Result, mono_time Now) const {
  if (Callbacks.AttemptEnded)
    Callbacks.AttemptEnded(Result, Now);
}

} // namespace pollenstall
