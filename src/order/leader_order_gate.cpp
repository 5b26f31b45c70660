/** @file leader_order_gate.cpp Checks of lease margin, new leader delay, clock jumps and unanswered
 * orders. */
#include "order/leader_order_gate_base.h"

namespace pollenstall {

bool leader_order_gate::isClockJump(mono_time Now) const {
  if (LastChecked == mono_time{})
    return false;
  return Now < LastChecked || Now - LastChecked > Options.MaxClockStep;
}

void leader_order_gate::updateLease(const leader_lease &NewLease, mono_time Now) {
  if (isClockJump(Now)) {
    // The process was stopped or suspended, or the clock was set. Leases and engines may have
    // changed meanwhile.
    ClockJumpAt = Now;
    EnginesRead.clear();
  }
  LastChecked = Now;
  if (ClockJumpAt && NewLease.Valid && NewLease.Renewed > *ClockJumpAt)
    ClockJumpAt.reset();
  const bool IsNewTerm = NewLease.Valid && NewLease.Term != Lease.Term;
  const leader_term Term = NewLease.Valid ? NewLease.Term : Lease.Term;
  Lease = NewLease;
  Lease.Term = Term;
  if (!IsNewTerm)
    return;
  // This lease is valid, so the previous one has ended. A delay counted from now is long enough.
  SendAllowedFrom = Now + Options.NewLeaderDelay;
  EnginesRead.clear();
}

std::optional<gate_refusal> leader_order_gate::leaderRefusal() const {
  if (!Lease.Valid || Lease.End <= LastChecked)
    return gate_refusal::NoLease;
  if (ClockJumpAt)
    return gate_refusal::ClockJumped;
  if (Lease.End - LastChecked <= Options.LeaseMargin)
    return gate_refusal::LeaseTooShort;
  if (LastChecked < SendAllowedFrom)
    return gate_refusal::PredecessorInFlight;
  return std::nullopt;
}

std::optional<gate_refusal> leader_order_gate::refusal(const backend_key &Engine,
                                                       leader_term PlannedTerm) const {
  if (const auto LeaderRefusal = leaderRefusal())
    return LeaderRefusal;
  if (PlannedTerm != Lease.Term)
    return gate_refusal::StaleTerm;
  const auto InFlight = InFlightUntil.find(Engine);
  if (InFlight != InFlightUntil.end() && LastChecked < InFlight->second)
    return gate_refusal::OwnOrderInFlight;
  if (EnginesRead.count(Engine) == 0)
    return gate_refusal::StateNotRead;
  return std::nullopt;
}

bool leader_order_gate::recordStateRead(const backend_key &Engine, mono_time RequestedAt) {
  // A state requested before the end of the new leader delay may not show the previous leader's
  // orders. A state requested while an own order may be in flight may not show that order.
  const auto InFlight = InFlightUntil.find(Engine);
  const bool OwnOrderArrived = InFlight == InFlightUntil.end() || RequestedAt >= InFlight->second;
  const bool IsCurrent = RequestedAt >= SendAllowedFrom && OwnOrderArrived && !ClockJumpAt;
  if (IsCurrent)
    EnginesRead.insert(Engine);
  return IsCurrent;
}

void leader_order_gate::beginWrite(const backend_key &Engine, leader_term PlannedTerm) {
  requireInvariant(!refusal(Engine, PlannedTerm),
                   "an order is written only while the gate permits it");
  // Blocks further orders until the write ends, and then for as long as its bytes may be in flight.
  InFlightUntil[Engine] = mono_time::max();
  EnginesRead.erase(Engine);
}

void leader_order_gate::endWrite(const backend_key &Engine, order_outcome Outcome) {
  // Also applies after an answer: a state requested earlier may show the engine before the order.
  const bool Answered = Outcome == order_outcome::Done || Outcome == order_outcome::Refused;
  InFlightUntil[Engine] = Answered ? LastChecked : LastChecked + Options.MaxTimeInFlight;
}

void leader_order_gate::removeEngine(const backend_key &Engine) {
  EnginesRead.erase(Engine);
  InFlightUntil.erase(Engine);
}

} // namespace pollenstall
