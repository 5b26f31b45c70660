/** @file entry_server_evacuations.cpp Evacuated failure domains in the entries' leases. */
#include "entry_server_base.h"

#include "control_link/control_link.h"

#include <algorithm>

namespace pollenstall {

void entry_server::evacuationsChanged(const set_evacuation &Change, mono_time Now) {
  if (!Leading)
    return;
  EvacuationTracker.recordChange(revision(Callbacks.State().evacuations().version()), Now);
  if (!Callbacks.MayServe(Now))
    return;
  for (auto &[Connection, Session] : Sessions)
    sendEvacuations(Connection, Session, &Change);
}

/**
 * The list goes out after the first renewal of a connection, which follows the subscription at once
 * and reports the list that the entry has. After a change of leader, all entries have it already.
 */
void entry_server::sendEvacuations(connection_number To, session &Session,
                                   const set_evacuation *Change) {
  const evacuation_table &Evacuations = Callbacks.State().evacuations();
  const std::uint64_t Version = Evacuations.version();
  const bool IsNeeded = !Evacuations.empty() || Session.EvacuationsSent;
  if (!IsNeeded || Session.EvacuationsSent == Version)
    return;
  const bool HasPrevious = Session.EvacuationsSent && *Session.EvacuationsSent + 1 == Version;
  Session.EvacuationsSent = Version;
  if (Change != nullptr && HasPrevious)
    Callbacks.Send({To, link_evacuation_change{Version, Change->Domain, Change->Undo}});
  else
    Callbacks.Send({To, link_evacuations{Version, Evacuations.names()}});
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
