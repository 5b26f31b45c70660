/** @file control_core_request.cpp Operators' questions and proposals on the decision thread. */
#include "control_core_base.h"

#include "control_codec_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::chrono::seconds ProposalLimit{10};

const char *codeOf(proposal_error Reason) {
  switch (Reason) {
  case proposal_error::NotLeader:
    return "not_leader";
  case proposal_error::TooLarge:
    return "too_large";
  case proposal_error::TooManyInFlight:
    return "overloaded";
  case proposal_error::ChangeInProgress:
    return "membership_change_in_progress";
  case proposal_error::NotReady:
    return "not_ready";
  case proposal_error::UnknownMember:
    return "unknown_member";
  case proposal_error::AlreadyMember:
    return "already_member";
  case proposal_error::LastVoter:
    return "last_voter";
  case proposal_error::MemberActive:
    return "member_active";
  }
  return "refused";
}

} // namespace

control_outcome control_core::ask(control_question Question, std::chrono::milliseconds Limit) {
  auto Answer = std::make_shared<std::promise<control_outcome>>();
  std::future<control_outcome> Future = Answer->get_future();
  {
    const std::lock_guard Lock(RequestMutex);
    if (!Requests.push({std::move(Question), std::move(Answer)}))
      return request_refused{"overloaded", "too many calls are waiting"};
  }
  if (Future.wait_for(Limit) != std::future_status::ready)
    return outcome_unknown{};
  return Future.get();
}

std::shared_ptr<const declaration_record> control_core::declared() const {
  const std::lock_guard Lock(DeclaredMutex);
  return Published;
}

leader_lease control_core::lease() const {
  const std::lock_guard Lock(LeaseMutex);
  return Lease;
}

void control_core::receive(peer_message &&Message) {
  if (const auto *Hello = std::get_if<peer_hello>(&Message)) {
    bool News = learnAddresses(Hello->Member, Hello->Addresses, true);
    for (const known_peer &Other : Hello->Known)
      News = learnAddresses(Other.first, Other.second, false) || News;
    if (News)
      Desk.controlsChanged();
    return;
  }
  Replica.receive(std::move(std::get<consensus_message>(Message)), boot_clock::now());
}

bool control_core::learnAddresses(member_id Member, const peer_addresses &Told, bool FirstHand) {
  if (Member == self())
    return false;
  const auto Known = Addresses.find(Member);
  if (Known != Addresses.end() && (!FirstHand || Known->second == Told))
    return false;
  // A host that comes up under another id has lost its disk, and with it the member that it was.
  if (FirstHand)
    for (const auto &[Other, Kept] : Addresses)
      if (Other != Member && Other != self() && Kept.Peers == Told.Peers)
        Emptied.insert(Other);
  Addresses[Member] = Told;
  Replica.addPeer(Member);
  return true;
}

const peer_addresses *control_core::addressesOf(const member_key &Member) const {
  const auto Found = Addresses.find(Member.Member);
  return Found == Addresses.end() ? nullptr : &Found->second;
}

control_outcome control_core::elsewhere(const member_key &Leader) const {
  const peer_addresses *Known = addressesOf(Leader);
  const bool Told = Known != nullptr && !Known->Operators.empty();
  return leader_elsewhere{Told ? "http://" + Known->Operators : std::string()};
}

control_outcome control_core::refusalOf(const proposal_refusal &Refusal) const {
  if (Refusal.Reason == proposal_error::NotLeader)
    return elsewhere(Refusal.LeaderHint);
  return request_refused{codeOf(Refusal.Reason), "nothing was done"};
}

std::optional<proposal_refusal> control_core::propose(const control_command &Command,
                                                      answer_hook Answered) {
  const mono_time Time = boot_clock::now();
  const proposal_result Result = Replica.propose(encodeCommand(Command), Time);
  if (!succeeded(Result))
    return errorOf(Result);
  const proposal_position &Place = valueOf(Result);
  Proposals.insert_or_assign(
      Place.Index, waiting_proposal{Place.Term, std::move(Answered), Time + ProposalLimit});
  return std::nullopt;
}

