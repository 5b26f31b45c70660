/** @file dispatcher.cpp Admission, claims, queueing, and the final answer of each request. */
#include "dispatch/dispatcher_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long the control log may take to answer a claim request.
constexpr mono_duration ClaimTimeout = seconds(2);
/// How long after the deadline a client may still resend a request with the same key.
constexpr milliseconds ResendWindow = std::chrono::minutes(10);
constexpr seconds DefaultRetryAfter{1};

/// Returns the key to claim. The length prefix keeps "a" + "b:c" and "a:b" + "c" apart.
std::string claimKey(const request_facts &Facts) {
  const std::string &Account = Facts.Account.str();
  return std::to_string(Account.size()) + ":" + Account + ":" + Facts.IdempotencyKey;
}

bool needsClaim(const request_facts &Facts) {
  return !Facts.Idempotent && !Facts.IdempotencyKey.empty();
}

/// @return Whether the same request could succeed later.
bool isTransient(failure_reason Reason) {
  return Reason != failure_reason::TooLargeForFleet && Reason != failure_reason::CallerLeft &&
         Reason != failure_reason::AlreadyComplete;
}

work_item workItem(const live_request &Request, std::vector<candidate_group> Groups) {
  const request_facts &Facts = Request.Facts;
  work_item Item{Facts.Id,          Facts.Account,      Facts.Service,
                 Facts.Model,       std::move(Groups),  Facts.Prompt,
                 Facts.AnswerLimit, Facts.PrefixHashes, Request.TriedBackends,
                 Facts.Arrived,     Facts.Deadline};
  Item.Urgency = Facts.Urgency;
  Item.Target = Facts.Target;
  Item.LongestGap = Facts.LongestGap;
  Item.Patience = Facts.Patience;
  Item.TimeLimit = Facts.TimeLimit;
  Item.AnswerHint = Facts.AnswerHint;
  Item.Resumed = Request.PartlyAnswered || Facts.Continues;
  return Item;
}

} // namespace

dispatcher::dispatcher(process_key ProcessKey, const limits_declaration &InitialLimits,
                       std::uint64_t Seed, dispatcher_callbacks InitialCallbacks)
    : Self(std::move(ProcessKey)), Limits(InitialLimits), Callbacks(std::move(InitialCallbacks)),
      Abandoned(Seed), Budget(InitialLimits.RetryPercent) {}

void dispatcher::applyLimits(const limits_declaration &Value) {
  Limits = Value;
  Budget.setPercent(Value.RetryPercent);
}

live_request *dispatcher::find(request_number Request) {
  const auto Found = Requests.find(Request);
  return Found == Requests.end() ? nullptr : &Found->second;
}

void dispatcher::on(const request_arrived &Event, mono_time Now) {
  const auto [Position, Inserted] = Requests.try_emplace(Event.Facts.Id);
  if (!Inserted)
    return countIgnoredEvent();
  ++Counters.Arrived;
  live_request &Request = Position->second;
  Request.Facts = Event.Facts;
  if (needsClaim(Event.Facts))
    Request.Claim = claim_progress::Needed;
  if (const auto Refused = rejectionOnArrival(Request, Now))
    return finishWithFailure(Request, *Refused, std::nullopt, Now);
  updateTimer(Request);
  if (Request.Claim == claim_progress::Needed)
    return requestClaim(Request, Now);
  submit(Request, Now);
}

std::optional<failure_reason> dispatcher::rejectionOnArrival(const live_request &Request,
                                                             mono_time Now) const {
  if (ShutdownBy)
    return failure_reason::ShuttingDown;
  if (!Ready)
    return failure_reason::NotReady;
  if (Request.Facts.Deadline <= Now)
    return failure_reason::DeadlineExceeded;
  if (Request.Claim == claim_progress::Needed && Claiming >= Limits.MaxQueued)
    return failure_reason::QueueFull;
  return std::nullopt;
}

void dispatcher::requestClaim(live_request &Request, mono_time Now) {
  const auto Remaining = std::chrono::ceil<milliseconds>(Request.Facts.Deadline - Now);
  Request.Claim = claim_progress::Requested;
  Request.ClaimKey = claimKey(Request.Facts);
  // If the claim expired while its request runs, a resend could run concurrently.
  Request.ClaimLifetime = std::max(Limits.ClaimLifetime, Remaining + ResendWindow);
  Request.ClaimDeadline = std::min(Now + ClaimTimeout, Request.Facts.Deadline);
  ++Claiming;
  Actions.emplace_back(acquire_claim{Request.Facts.Id, Request.ClaimKey, Request.ClaimDeadline,
                                     Request.ClaimLifetime});
  updateTimer(Request);
}

void dispatcher::on(const claim_answered &Event, mono_time Now) {
  live_request *Request = find(Event.Request);
  if (Request == nullptr || Request->Claim != claim_progress::Requested)
    return countIgnoredEvent();
  switch (Event.Status) {
  case claim_status::Granted:
    Request->Claim = claim_progress::Granted;
    --Claiming;
    return submit(*Request, Now);
  case claim_status::Complete:
    return finishAlreadyComplete(*Request, Now);
  case claim_status::Running:
    Request->Claim = claim_progress::OwnedByOther;
    --Claiming;
    return finishWithFailure(*Request, failure_reason::AlreadyRunning, std::nullopt, Now);
  case claim_status::Unavailable:
    return finishWithFailure(*Request, failure_reason::ClaimUnavailable, std::nullopt, Now);
  }
}

