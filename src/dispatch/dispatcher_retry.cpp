/** @file dispatcher_retry.cpp Whether work is tried again, and work of servers that are lost. */
#include "dispatch/dispatcher_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// Servers beyond the declared bound that may be found out of reach for one request.
constexpr std::uint32_t MostUnsent = 6;

} // namespace

std::uint32_t dispatcher::mostAttempts(const live_request &Request) const {
  // A declared route bounds the servers that a request is sent to; those that could not be reached
  // were sent nothing. When a failure domain is lost, two of its servers would use up two attempts.
  if (Request.Facts.MaxAttempts > 0)
    return Request.Facts.MaxAttempts + std::min(Request.Unsent, MostUnsent);
  return Limits.MaxAttempts;
}

bool dispatcher::mayRetry(const live_request &Request, mono_time Now) const {
  const bool Safe = Request.Facts.Idempotent || !Request.MayHaveRun;
  return Safe && Request.Attempts < mostAttempts(Request) && Now < Request.Facts.Deadline;
}

bool dispatcher::payForRetry(const live_request &Request, mono_time Now) {
  if (!mayRetry(Request, Now))
    return false;
  // The bound is on what servers get: after attempts that reached none the next one is the first.
  const bool Free = Request.Facts.MaxAttempts > 0 && Request.Unsent == Request.Attempts;
  if (!Free && !Budget.spend(Now)) {
    ++Counters.RetriesOverBudget;
    return false;
  }
  ++Counters.Retries;
  return true;
}

void dispatcher::retryOrFinish(live_request &Request, mono_time Now) {
  if (payForRetry(Request, Now))
    return submit(Request, Now);
  const bool Forbidden = !Request.Facts.Idempotent && Request.MayHaveRun;
  finishShort(Request, Forbidden ? failure_reason::BackendFailed : failure_reason::RetriesExhausted,
              std::nullopt, Now);
}

void dispatcher::retryElsewhere(live_request &Request, attempt_failure Failure, mono_time Now) {
  const bool Unanswered = Request.Current && !hasAnswered(Request.Current->Lifecycle.state());
  if (!Unanswered || !Request.Facts.Idempotent || !payForRetry(Request, Now))
    return;
  closeAttempt(Request, Failure, Now);
  submit(Request, Now);
}

void dispatcher::moveUnanswered(const backend_key &Backend, mono_time Now) {
  std::vector<request_number> There;
  for (const auto &[Number, Request] : Requests)
    if (Request.Current && Request.Current->Backend == Backend)
      There.push_back(Number);
  for (const request_number Number : There)
    if (live_request *Request = find(Number))
      retryElsewhere(*Request, attempt_failure::BrokenSent, Now);
}

void dispatcher::backendLost(const backend_key &Backend, mono_time Now) {
  moveUnanswered(Backend, Now);
  sendDueCancels(Now);
}

void dispatcher::backendGone(const backend_key &Backend, mono_time Now) {
  for (auto &[Number, Request] : Requests)
    if (Request.Current && Request.Current->Backend == Backend)
      Request.Current->BackendGone = true;
  for (const attempt_id &Attempt : Abandoned.onBackend(Backend)) {
    Abandoned.find(Attempt)->Lifecycle.apply(attempt_step::BackendGone);
    endAbandoned(Attempt, attempt_end::BackendGone, Now);
  }
  moveUnanswered(Backend, Now);
  sendDueCancels(Now);
}

} // namespace pollenstall
