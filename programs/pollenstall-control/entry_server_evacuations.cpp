/** @file entry_server_evacuations.cpp Evacuated failure domains in the entries' leases. */
#include "entry_server_base.h"

#include "control_link/control_link.h"

#include <algorithm>

namespace pollenstall {

void entry_server::startEvacuations(mono_time Now) {
  // Earlier versions at which no domain was evacuated are not known here, except the first.
  EmptyEvacuations = revision();
  updateEmptyEvacuations();
  EvacuationTracker.beginTerm(revision(Callbacks.State().evacuations().version()), Now);
}

void entry_server::updateEmptyEvacuations() {
  const evacuation_table &Evacuations = Callbacks.State().evacuations();
  if (Evacuations.empty())
    EmptyEvacuations = revision(Evacuations.version());
}

void entry_server::evacuationsChanged(mono_time Now) {
  if (!Leading)
    return;
  updateEmptyEvacuations();
  EvacuationTracker.recordChange(revision(Callbacks.State().evacuations().version()), Now);
  if (!Callbacks.MayServe(Now))
    return;
  for (auto &[Connection, Session] : Sessions)
    sendEvacuations(Connection, Session);
}

void entry_server::sendEvacuations(connection_number To, session &Session) {
  const evacuation_table &Evacuations = Callbacks.State().evacuations();
  const bool IsNeeded = !Evacuations.empty() || Session.EvacuationsSent;
  if (!IsNeeded || Session.EvacuationsSent == Evacuations.version() || !Session.InitialStateSent)
    return;
  Session.EvacuationsSent = Evacuations.version();
  Callbacks.Send({To, link_evacuations{Evacuations.version(), Evacuations.names()}});
}

void entry_server::handleRequest(connection_number From, const link_renew_evacuations &Request,
                                 mono_time Now) {
  session *Session = findSession(From, Request.Renewal.Process);
  if (Session == nullptr)
    return;
  Session->EvacuationsSent = std::max(Session->EvacuationsSent.value_or(0), Request.Received);
  if (Request.Confirmed)
    Session->EvacuationsConfirmed = revision(*Request.Confirmed);
  Session->RequestsLeft = Request.RequestsLeft;
  renew(From, *Session, Request.Renewal, Now);
}

/**
 * An entry must have confirmed what both trackers require. Each records the lease that is granted,
 * not the one it offered, since a longer one would delay acknowledgements.
 */
std::optional<mono_duration> entry_server::grantLease(const session &Session, mono_time Now) {
  const process_key &Process = Session.Subscription.Process;
  const failure_domain_name &Domain = Session.Subscription.Domain;
  const auto ForDeclaration = Tracker.offer(Process, Domain, Session.Confirmed, Now);
  const auto ForEvacuations =
      EvacuationTracker.offer(Process, Domain, Session.EvacuationsConfirmed, Now);
  if (!ForDeclaration || !ForEvacuations)
    return std::nullopt;
  const mono_duration Lease = std::min(*ForDeclaration, *ForEvacuations);
  Tracker.grant(Process, Lease, Now);
  EvacuationTracker.grant(Process, Lease, Now);
  return Lease;
}

bool entry_server::mayAcknowledgeEvacuation(std::uint64_t Version, mono_time Now) const {
  return Leading && EvacuationTracker.mayAcknowledge(revision(Version), Now);
}

evacuation_progress entry_server::evacuationProgress() const {
  const revision Current(Callbacks.State().evacuations().version());
  evacuation_progress Progress;
  for (const auto &[Connection, Session] : Sessions) {
    ++Progress.Entries;
    Progress.Unconfirmed += Session.EvacuationsConfirmed < Current ? 1 : 0;
    Progress.RequestsLeft += Session.RequestsLeft;
  }
  return Progress;
}

} // namespace pollenstall
