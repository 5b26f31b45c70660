/** @file leader_order_gate.cpp Lease margin, successor's wait, clock jumps, and orders without an
 * answer. */
#include "order/leader_order_gate_base.h"

namespace pollenstall {

bool leader_order_gate::isClockJump(mono_time Now) const {
  if (LastLook == mono_time{})
    return false;
  return Now < LastLook || Now - LastLook > Times.MaxClockStep;
}

void leader_order_gate::see(const leader_lease &Seen, mono_time Now) {
  if (isClockJump(Now)) {
    // Stopped, suspended or set: nobody knows what happened meanwhile, also to the engines.
    JumpedAt = Now;
    Read.clear();
  }
  LastLook = Now;
  if (JumpedAt && Seen.Valid && Seen.Renewed > *JumpedAt)
    JumpedAt.reset();
  const bool NewOffice = Seen.Valid && Seen.Term != Lease.Term;
  const leader_term Term = Seen.Valid ? Seen.Term : Lease.Term;
  Lease = Seen;
  Lease.Term = Term;
  if (!NewOffice)
    return;
  // This lease is valid, so the earlier one has ended; counted from now the wait is never short.
  IssueFrom = Now + Times.SuccessorWait;
  Read.clear();
}

std::optional<gate_refusal> leader_order_gate::officeRefusal() const {
  if (!Lease.Valid || Lease.End <= LastLook)
    return gate_refusal::NoLease;
  if (JumpedAt)
    return gate_refusal::ClockJumped;
  if (Lease.End - LastLook <= Times.LeaseMargin)
    return gate_refusal::LeaseTooShort;
  if (LastLook < IssueFrom)
    return gate_refusal::PredecessorUnderWay;
  return std::nullopt;
}

std::optional<gate_refusal> leader_order_gate::refusal(const backend_key &Engine,
                                                       leader_term Planned) const {
  if (const auto Office = officeRefusal())
    return Office;
  if (Planned != Lease.Term)
    return gate_refusal::OtherOffice;
  const auto UnderWay = UnderWayUntil.find(Engine);
  if (UnderWay != UnderWayUntil.end() && LastLook < UnderWay->second)
    return gate_refusal::OwnOrderUnderWay;
  if (Read.count(Engine) == 0)
    return gate_refusal::StateUnread;
  return std::nullopt;
}

bool leader_order_gate::stateRead(const backend_key &Engine, mono_time Asked) {
  // An answer to a question from before the wait's end may not show what the earlier leader did,
  // nor may one from before an own order without an answer had its time.
  const auto UnderWay = UnderWayUntil.find(Engine);
  const bool OwnSettled = UnderWay == UnderWayUntil.end() || Asked >= UnderWay->second;
  const bool Counts = Asked >= IssueFrom && OwnSettled && !JumpedAt;
  if (Counts)
    Read.insert(Engine);
  return Counts;
}

void leader_order_gate::writing(const backend_key &Engine, leader_term Planned) {
  requireInvariant(!refusal(Engine, Planned), "an order is written only while the gate permits it");
  // Held until the write has ended, and after that as long as its bytes may be on the way.
  UnderWayUntil[Engine] = mono_time::max();
  Read.erase(Engine);
}

void leader_order_gate::ended(const backend_key &Engine, order_outcome Outcome) {
  // Also after an answer: a state that was asked for before it may show what was there before.
  const bool Answered = Outcome == order_outcome::Done || Outcome == order_outcome::Refused;
  UnderWayUntil[Engine] = Answered ? LastLook : LastLook + Times.LongestUnderWay;
}

void leader_order_gate::forget(const backend_key &Engine) {
  Read.erase(Engine);
  UnderWayUntil.erase(Engine);
}

} // namespace pollenstall
