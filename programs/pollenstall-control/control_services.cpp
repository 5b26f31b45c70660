/** @file control_services.cpp Converts the decision thread's outcomes to an adapter's answers. */
#include "control_services_func.h"

namespace pollenstall {

namespace {

/// A caller tries another control host after one second without an answer.
constexpr std::chrono::milliseconds ServiceLimit{900};

service_answer answerFor(const control_outcome &Outcome) {
  return std::visit(
      overloaded{
          [](const not_leader &Refusal) {
            return service_answer{service_status::NotLeader, Refusal.OperatorUrl};
          },
          [](const control_answer &Answer) {
            const bool Refused = std::holds_alternative<evacuation_refused>(Answer);
            return service_answer{Refused ? service_status::Refused : service_status::Accepted, {}};
          },
          [](const backend_recorded &) {
            return service_answer{service_status::Accepted, {}};
          },
          [](const std::string &) {
            return service_answer{service_status::Accepted, {}};
          },
          [](const auto &) { return service_answer{}; }},
      Outcome);
}

declaration_answer readDeclared(control_core &Core) {
  // Filled before the promise is set. A read that completes after the timeout fills a record that
  // nothing uses.
  auto Read = std::make_shared<declaration_record>();
  const control_outcome Outcome = Core.ask(read_state{[Read](const control_state &State) {
                                             *Read = State.declared();
                                             return std::string();
                                           }},
                                           ServiceLimit);
  declaration_answer Answer;
  Answer.Answer = answerFor(Outcome);
  if (Answer.Answer.Status != service_status::Accepted)
    return Answer;
  Answer.Revision = Read->Revision;
  Answer.Text = Read->Text;
  return Answer;
}

/// A withdrawal without a start time ends each incarnation that has started by now.
backend_incarnation withdrawnIncarnation(backend_incarnation Incarnation) {
  if (Incarnation.Started == incarnation_start())
    Incarnation.Started = incarnation_start(static_cast<std::uint64_t>(wallClock().count()));
  return Incarnation;
}

} // namespace

control_services controlServices(control_core &Core, std::string OwnUrl) {
  control_services Services;
  Services.ProposeDeclaration = [&Core](revision Revision, std::string Text) {
    return answerFor(Core.ask(
        submit_command{offer_declaration{Revision, std::move(Text), wallClock()}}, ServiceLimit));
  };
  Services.ReadDeclaration = [&Core] { return readDeclared(Core); };
  Services.Announce = [&Core](const backend_notice &Notice) {
    return answerFor(Core.ask(announce_backend{Notice}, ServiceLimit));
  };
  Services.Withdraw = [&Core](const backend_incarnation &Incarnation) {
    return answerFor(Core.ask(withdraw_backend{withdrawnIncarnation(Incarnation)}, ServiceLimit));
  };
  Services.SetEvacuation = [&Core](const failure_domain_name &Domain, bool Restore) {
    return answerFor(
        Core.ask(submit_command{set_evacuation{Domain, Restore, wallClock()}}, ServiceLimit));
  };
  Services.OwnUrl = std::move(OwnUrl);
  return Services;
}

} // namespace pollenstall
