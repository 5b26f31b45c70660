/** @file dispatcher_time.cpp Deadlines, timeouts of claims and attempts, cancels, shutdown. */
#include "dispatch/dispatcher_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

void dispatcher::handle(const dispatch_event &Event, mono_time Now) {
  std::visit([this, Now](const auto &Alternative) { on(Alternative, Now); }, Event);
  sendDueCancels(Now);
}

void dispatcher::advance(mono_time Now) {
  if (ShutdownBy && *ShutdownBy <= Now)
    finishAll(failure_reason::ShuttingDown, Now);
  while (const std::optional<request_number> Due = Timers.popDue(Now))
    if (live_request *Request = find(*Due))
      handleRequestTimer(*Request, Now);
  sendDueCancels(Now);
}

void dispatcher::handleRequestTimer(live_request &Request, mono_time Now) {
  if (Request.Facts.Deadline <= Now)
    return finishWithFailure(Request, failure_reason::DeadlineExceeded, std::nullopt, Now);
  if (Request.Claim == claim_progress::Requested && Request.ClaimDeadline <= Now)
    return finishWithFailure(Request, failure_reason::ClaimUnavailable, std::nullopt, Now);
  const request_number RequestId = Request.Facts.Id;
  if (Request.Phase == request_phase::AwaitingRetry && Request.RetryBy <= Now)
    tryAwaitedRetry(Request, Now);
  else if (Request.CurrentAttempt)
    handleAttemptTimer(Request, Now);
  if (const live_request *Live = find(RequestId))
    updateTimer(*Live);
}

void dispatcher::handleAttemptTimer(live_request &Request, mono_time Now) {
  running_attempt &CurrentAttempt = *Request.CurrentAttempt;
  if (CurrentAttempt.ResumeAt && *CurrentAttempt.ResumeAt <= Now) {
    CurrentAttempt.ResumeAt.reset();
    Actions.emplace_back(resume_attempt{CurrentAttempt.Id, CurrentAttempt.Backend});
    return;
  }
  if (isMidAnswer(CurrentAttempt.Lifecycle.state()) || Now < CurrentAttempt.FirstByteBy)
    return;
  // If no retry may start, the slow attempt keeps running until the request's deadline.
  CurrentAttempt.FirstByteBy = Request.Facts.Deadline;
  hedge(Request, Now);
}

void dispatcher::updateTimer(const live_request &Request) {
  mono_time Wake = Request.Facts.Deadline;
  if (Request.Claim == claim_progress::Requested)
    Wake = std::min(Wake, Request.ClaimDeadline);
  if (Request.Phase == request_phase::AwaitingRetry)
    Wake = std::min(Wake, Request.RetryBy);
  if (Request.CurrentAttempt && Request.CurrentAttempt->ResumeAt)
    Wake = std::min(Wake, *Request.CurrentAttempt->ResumeAt);
  if (Request.CurrentAttempt && !isMidAnswer(Request.CurrentAttempt->Lifecycle.state()))
    Wake = std::min(Wake, Request.CurrentAttempt->FirstByteBy);
  Timers.set(Request.Facts.Id, Wake);
}

void dispatcher::sendDueCancels(mono_time Now) {
  while (const std::optional<cancel_attempt> Cancel = Abandoned.popDueCancel(Now)) {
    ++Counters.CancelsSent;
    Actions.emplace_back(*Cancel);
  }
  requireConsistent();
}

std::optional<mono_time> dispatcher::nextWake() const {
  std::optional<mono_time> Next = Timers.next();
  const std::optional<mono_time> Shutdown = Requests.empty() ? std::nullopt : ShutdownBy;
  const std::optional<mono_time> Loans = Budget.nextWake();
  for (const std::optional<mono_time> &Other : {Abandoned.nextWake(), Shutdown, Loans})
    if (Other && (!Next || *Other < *Next))
      Next = Other;
  return Next;
}

void dispatcher::beginShutdown(mono_time Now, mono_duration Limit) {
  const mono_time StopBy = Now + Limit;
  ShutdownBy = ShutdownBy ? std::min(*ShutdownBy, StopBy) : StopBy;
}

void dispatcher::finishAll(failure_reason Reason, mono_time Now) {
  std::vector<request_number> RequestIds;
  for (const auto &[RequestId, Request] : Requests)
    RequestIds.push_back(RequestId);
  for (const request_number RequestId : RequestIds)
    finishWithFailure(*find(RequestId), Reason, std::nullopt, Now);
}

std::vector<dispatch_action> dispatcher::takeActions() { return std::exchange(Actions, {}); }

} // namespace pollenstall
