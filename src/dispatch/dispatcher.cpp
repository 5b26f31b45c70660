/** @file dispatcher.cpp Admission, claims, the queue, and the one final answer of each request. */
#include "dispatch/dispatcher_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long the control log may take to answer for a claim.
constexpr mono_duration ClaimPatience = seconds(2);
/// How long after the deadline a caller's software may still resend with the same key.
constexpr milliseconds ResendWindow = std::chrono::minutes(10);
constexpr seconds DefaultRetryAfter{1};

/// @return The claimed name; the length in front keeps "a" + "b:c" and "a:b" + "c" apart.
std::string claimKey(const request_facts &Facts) {
  const std::string &Account = Facts.Account.str();
  return std::to_string(Account.size()) + ":" + Account + ":" + Facts.IdempotencyKey;
}

bool needsClaim(const request_facts &Facts) {
  return !Facts.Idempotent && !Facts.IdempotencyKey.empty();
}

/// @return Whether the same request could do better later.
bool passes(failure_reason Reason) {
  return Reason != failure_reason::TooLargeForFleet && Reason != failure_reason::CallerLeft &&
         Reason != failure_reason::AlreadyComplete;
}

work_item workItem(const live_request &Request, std::vector<candidate_group> Groups) {
  const request_facts &Facts = Request.Facts;
  work_item Item{Facts.Id,          Facts.Account, Facts.Service,     Facts.Model,
                 std::move(Groups), Facts.Prompt,  Facts.AnswerLimit, Facts.PrefixHashes,
                 Request.Tried,     Facts.Arrived, Facts.Deadline};
  Item.Urgency = Facts.Urgency;
  Item.Target = Facts.Target;
  Item.LongestGap = Facts.LongestGap;
  Item.AnswerHint = Facts.AnswerHint;
  Item.Resumed = Request.Answered || Facts.Continues;
  return Item;
}

} // namespace

dispatcher::dispatcher(process_key Process, const limits_declaration &StartLimits,
                       std::uint64_t Seed, dispatch_seam Hooks)
    : Self(std::move(Process)), Limits(StartLimits), Seam(std::move(Hooks)), Abandoned(Seed),
      Budget(StartLimits.RetryPercent) {}

void dispatcher::applyLimits(const limits_declaration &Value) {
  Limits = Value;
  Budget.setPercent(Value.RetryPercent);
}

live_request *dispatcher::find(request_number Request) {
  const auto Found = Requests.find(Request);
  return Found == Requests.end() ? nullptr : &Found->second;
}

void dispatcher::on(const request_arrived &Event, mono_time Now) {
  const auto [Place, Added] = Requests.try_emplace(Event.Facts.Id);
  if (!Added)
    return ignore();
  ++Counters.Arrived;
  live_request &Request = Place->second;
  Request.Facts = Event.Facts;
  if (needsClaim(Event.Facts))
    Request.Claim = claim_progress::Needed;
  if (const auto Refused = refusalAtArrival(Request, Now))
    return finishShort(Request, *Refused, std::nullopt, Now);
  setWake(Request);
  if (Request.Claim == claim_progress::Needed)
    return askForClaim(Request, Now);
  submit(Request, Now);
}