void control_core::answer(control_request &&Request) {
  std::visit([&](const auto &Question) { answerQuestion(Question, Request); }, Request.Question);
}

void control_core::answerQuestion(const status_wanted & /*Question*/,
                                  const control_request &Request) {
  Request.Answer->set_value(statusText());
}

void control_core::answerQuestion(const dump_wanted & /*Question*/,
                                  const control_request &Request) {
  Request.Answer->set_value(dumpText());
}

void control_core::answerQuestion(const command_wanted &Question, const control_request &Request) {
  if (const auto *Offer = std::get_if<offer_declaration>(&Question.Command))
    return answerOffer(*Offer, Request);
  const auto Refused = propose(Question.Command, [Answer = Request.Answer](const auto &Known) {
    Answer->set_value(Known ? control_outcome(*Known) : control_outcome(outcome_unknown{}));
  });
  if (Refused)
    Request.Answer->set_value(refusalOf(*Refused));
}

void control_core::answerOffer(const offer_declaration &Offer, const control_request &Request) {
  const mono_time Time = boot_clock::now();
  const replica_status Status = Replica.status(Time);
  if (Status.Role != replica_role::Leader)
    return Request.Answer->set_value(elsewhere(Status.Leader));
  if (Offers.isNews(Offer.Revision, State.declared().Revision)) {
    const auto Refused = propose(Offer, [this](const auto &Known) {
      if (!Known)
        Offers.lost();
    });
    if (Refused)
      return Request.Answer->set_value(refusalOf(*Refused));
    Offers.proposed(Offer.Revision);
  }
  Offers.wait(
      Offer.Revision,
      [this, Answer = Request.Answer, Offered = Offer.Revision](bool Accepted) {
        const revision Current = State.declared().Revision;
        const control_answer Told = offer_answer{Current, Current == Offered};
        Answer->set_value(Accepted ? control_outcome(Told) : control_outcome(outcome_unknown{}));
      },
      Time + ProposalLimit);
}

void control_core::answerOffers() {
  Offers.answerDue(State.declared().Revision, Now,
                   [this](revision Offered) { return Desk.mayAcknowledge(Offered, Now); });
}

void control_core::answerQuestion(const read_wanted &Question, const control_request &Request) {
  LastRead = LastRead.next();
  Reads.emplace(LastRead, waiting_read{Question.Read, Request.Answer});
  Replica.readIndex(LastRead, boot_clock::now());
}

void control_core::answerQuestion(const admission_wanted &Question,
                                  const control_request &Request) {
  const mono_time Time = boot_clock::now();
  const auto Found = Applicants.find(Question.Member);
  const replica_status Status = Replica.status(Time);
  if (Status.Role != replica_role::Leader)
    return Request.Answer->set_value(elsewhere(Status.Leader));
  if (Found == Applicants.end())
    return Request.Answer->set_value(
        request_refused{"no_applicant", "no empty disk asks to be let in under this id"});
  answerMembership(Replica.admit(Found->second.first, Time), Request);
}

void control_core::answerQuestion(const expulsion_wanted &Question,
                                  const control_request &Request) {
  answerMembership(Replica.expel(Question.Member, boot_clock::now()), Request);
}

bool control_core::mayServe(const control_request &Request) {
  const mono_time Time = boot_clock::now();
  if (Desk.inOffice() && Replica.leaseValid(Time))
    return true;
  const replica_status Status = Replica.status(Time);
  Request.Answer->set_value(Status.Role == replica_role::Leader ? control_outcome(outcome_unknown{})
                                                                : elsewhere(Status.Leader));
  return false;
}

void control_core::answerQuestion(const announcement_wanted &Question,
                                  const control_request &Request) {
  if (!mayServe(Request))
    return;
  noteBackends(Directory.handleNotice(Question.Notice, boot_clock::now()), Question.Notice.Instance,
               Request.Answer);
}

