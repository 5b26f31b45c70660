/** @file dispatcher_time.cpp Deadlines, slow claims and attempts, repeated cancels, shutdown. */
#include "dispatch/dispatcher_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

void dispatcher::handle(const dispatch_event &Event, mono_time Now) {
  std::visit([this, Now](const auto &Known) { on(Known, Now); }, Event);
  sendDueCancels(Now);
}

void dispatcher::advance(mono_time Now) {
  if (ShutdownBy && *ShutdownBy <= Now)
    finishAll(failure_reason::ShuttingDown, Now);
  while (const std::optional<request_number> Due = Wakes.takeDue(Now))
    if (live_request *Request = find(*Due))
      wakeRequest(*Request, Now);
  sendDueCancels(Now);
}

void dispatcher::wakeRequest(live_request &Request, mono_time Now) {
  if (Request.Facts.Deadline <= Now)
    return finishShort(Request, failure_reason::DeadlineExceeded, std::nullopt, Now);
  if (Request.Claim == claim_progress::Asked && Request.ClaimBy <= Now)
    return finishShort(Request, failure_reason::ClaimUnavailable, std::nullopt, Now);
  const request_number Number = Request.Facts.Id;
  if (Request.Current)
    wakeAttempt(Request, Now);
  if (const live_request *Still = find(Number))
    setWake(*Still);
}

void dispatcher::wakeAttempt(live_request &Request, mono_time Now) {
  running_attempt &Current = *Request.Current;
  if (Current.ResumeAt && *Current.ResumeAt <= Now) {
    Current.ResumeAt.reset();
    Actions.emplace_back(resume_attempt{Current.Id, Current.Backend});
    return;
  }
  if (hasAnswered(Current.Lifecycle.state()) || Now < Current.AnswerBy)
    return;
  // Where no retry may start, the slow attempt is still the best hope; it keeps the whole time.
  Current.AnswerBy = Request.Facts.Deadline;
  retryElsewhere(Request, attempt_failure::TimedOut, Now);
}

void dispatcher::setWake(const live_request &Request) {
  mono_time Wake = Request.Facts.Deadline;
  if (Request.Claim == claim_progress::Asked)
    Wake = std::min(Wake, Request.ClaimBy);
  if (Request.Current && Request.Current->ResumeAt)
    Wake = std::min(Wake, *Request.Current->ResumeAt);
  if (Request.Current && !hasAnswered(Request.Current->Lifecycle.state()))
    Wake = std::min(Wake, Request.Current->AnswerBy);
  Wakes.set(Request.Facts.Id, Wake);
}

void dispatcher::sendDueCancels(mono_time Now) {
  while (const std::optional<cancel_attempt> Cancel = Abandoned.takeDueCancel(Now)) {
    ++Counters.CancelsSent;
    Actions.emplace_back(*Cancel);
  }
  requireConsistent();
}

std::optional<mono_time> dispatcher::nextWake() const {
  std::optional<mono_time> Next = Wakes.next();
  const std::optional<mono_time> Shutdown = Requests.empty() ? std::nullopt : ShutdownBy;
  for (const std::optional<mono_time> &Other : {Abandoned.nextWake(), Shutdown})
    if (Other && (!Next || *Other < *Next))
      Next = Other;
  return Next;
}

void dispatcher::beginShutdown(mono_time Now, mono_duration Limit) {
  const mono_time By = Now + Limit;
  ShutdownBy = ShutdownBy ? std::min(*ShutdownBy, By) : By;
}

void dispatcher::finishAll(failure_reason Reason, mono_time Now) {
  std::vector<request_number> Left;
  for (const auto &[Number, Request] : Requests)
    Left.push_back(Number);
  for (const request_number Number : Left)
    finishShort(*find(Number), Reason, std::nullopt, Now);
}

std::vector<dispatch_action> dispatcher::takeActions() { return std::exchange(Actions, {}); }

} // namespace pollenstall
