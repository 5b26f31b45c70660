/** @file control_services.cpp Turns the decision thread's outcomes into answers for an adapter. */
#include "control_services_func.h"

namespace pollenstall {

namespace {

/// A caller of a control host moves on to another one after a second without an answer.
constexpr std::chrono::milliseconds ServiceLimit{900};

service_answer answerFor(const control_outcome &Outcome) {
  return std::visit(
      overloaded{[](const leader_elsewhere &Other) {
                   return service_answer{service_status::NotLeader, Other.OperatorUrl};
                 },
                 [](const control_answer &) {
                   return service_answer{service_status::Accepted, {}};
                 },
                 [](const backend_noted &) {
                   return service_answer{service_status::Accepted, {}};
                 },
                 [](const std::string &) {
                   return service_answer{service_status::Accepted, {}};
                 },
                 [](const auto &) { return service_answer{}; }},
      Outcome);
}

declaration_answer readDeclared(control_core &Core) {
  // Filled before the answer is handed over; a read that comes too late fills what nobody looks at.
  auto Read = std::make_shared<declaration_record>();
  const control_outcome Outcome = Core.ask(read_wanted{[Read](const control_state &State) {
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

/// A withdrawal that does not say when its life began ends each one that has begun by now.
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
        command_wanted{offer_declaration{Revision, std::move(Text), wallClock()}}, ServiceLimit));
  };
  Services.ReadDeclaration = [&Core] { return readDeclared(Core); };
  Services.Announce = [&Core](const backend_notice &Notice) {
    return answerFor(Core.ask(announcement_wanted{Notice}, ServiceLimit));
  };
  Services.Withdraw = [&Core](const backend_incarnation &Incarnation) {
    return answerFor(Core.ask(withdrawal_wanted{withdrawnIncarnation(Incarnation)}, ServiceLimit));
  };
  Services.OwnUrl = std::move(OwnUrl);
  return Services;
}

} // namespace pollenstall
