/** @file dispatcher_hedge.cpp Further attempts beside one that fell silent. */
#include "dispatch/dispatcher_base.h"
#include "dispatch/outcome_func.h"

#include <optional>
#include <utility>

namespace pollenstall {

void dispatcher::on(const attempt_silent &Event, mono_time Now) {
  live_request *Request = findByCurrentAttempt(Event.Attempt);
  // While a resume is scheduled, events are leftovers of the connection that broke.
  if (Request == nullptr || Request->CurrentAttempt->ResumeAt)
    return countIgnoredEvent();
  Request->CurrentAttempt->SilenceCause = Event.Cause;
  hedge(*Request, Now);
}

/**
 * Starts another attempt beside the current one. Silence does not show that a server has ended: it
 * may stand still for a moment, and the other server, or this entry, may do so as well. An attempt
 * that was ended before another one answers would be an answer lost.
 */
void dispatcher::hedge(live_request &Request, mono_time Now) {
  running_attempt &Current = *Request.CurrentAttempt;
  const bool MidAnswer = isMidAnswer(Current.Lifecycle.state());
  const bool IsRepeatable = Request.Facts.Idempotent && (!MidAnswer || Request.Facts.Resumable);
  if (!IsRepeatable || !mayRetry(Request, Now))
    return;
  const std::optional<retry_start> Start = decideRetry(Request, Now);
  if (!Start)
    return;
  ++Counters.Hedges;
  Request.PartlyAnswered = Request.PartlyAnswered || MidAnswer;
  Request.TriedBackends.push_back(Current.Backend);
  Request.SilentAttempts.push_back(std::move(Current));
  Request.CurrentAttempt.reset();
  beginRetry(Request, *Start, Now);
}

running_attempt *dispatcher::findSilentAttempt(const attempt_id &Attempt) {
  live_request *Request = Attempt.Owner == Self ? find(Attempt.Request) : nullptr;
  if (Request == nullptr)
    return nullptr;
  for (running_attempt &Silent : Request->SilentAttempts)
    if (Silent.Id == Attempt)
      return &Silent;
  return nullptr;
}

std::optional<running_attempt> dispatcher::takeSilentAttempt(const attempt_id &Attempt) {
  running_attempt *Found = findSilentAttempt(Attempt);
  if (Found == nullptr)
    return std::nullopt;
  running_attempt Taken = std::move(*Found);
  std::vector<running_attempt> &Silent = find(Attempt.Request)->SilentAttempts;
  Silent.erase(Silent.begin() + (Found - Silent.data()));
  return Taken;
}

/// Makes a silent attempt that goes on the current one again.
void dispatcher::keepIfSilent(const attempt_id &Attempt, mono_time Now) {
  std::optional<running_attempt> Kept = takeSilentAttempt(Attempt);
  if (!Kept)
    return;
  live_request &Request = *find(Attempt.Request);
  leaveQueue(Request, Now);
  if (Request.CurrentAttempt)
    closeAttempt(Request, std::nullopt, Now);
  Request.CurrentAttempt = std::move(Kept);
  Request.Phase = request_phase::Running;
  abandonSilentAttempts(Request, Now);
  updateTimer(Request);
}

/// Waits for the latest silent attempt again, since no other attempt is possible.
void dispatcher::returnToSilentAttempt(live_request &Request) {
  Request.CurrentAttempt = std::move(Request.SilentAttempts.back());
  Request.SilentAttempts.pop_back();
  Request.Phase = request_phase::Running;
  updateTimer(Request);
}

void dispatcher::abandonSilentAttempts(live_request &Request, mono_time Now) {
  for (running_attempt &Attempt : std::exchange(Request.SilentAttempts, {})) {
    const attempt_failure Failure = failureInState(Attempt.SilenceCause, Attempt.Lifecycle.state());
    endAttempt(Request, std::move(Attempt), Failure, Now);
  }
}

void dispatcher::leaveQueue(live_request &Request, mono_time Now) {
  if (Request.Phase == request_phase::Queued && Callbacks.Withdraw)
    Callbacks.Withdraw(Request.Facts.Id);
  releaseQueuedRetry(Request);
  leaveRetryWait(Request, Now);
}

/// Ends the request, unless an earlier attempt may still answer.
void dispatcher::finishUnlessSilent(live_request &Request, failure_reason Reason,
                                    std::optional<std::chrono::seconds> RetryAfter, mono_time Now) {
  if (Request.SilentAttempts.empty())
    return finishWithFailure(Request, Reason, RetryAfter, Now);
  leaveQueue(Request, Now);
  returnToSilentAttempt(Request);
}

} // namespace pollenstall