void dispatcher::submit(live_request &Request, mono_time Now) {
  std::vector<candidate_group> Groups = Callbacks.GroupsFor(Request.Facts);
  if (Groups.empty())
    return finishUnlessSilent(Request, failure_reason::NoBackend, std::nullopt, Now);
  const auto Submitted = Callbacks.Submit(workItem(Request, std::move(Groups)), Now);
  if (!succeeded(Submitted))
    return finishUnlessSilent(Request, errorOf(Submitted).Reason, errorOf(Submitted).RetryAfter,
                              Now);
  Request.Phase = request_phase::Queued;
  updateTimer(Request);
}

void dispatcher::expire(const work_expiry &Expiry, mono_time Now) {
  live_request *Request = find(Expiry.Request);
  if (Request == nullptr || Request->Phase != request_phase::Queued)
    return countIgnoredEvent();
  // Any phase but Queued: the scheduler has removed the work already, so it is not withdrawn.
  Request->Phase = request_phase::Claiming;
  finishUnlessSilent(*Request, Expiry.Refusal.Reason, Expiry.Refusal.RetryAfter, Now);
  sendDueCancels(Now);
}

void dispatcher::on(const caller_left &Event, mono_time Now) {
  live_request *Request = find(Event.Request);
  if (Request == nullptr)
    return countIgnoredEvent();
  finishWithFailure(*Request, failure_reason::CallerLeft, std::nullopt, Now);
}

void dispatcher::finishComplete(live_request &Request, mono_time Now) {
  requireInvariant(!Request.CurrentAttempt, "a completed request has no running attempt",
                   [this] { return stateText(); });
  if (Request.Claim == claim_progress::Granted)
    settle(Request, claim_state::Complete);
  close(Request, {Request.Facts.Id, final_outcome::Complete, failure_reason::None, std::nullopt},
        Now);
}

void dispatcher::finishAlreadyComplete(live_request &Request, mono_time Now) {
  Request.Claim = claim_progress::OwnedByOther;
  --Claiming;
  close(Request,
        {Request.Facts.Id, final_outcome::Complete, failure_reason::AlreadyComplete, std::nullopt},
        Now);
}

void dispatcher::finishWithFailure(live_request &Request, failure_reason Reason,
                                   std::optional<seconds> RetryAfter, mono_time Now) {
  // Without the claim's result, an earlier request with the key may have run. A reply of "not run"
  // could make the caller start the work again under another key, so that it would run twice.
  const bool NotRun = !Request.mayHaveRun() && !Request.earlierRequestMayHaveRun();
  leaveRetryWait(Request, Now);
  if (Request.Phase == request_phase::Queued && Callbacks.Withdraw)
    Callbacks.Withdraw(Request.Facts.Id);
  if (Request.Claim == claim_progress::Granted)
    settle(Request, NotRun ? claim_state::Released : claim_state::Unknown);
  if (Request.Claim == claim_progress::Requested) {
    --Claiming;
    // No work was sent under this claim. If it is still granted later, it must not block the key.
    settle(Request, claim_state::Released);
  }
  const finish_request Finish{Request.Facts.Id,
                              NotRun ? final_outcome::NotRun : final_outcome::Unknown, Reason,
                              retryAfter(Request, Reason, RetryAfter, Now)};
  if (Request.CurrentAttempt)
    closeAttempt(Request, std::nullopt, Now);
  close(Request, Finish, Now);
}

std::optional<seconds> dispatcher::retryAfter(const live_request &Request, failure_reason Reason,
                                              std::optional<seconds> Suggested,
                                              mono_time Now) const {
  // If the work may have run, only the caller knows whether a resend is safe, so no time is
  // suggested.
  if (Request.mayHaveRun() || !isTransient(Reason))
    return std::nullopt;
  if (Suggested)
    return Suggested;
  return Callbacks.RetryAfter ? Callbacks.RetryAfter(Request.Facts, Now) : DefaultRetryAfter;
}

void dispatcher::settle(const live_request &Request, claim_state FinalState) {
  requireInvariant(FinalState != claim_state::Released || !Request.mayHaveRun(),
                   "a claim is released only for work that never ran",
                   [this] { return stateText(); });
  Actions.emplace_back(
      settle_claim{Request.Facts.Id, Request.ClaimKey, FinalState, Request.ClaimLifetime});
}

void dispatcher::close(live_request &Request, const finish_request &Finish, mono_time Now) {
  abandonSilentAttempts(Request, Now);
  releaseQueuedRetry(Request);
  const bool SaysNotRun = Finish.Outcome == final_outcome::NotRun;
  requireInvariant(!SaysNotRun || (!Request.mayHaveRun() && !Request.earlierRequestMayHaveRun()),
                   "'not run' is reported only for work that never ran",
                   [this] { return stateText(); });
  Counters.Complete += Finish.Outcome == final_outcome::Complete ? 1 : 0;
  Counters.NotRun += SaysNotRun ? 1 : 0;
  Counters.Unknown += Finish.Outcome == final_outcome::Unknown ? 1 : 0;
  Actions.emplace_back(Finish);
  Timers.erase(Finish.Request);
  Requests.erase(Finish.Request);
}

} // namespace pollenstall
