/** @file dispatcher_retry.cpp Retry rules, and retries of work at lost backend servers. */
#include "dispatch/dispatcher_base.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace pollenstall {

namespace {

/// Attempts beyond the declared limit that one request may use on unreachable backend servers.
constexpr std::uint32_t MaxUnsentAttempts = 6;
/// How long a request waits for a loan of a retry from another entry: several rounds of requests.
constexpr mono_duration MaxRetryWait = std::chrono::milliseconds(100);

} // namespace

std::uint32_t dispatcher::maxAttempts(const live_request &Request) const {
  // The MaxAttempts of a route counts only the attempts of which a backend server may have received
  // bytes. Otherwise, when a failure domain is lost, two of its unreachable servers would use up
  // two attempts.
  if (Request.Facts.MaxAttempts > 0)
    return Request.Facts.MaxAttempts + std::min(Request.UnsentAttempts, MaxUnsentAttempts);
  return Limits.MaxAttempts;
}

bool dispatcher::mayRetry(const live_request &Request, mono_time Now) const {
  const bool SafeToRepeat = Request.Facts.Idempotent || !Request.MayHaveRun;
  return SafeToRepeat && Request.Attempts < maxAttempts(Request) && Now < Request.Facts.Deadline;
}

bool dispatcher::tryQueueRetry(live_request &Request, mono_time Now) {
  // The budget limits what backend servers receive. If no attempt has reached one, the next attempt
  // counts as the first.
  const bool ExemptFromBudget =
      Request.Facts.MaxAttempts > 0 && Request.UnsentAttempts == Request.Attempts;
  if (!ExemptFromBudget) {
    const service_name &Service = budgetService(Request.Facts);
    const auto Queued = QueuedRetries.find(Service);
    const std::size_t QueuedCount = Queued == QueuedRetries.end() ? 0 : Queued->second;
    if (Budget.available(Service, Now) < static_cast<double>(QueuedCount + 1))
      return false;
    ++QueuedRetries[Service];
    Request.RetryQueued = true;
  }
  ++Counters.Retries;
  reportRetry(Request, ExemptFromBudget ? retry_verdict::Unsent : retry_verdict::Started, Now);
  return true;
}

void dispatcher::refuseRetry(const live_request &Request, mono_time Now) {
  ++Counters.RetriesOverBudget;
  reportRetry(Request, retry_verdict::Refused, Now);
}

void dispatcher::releaseQueuedRetry(live_request &Request) {
  if (!std::exchange(Request.RetryQueued, false))
    return;
  const auto Queued = QueuedRetries.find(budgetService(Request.Facts));
  if (--Queued->second == 0)
    QueuedRetries.erase(Queued);
}

bool dispatcher::tryPayForRetry(live_request &Request, const service_name &Service, mono_time Now) {
  releaseQueuedRetry(Request);
  return Budget.tryWithdraw(Service, Now);
}

/// Returns a placement that nothing pays for: loans may expire while a retry is queued.
void dispatcher::returnUnpaidPlacement(live_request &Request, mono_time Now) {
  if (mayAwaitLoan(Request, Now)) {
    leaveQueue(Request, Now);
    return awaitRetry(Request, Now);
  }
  refuseRetry(Request, Now);
  finishUnlessSilent(Request, failure_reason::RetriesExhausted, std::nullopt, Now);
}

void dispatcher::reportRetry(const live_request &Request, retry_verdict Verdict, mono_time Now) {
  if (!Callbacks.RetryDecided)
    return;
  const service_name &Service = budgetService(Request.Facts);
  Callbacks.RetryDecided({{Self, Request.Facts.Id, Request.Attempts},
                          Service,
                          Verdict,
                          Budget.available(Service, Now)});
}

bool dispatcher::mayAwaitLoan(const live_request &Request, mono_time Now) {
  return Budget.shared() && Budget.shared()->mayBorrow(budgetService(Request.Facts), Now);
}

/// @return How the next attempt may begin; nothing if the budget refuses it.
std::optional<dispatcher::retry_start> dispatcher::decideRetry(live_request &Request,
                                                               mono_time Now) {
  if (tryQueueRetry(Request, Now))
    return retry_start::Queue;
  if (mayAwaitLoan(Request, Now))
    return retry_start::AwaitLoan;
  refuseRetry(Request, Now);
  return std::nullopt;
}

