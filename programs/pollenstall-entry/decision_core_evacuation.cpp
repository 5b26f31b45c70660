/** @file decision_core_evacuation.cpp Evacuated failure domains, and the dump. */
#include "decision_core_base.h"

#include "dispatch_dump_func.h"

#include <boost/json.hpp>

namespace pollenstall {

namespace {

std::string dumpText(const evacuation_list &List) {
  boost::json::object State;
  State["version"] = List.version().value_or(0);
  boost::json::array Domains;
  for (const failure_domain_name &Domain : List.domains())
    Domains.emplace_back(Domain.str());
  State["domains"] = std::move(Domains);
  return boost::json::serialize(State);
}

} // namespace

bool decision_core::setEvacuations(const evacuations_changed &Changed, mono_time Now) {
  const std::set<failure_domain_name> Earlier = Evacuations.list().domains();
  if (!Evacuations.update(Changed.Version, Changed.Domains))
    return false;
  EvacuationsChanged = true;
  for (const failure_domain_name &Domain : Earlier)
    if (!Evacuations.list().isOut(Domain))
      domainRestored(Domain, Now);
  Placer.setEvacuations(Evacuations.list());
  Scheduler.setEvacuations(Evacuations.list(), Now);
  PollPending = true;
  return true;
}

void decision_core::recordDomain(const backend_key &Backend, const failure_domain_name &Domain) {
  EvacuationsChanged = Evacuations.setDomain(Backend, Domain) || EvacuationsChanged;
}

std::shared_ptr<const server_evacuations> decision_core::takeEvacuationsChange() {
  if (!Evacuations.list().version() || !std::exchange(EvacuationsChanged, false))
    return nullptr;
  return std::make_shared<const server_evacuations>(Evacuations);
}

/// Without a lease a newer list may exist, so that work could go to an evacuated domain.
bool decision_core::mayPlace(mono_time Now) const {
  const bool ListIsLatest =
      !Evacuations.list().version() || Now < LeaseEnd || !Evacuations.anyServerHasDomain();
  return ListIsLatest && Now <= viewsValidUntil();
}

std::string decision_core::dump(mono_time Now) {
  return R"({"dispatch":)" + dumpText(Dispatcher.dump(Now)) + R"(,"evacuations":)" +
         dumpText(Evacuations.list()) + R"(,"scheduling":)" +
         (usesPlacer() ? Placer.dump(Now) : Scheduler.dump()) + "}";
}

} // namespace pollenstall
