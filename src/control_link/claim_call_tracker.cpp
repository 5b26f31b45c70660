/** @file claim_call_tracker.cpp Pending claim calls of a control link. */
#include "control_link/claim_call_tracker_base.h"

#include "control_link/claim_key_func.h"

namespace pollenstall {

link_claim_acquire claim_call_tracker::acquire(const request_claim &Requested, unix_millis Now) {
  const claim_acquire Claim{claimKeyHash(Requested.Claim.Key),
                            {Owner, Requested.Claim.Request},
                            Now + Requested.Lifetime};
  link_claim_acquire Message{NextCall++, Claim};
  Claims.emplace(Message.Call,
                 pending_claim{Message, Requested.Claim.Request, Requested.Claim.AnswerBy});
  return Message;
}

link_claim_settle claim_call_tracker::settle(const report_claim_outcome &Ended, unix_millis Now) {
  const claim_settle Claim{claimKeyHash(Ended.Claim.Key),
                           {Owner, Ended.Claim.Request},
                           Ended.Claim.FinalState,
                           Now + Ended.Lifetime};
  link_claim_settle Message{NextCall++, Claim};
  PendingSettles.emplace(Message.Call, Message);
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
    Releases.push_back(
        {NextCall++, {TimedOut.Key, TimedOut.Holder, claim_state::Released, TimedOut.ExpiresAt}});
    PendingSettles.emplace(Releases.back().Call, Releases.back());
    Claim = Claims.erase(Claim);
  }
  return Events;
}

std::vector<link_claim_settle> claim_call_tracker::takeReleases() {
  return std::exchange(Releases, {});
}

std::vector<link_request> claim_call_tracker::unanswered() const {
  std::vector<link_request> Messages;
  Messages.reserve(Claims.size() + PendingSettles.size());
  for (const auto &[Call, Claim] : Claims)
    Messages.emplace_back(Claim.Message);
  for (const auto &[Call, End] : PendingSettles)
    Messages.emplace_back(End);
  return Messages;
}

} // namespace pollenstall