void dispatcher::beginRetry(live_request &Request, retry_start Start, mono_time Now) {
  if (Start == retry_start::Queue)
    submit(Request, Now);
  else
    awaitRetry(Request, Now);
}

void dispatcher::retryOrFinish(live_request &Request, mono_time Now) {
  if (mayRetry(Request, Now))
    if (const std::optional<retry_start> Start = decideRetry(Request, Now))
      return beginRetry(Request, *Start, Now);
  finishWithoutRetry(Request, Now);
}

void dispatcher::finishWithoutRetry(live_request &Request, mono_time Now) {
  const bool UnsafeToRepeat = !Request.Facts.Idempotent && Request.MayHaveRun;
  finishUnlessSilent(
      Request, UnsafeToRepeat ? failure_reason::BackendFailed : failure_reason::RetriesExhausted,
      std::nullopt, Now);
}

void dispatcher::awaitRetry(live_request &Request, mono_time Now) {
  Request.Phase = request_phase::AwaitingRetry;
  Request.RetryBy = Now + MaxRetryWait;
  // A caller who reads a broken stream has waited for all that came so far.
  if (Request.PartlyAnswered)
    AwaitingRetry.push_front(Request.Facts.Id);
  else
    AwaitingRetry.push_back(Request.Facts.Id);
  const service_name &Service = budgetService(Request.Facts);
  Budget.shared()->want(Service, ++AwaitedRetries[Service], Now);
  updateTimer(Request);
}

void dispatcher::leaveRetryWait(live_request &Request, mono_time Now) {
  if (Request.Phase != request_phase::AwaitingRetry)
    return;
  Request.Phase = request_phase::Claiming;
  std::erase(AwaitingRetry, Request.Facts.Id);
  const auto Awaited = AwaitedRetries.find(budgetService(Request.Facts));
  Budget.shared()->want(Awaited->first, --Awaited->second, Now);
  if (Awaited->second == 0)
    AwaitedRetries.erase(Awaited);
}

void dispatcher::tryAwaitedRetry(live_request &Request, mono_time Now) {
  const bool Expired = Request.RetryBy <= Now;
  if (tryQueueRetry(Request, Now)) {
    leaveRetryWait(Request, Now);
    return submit(Request, Now);
  }
  if (!Expired)
    return AwaitingRetry.push_back(Request.Facts.Id);
  refuseRetry(Request, Now);
  finishWithoutRetry(Request, Now);
}

void dispatcher::receiveRetryMessage(const received_retry_message &Received, mono_time Now) {
  if (!Budget.shared())
    return;
  Budget.shared()->receive(Received, Now);
  for (const request_number RequestId : std::exchange(AwaitingRetry, {}))
    if (live_request *Request = find(RequestId);
        Request && Request->Phase == request_phase::AwaitingRetry)
      tryAwaitedRetry(*Request, Now);
  sendDueCancels(Now);
}

void dispatcher::retryUnanswered(const backend_key &Backend, mono_time Now) {
  std::vector<request_number> Affected;
  for (const auto &[RequestId, Request] : Requests)
    if (Request.CurrentAttempt && Request.CurrentAttempt->Backend == Backend &&
        !isMidAnswer(Request.CurrentAttempt->Lifecycle.state()))
      Affected.push_back(RequestId);
  for (const request_number RequestId : Affected)
    if (live_request *Request = find(RequestId))
      hedge(*Request, Now);
}

void dispatcher::backendLost(const backend_key &Backend, mono_time Now) {
  retryUnanswered(Backend, Now);
  sendDueCancels(Now);
}

void dispatcher::backendGone(const backend_key &Backend, mono_time Now) {
  for (auto &[RequestId, Request] : Requests) {
    if (Request.CurrentAttempt && Request.CurrentAttempt->Backend == Backend)
      Request.CurrentAttempt->BackendGone = true;
    for (running_attempt &Silent : Request.SilentAttempts)
      Silent.BackendGone = Silent.BackendGone || Silent.Backend == Backend;
  }
  for (const attempt_id &Attempt : Abandoned.attemptsOn(Backend)) {
    Abandoned.find(Attempt)->Lifecycle.apply(attempt_step::BackendGone);
    endAbandoned(Attempt, attempt_end::BackendGone, Now);
  }
  retryUnanswered(Backend, Now);
  sendDueCancels(Now);
}

} // namespace pollenstall
