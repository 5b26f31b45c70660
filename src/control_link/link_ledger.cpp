/** @file link_ledger.cpp Open calls of a control link. */
#include "control_link/link_ledger_base.h"

#include "control_link/claim_key_func.h"

namespace pollenstall {

link_claim_acquire link_ledger::acquire(const claim_wanted &Wanted, unix_millis Now) {
  const claim_acquire Claim{
      claimKeyHash(Wanted.Claim.Key), {Owner, Wanted.Claim.Request}, Now + Wanted.Lifetime};
  link_claim_acquire Message{NextCall++, Claim};
  Claims.emplace(Message.Call, open_claim{Message, Wanted.Claim.Request, Wanted.Claim.AnswerBy});
  return Message;
}

link_claim_settle link_ledger::settle(const claim_ended &Ended, unix_millis Now) {
  const claim_settle Claim{claimKeyHash(Ended.Claim.Key),
                           {Owner, Ended.Claim.Request},
                           Ended.Claim.FinalState,
                           Now + Ended.Lifetime};
  link_claim_settle Message{NextCall++, Claim};
  Ends.emplace(Message.Call, Message);
  return Message;
}

std::optional<claim_answered> link_ledger::answered(const link_claim_answer &Answer) {
  const auto Found = Claims.find(Answer.Call);
  if (Found == Claims.end())
    return std::nullopt;
  const claim_answered Event{Found->second.Request, Answer.Verdict};
  Claims.erase(Found);
  return Event;
}

std::vector<claim_answered> link_ledger::expire(mono_time Now) {
  std::vector<claim_answered> Events;
  for (auto Claim = Claims.begin(); Claim != Claims.end();) {
    if (Now < Claim->second.AnswerBy) {
      ++Claim;
      continue;
    }
    const claim_acquire &Given = Claim->second.Message.Claim;
    Events.push_back({Claim->second.Request, claim_status::Unavailable});
    Releases.push_back(
        {NextCall++, {Given.Key, Given.Holder, claim_state::Released, Given.ExpiresAt}});
    Ends.emplace(Releases.back().Call, Releases.back());
    Claim = Claims.erase(Claim);
  }
  return Events;
}

std::vector<link_claim_settle> link_ledger::takeReleases() { return std::exchange(Releases, {}); }

std::vector<link_request> link_ledger::unanswered() const {
  std::vector<link_request> Messages;
  Messages.reserve(Claims.size() + Ends.size());
  for (const auto &[Call, Claim] : Claims)
    Messages.emplace_back(Claim.Message);
  for (const auto &[Call, End] : Ends)
    Messages.emplace_back(End);
  return Messages;
}

} // namespace pollenstall
