/** @file claim_call_tracker.cpp Pending claim calls of a control link. */
#include "control_link/claim_call_tracker_base.h"

#include "control_link/claim_key_func.h"

namespace pollenstall {

namespace {

/// Longer than an answer takes unless the call or its proposal is lost.
constexpr std::chrono::milliseconds ResendInterval{500};

} // namespace

link_claim_acquire claim_call_tracker::acquire(const request_claim &Requested, unix_millis Wall,
                                               mono_time Now) {
  const claim_acquire Claim{claimKeyHash(Requested.Claim.Key),
                            {Owner, Requested.Claim.Request},
                            Wall + Requested.Lifetime};
  link_claim_acquire Message{NextCall++, Claim};
  Claims.emplace(Message.Call,
                 pending_claim{Message, Requested.Claim.Request, Requested.Claim.AnswerBy, Now});
  return Message;
}

link_claim_settle claim_call_tracker::settle(const report_claim_outcome &Ended, unix_millis Wall,
                                             mono_time Now) {
  // A copy of the claim call that arrived after its release could be granted once another request
  // has used and released the key.
  std::erase_if(
      Claims, [&Ended](const auto &Claim) { return Claim.second.Request == Ended.Claim.Request; });
  const claim_settle Claim{claimKeyHash(Ended.Claim.Key),
                           {Owner, Ended.Claim.Request},
                           Ended.Claim.FinalState,
                           Wall + Ended.Lifetime};
  link_claim_settle Message{NextCall++, Claim};
  PendingSettles.emplace(Message.Call, pending_settle{Message, Now});
  return Message;
}

std::optional<claim_answered>
claim_call_tracker::handleClaimAnswer(const link_claim_answer &Answer) {
  const auto Found = Claims.find(Answer.Call);
  if (Found == Claims.end())
    return std::nullopt;
  const claim_answered Event{Found->second.Request, Answer.Verdict};
  Claims.erase(Found);
  return Event;
}

std::vector<claim_answered> claim_call_tracker::timeOut(mono_time Now) {
  std::vector<claim_answered> Events;
  for (auto Claim = Claims.begin(); Claim != Claims.end();) {
    if (Now < Claim->second.AnswerBy) {
      ++Claim;
      continue;
    }
    const claim_acquire &TimedOut = Claim->second.Message.Claim;
    Events.push_back({Claim->second.Request, claim_status::Unavailable});
    const link_claim_settle Release{
        NextCall++, {TimedOut.Key, TimedOut.Holder, claim_state::Released, TimedOut.ExpiresAt}};
    PendingSettles.emplace(Release.Call, pending_settle{Release, mono_time::min()});
    Claim = Claims.erase(Claim);
  }
  return Events;
}

std::vector<link_request> claim_call_tracker::takeSentBefore(mono_time Limit, mono_time Now) {
  std::vector<link_request> Messages;
  const auto Take = [&](auto &Calls) {
    for (auto &[Number, Call] : Calls) {
      if (Call.SentAt > Limit)
        continue;
      Call.SentAt = Now;
      Messages.emplace_back(Call.Message);
    }
  };
  Take(Claims);
  Take(PendingSettles);
  return Messages;
}

std::vector<link_request> claim_call_tracker::takeOverdue(mono_time Now) {
  return takeSentBefore(Now - ResendInterval, Now);
}

std::vector<link_request> claim_call_tracker::takeUnanswered(mono_time Now) {
  return takeSentBefore(Now, Now);
}

} // namespace pollenstall