std::optional<failure_reason> dispatcher::refusalAtArrival(const live_request &Request,
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

void dispatcher::askForClaim(live_request &Request, mono_time Now) {
  const auto Remaining = std::chrono::ceil<milliseconds>(Request.Facts.Deadline - Now);
  Request.Claim = claim_progress::Asked;
  Request.ClaimKey = claimKey(Request.Facts);
  // A claim that ended while its request runs would let a resend run beside it.
  Request.ClaimLifetime = std::max(Limits.ClaimLifetime, Remaining + ResendWindow);
  Request.ClaimBy = std::min(Now + ClaimPatience, Request.Facts.Deadline);
  ++Claiming;
  Actions.emplace_back(
      acquire_claim{Request.Facts.Id, Request.ClaimKey, Request.ClaimBy, Request.ClaimLifetime});
  setWake(Request);
}

void dispatcher::on(const claim_answered &Event, mono_time Now) {
  live_request *Request = find(Event.Request);
  if (Request == nullptr || Request->Claim != claim_progress::Asked)
    return ignore();
  switch (Event.Verdict) {
  case claim_verdict::Granted:
    Request->Claim = claim_progress::Granted;
    --Claiming;
    return submit(*Request, Now);
  case claim_verdict::Complete:
    return finishAlreadyComplete(*Request);
  case claim_verdict::Running:
    Request->Claim = claim_progress::HeldByOther;
    --Claiming;
    return finishShort(*Request, failure_reason::AlreadyRunning, std::nullopt, Now);
  case claim_verdict::Unavailable:
    return finishShort(*Request, failure_reason::ClaimUnavailable, std::nullopt, Now);
  }
}

void dispatcher::submit(live_request &Request, mono_time Now) {
  std::vector<candidate_group> Groups = Seam.GroupsFor(Request.Facts);
  if (Groups.empty())
    return finishShort(Request, failure_reason::NoBackend, std::nullopt, Now);
  const auto Taken = Seam.Submit(workItem(Request, std::move(Groups)), Now);
  if (!succeeded(Taken))
    return finishShort(Request, errorOf(Taken).Reason, errorOf(Taken).RetryAfter, Now);
  Request.Phase = request_phase::Queued;
  setWake(Request);
}

void dispatcher::expire(const work_expiry &Expiry, mono_time Now) {
  live_request *Request = find(Expiry.Request);
  if (Request == nullptr || Request->Phase != request_phase::Queued)
    return ignore();
  Request->Phase = request_phase::Claiming; // No longer in the queue, so nothing to withdraw.
  finishShort(*Request, Expiry.Refusal.Reason, Expiry.Refusal.RetryAfter, Now);
  sendDueCancels(Now);
}

void dispatcher::on(const caller_left &Event, mono_time Now) {
  live_request *Request = find(Event.Request);
  if (Request == nullptr)
    return ignore();
  finishShort(*Request, failure_reason::CallerLeft, std::nullopt, Now);
}

void dispatcher::finishComplete(live_request &Request) {
  requireInvariant(!Request.Current, "a completed request waits for no attempt",
                   [this] { return text(); });
  if (Request.Claim == claim_progress::Granted)
    settle(Request, claim_standing::Complete);
  close(Request, {Request.Facts.Id, final_outcome::Complete, failure_reason::None, std::nullopt});
}

void dispatcher::finishAlreadyComplete(live_request &Request) {
  Request.Claim = claim_progress::HeldByOther;
  --Claiming;
  close(Request,
        {Request.Facts.Id, final_outcome::Complete, failure_reason::AlreadyComplete, std::nullopt});
}

void dispatcher::finishShort(live_request &Request, failure_reason Reason,
                             std::optional<seconds> RetryAfter, mono_time Now) {
  // Without the claim's verdict an earlier send with the key may have run: "not run" could make the
  // caller start the work again under another key, and so run it twice.
  const bool NotRun = !Request.mayHaveRun() && !Request.standingUnknown();
  if (Request.Phase == request_phase::Queued && Seam.Withdraw)
    Seam.Withdraw(Request.Facts.Id);
  if (Request.Claim == claim_progress::Granted)
    settle(Request, NotRun ? claim_standing::Released : claim_standing::Unknown);
  if (Request.Claim == claim_progress::Asked) {
    --Claiming;
    // Nothing was sent for this claim; it may be granted after all, and would hold the key in vain.
    settle(Request, claim_standing::Released);
  }
  const finish_request Finish{Request.Facts.Id,
                              NotRun ? final_outcome::NotRun : final_outcome::Unknown, Reason,
                              retryAfter(Request, Reason, RetryAfter, Now)};
  if (Request.Current)
    closeAttempt(Request, std::nullopt, Now);
  close(Request, Finish);
}

std::optional<seconds> dispatcher::retryAfter(const live_request &Request, failure_reason Reason,
                                              std::optional<seconds> Given, mono_time Now) const {
  // After a possible run only the caller knows whether a resend is safe, so none is suggested.
  if (Request.mayHaveRun() || !passes(Reason))
    return std::nullopt;
  if (Given)
    return Given;
  return Seam.RetryAfter ? Seam.RetryAfter(Request.Facts, Now) : DefaultRetryAfter;
}

void dispatcher::settle(const live_request &Request, claim_standing Standing) {
  requireInvariant(Standing != claim_standing::Released || !Request.mayHaveRun(),
                   "a claim is released only for work that never ran", [this] { return text(); });
  Actions.emplace_back(
      settle_claim{Request.Facts.Id, Request.ClaimKey, Standing, Request.ClaimLifetime});
}

void dispatcher::close(const live_request &Request, const finish_request &Finish) {
  const bool SaysNotRun = Finish.Outcome == final_outcome::NotRun;
  requireInvariant(!SaysNotRun || (!Request.mayHaveRun() && !Request.standingUnknown()),
                   "'not run' is said only of work that never ran", [this] { return text(); });
  Counters.Complete += Finish.Outcome == final_outcome::Complete ? 1 : 0;
  Counters.NotRun += SaysNotRun ? 1 : 0;
  Counters.Unknown += Finish.Outcome == final_outcome::Unknown ? 1 : 0;
  Actions.emplace_back(Finish);
  Wakes.erase(Finish.Request);
  Requests.erase(Finish.Request);
}

} // namespace pollenstall
