/** @file decision_thread_evacuation.cpp Lists of evacuated failure domains: from the control link
 * to the relay, and their confirmation. */
#include "decision_thread_base.h"

#include "program/program.h"

#include <utility>

namespace pollenstall {

namespace {

std::string namesOf(const std::set<failure_domain_name> &Domains) {
  std::string Names;
  for (const failure_domain_name &Domain : Domains)
    Names += (Names.empty() ? "" : ",") + Domain.str();
  return Names;
}

} // namespace

evacuation_metrics::evacuation_metrics(prometheus::Registry &Registry)
    : Domains(prometheus::BuildGauge()
                  .Name("pollenstall_evacuated_domains")
                  .Help("Failure domains that are out of service, as this entry obeys")
                  .Register(Registry)
                  .Add({})),
      Requests(prometheus::BuildGauge()
                   .Name("pollenstall_requests_in_evacuated_domains")
                   .Help("Requests of this entry that still run in evacuated failure domains")
                   .Register(Registry)
                   .Add({})),
      AbandonedClaims(
          prometheus::BuildCounter()
              .Name("pollenstall_evacuation_abandoned_total")
              .Help("Placements given up because a server's failure domain is evacuated")
              .Register(Registry)
              .Add({{"stage", "claimed"}})) {}

void decision_thread::handleEvacuations(const evacuations_changed &Changed, mono_time Now) {
  const bool IsNew = Core.setEvacuations(Changed, Now);
  // A new leader sends the list again and does not know what this entry has confirmed.
  if (!IsNew && EvacuationsInUse && EvacuationsInUse->Version == Changed.Version)
    confirmEvacuations();
}

void decision_thread::forwardEvacuations() {
  if (auto Changed = Core.takeEvacuationsChange())
    Outbox.push(evacuations_update{std::move(Changed)});
}

/// The list binds the decisions since it arrived, and now the relay too.
void decision_thread::handleEvacuationsInUse(const evacuations_in_use &Report) {
  const evacuation_list &List = Core.evacuations();
  if (List.version() != Report.Version)
    return; // The relay has not received the latest list yet.
  const bool IsNew = !EvacuationsInUse || EvacuationsInUse->Version != Report.Version;
  EvacuationsInUse = Report;
  Metrics.Requests.Set(Report.RequestsLeft);
  const bool WasOut = std::exchange(AnyDomainOut, !List.empty());
  if (IsNew) {
    Metrics.Domains.Set(static_cast<double>(List.domains().size()));
    if (WasOut || AnyDomainOut)
      logEvent(log_level::Info, "evacuation_in_use",
               {{"version", static_cast<std::int64_t>(Report.Version)},
                {"domains", namesOf(List.domains())},
                {"requests_left", static_cast<std::int64_t>(Report.RequestsLeft)}});
  }
  confirmEvacuations();
}

void decision_thread::confirmEvacuations() {
  if (Control)
    Control->request(
        confirm_evacuations{EvacuationsInUse->Version, EvacuationsInUse->RequestsLeft});
}

void decision_thread::countEvacuatedClaims() {
  const std::uint64_t Claims = Core.evacuatedClaims();
  Metrics.AbandonedClaims.Increment(
      static_cast<double>(Claims - std::exchange(CountedEvacuatedClaims, Claims)));
}

} // namespace pollenstall