void control_core::answerQuestion(const withdrawal_wanted &Question,
                                  const control_request &Request) {
  if (!mayServe(Request))
    return;
  noteBackends(Directory.withdraw(Question.Incarnation, boot_clock::now()),
               Question.Incarnation.Instance, Request.Answer);
}

/**
 * A leader that is elected after a loss of everything would list nobody until each server has
 * spoken again, up to a notice interval, and work would crowd on the few that have. So the log
 * keeps the list; who leaves is answered once the log has it, since the next leader must not give
 * it work.
 */
void control_core::noteBackends(const std::vector<backend_listing> &Changes,
                                const instance_name &Speaker,
                                const std::shared_ptr<std::promise<control_outcome>> &Asker) {
  Desk.backendsChanged(Changes);
  std::vector<backend_listing> ToKeep = Changes;
  if (ToKeep.empty() && leavesUnkept(Speaker))
    ToKeep.push_back(*Directory.find(Speaker)); // What was proposed before may not get there.
  const bool Leaves = std::any_of(ToKeep.begin(), ToKeep.end(), [](const backend_listing &Item) {
    return Item.State == listing_state::Leaving;
  });
  if (!Leaves)
    Asker->set_value(backend_noted{});
  if (!ToKeep.empty())
    keepBackends(std::move(ToKeep), Leaves ? Asker : nullptr);
}

bool control_core::leavesUnkept(const instance_name &Instance) const {
  const backend_listing *Listed = Directory.find(Instance);
  if (Listed == nullptr || Listed->State != listing_state::Leaving)
    return false;
  const backend_listing *Kept = State.backend(Instance);
  return Kept == nullptr || *Kept != *Listed;
}

/// @param Asker Told once the log has it; may be null.
void control_core::keepBackends(std::vector<backend_listing> Changes,
                                const std::shared_ptr<std::promise<control_outcome>> &Asker) {
  const auto Refused = propose(update_backends{std::move(Changes)}, [Asker](const auto &Known) {
    if (Asker)
      Asker->set_value(Known ? control_outcome(backend_noted{})
                             : control_outcome(outcome_unknown{}));
  });
  if (Refused && Asker)
    Asker->set_value(refusalOf(*Refused));
}

void control_core::answerMembership(const proposal_result &Result, const control_request &Request) {
  if (!succeeded(Result))
    return Request.Answer->set_value(refusalOf(errorOf(Result)));
  const proposal_position &Place = valueOf(Result);
  Memberships.insert_or_assign(Place.Index, waiting_membership{Place.Term, Request.Answer,
                                                               boot_clock::now() + ProposalLimit});
}

entry_desk_hooks control_core::deskHooks() {
  entry_desk_hooks Hooks;
  Hooks.Send = [this](hub_order Order) { Parts.Entries->send(std::move(Order)); };
  Hooks.MayServe = [this](mono_time Time) { return Replica.leaseValid(Time); };
  Hooks.LeaderAddress = [this] {
    const member_key Leader = Replica.status(boot_clock::now()).Leader;
    const peer_addresses *Known = Leader.Member == self() ? nullptr : addressesOf(Leader);
    return Known == nullptr ? std::string() : Known->Entries;
  };
  Hooks.State = [this]() -> const control_state & { return State; };
  Hooks.Backends = [this] { return Directory.all(); };
  Hooks.Controls = [this] {
    std::vector<std::string> Listening;
    for (const auto &[Member, Known] : Addresses)
      if (!Known.Entries.empty() && findMember(Members, Member) != nullptr)
        Listening.push_back(Known.Entries);
    return Listening;
  };
  Hooks.Propose = [this](const control_command &Command, answer_hook Answered) {
    // Refused: nothing was done and the entry's own time limit answers it.
    propose(Command, std::move(Answered));
  };
  return Hooks;
}

} // namespace pollenstall
