/** @file control_core_request.cpp Operators' requests and proposals on the decision thread. */
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

control_outcome control_core::ask(control_operation Operation, std::chrono::milliseconds Limit) {
  auto Answer = std::make_shared<std::promise<control_outcome>>();
  std::future<control_outcome> Future = Answer->get_future();
  {
    const std::lock_guard Lock(RequestMutex);
    if (!Requests.push({std::move(Operation), std::move(Answer)}))
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
    bool Changed = learnAddresses(Hello->Member, Hello->Addresses, true);
    for (const known_peer &Other : Hello->KnownPeers)
      Changed = learnAddresses(Other.first, Other.second, false) || Changed;
    if (!Hello->Domain.empty())
      Replica.setDomain(Hello->Member, Hello->Domain);
    if (Changed)
      EntryServer.controlsChanged();
    return;
  }
  Replica.receive(std::move(std::get<consensus_message>(Message)), boot_clock::now());
}

bool control_core::learnAddresses(member_id Member, const peer_addresses &Reported,
                                  bool FromItself) {
  if (Member == self())
    return false;
  const auto Previous = Addresses.find(Member);
  if (Previous != Addresses.end() && (!FromItself || Previous->second == Reported))
    return false;
  // A host that comes up under a new member id has lost its disk, and with it its previous member.
  if (FromItself)
    for (const auto &[Other, OtherAddresses] : Addresses)
      if (Other != Member && Other != self() && OtherAddresses.Peers == Reported.Peers)
        ReplacedMembers.insert(Other);
  Addresses[Member] = Reported;
  Replica.addPeer(Member);
  return true;
}

const peer_addresses *control_core::addressesOf(const member_key &Member) const {
  const auto Found = Addresses.find(Member.Member);
  return Found == Addresses.end() ? nullptr : &Found->second;
}

control_outcome control_core::notLeader(const member_key &Leader) const {
  const peer_addresses *LeaderAddresses = addressesOf(Leader);
  const bool HasUrl = LeaderAddresses != nullptr && !LeaderAddresses->Operators.empty();
  return not_leader{HasUrl ? "http://" + LeaderAddresses->Operators : std::string()};
}

control_outcome control_core::refusalOf(const proposal_refusal &Refusal) const {
  if (Refusal.Reason == proposal_error::NotLeader)
    return notLeader(Refusal.LeaderHint);
  return request_refused{codeOf(Refusal.Reason), "nothing was done"};
}

std::optional<proposal_refusal> control_core::propose(const control_command &Command,
                                                      answer_hook Answered) {
  const mono_time Time = boot_clock::now();
  const proposal_result Result = Replica.propose(encodeCommand(Command), Time);
  if (!succeeded(Result))
    return errorOf(Result);
  const proposal_position &Position = valueOf(Result);
  Proposals.insert_or_assign(
      Position.Index, waiting_proposal{Position.Term, std::move(Answered), Time + ProposalLimit});
  return std::nullopt;
}

void control_core::answer(control_request &&Request) {
  std::visit([&](const auto &Operation) { handleOperation(Operation, Request); },
             Request.Operation);
}

void control_core::handleOperation(const get_status & /*Operation*/,
                                   const control_request &Request) {
  Request.Answer->set_value(statusText());
}

void control_core::handleOperation(const get_dump & /*Operation*/, const control_request &Request) {
  Request.Answer->set_value(dumpText());
}

void control_core::handleOperation(const submit_command &Operation,
                                   const control_request &Request) {
  if (const auto *Offer = std::get_if<offer_declaration>(&Operation.Command))
    return answerOffer(*Offer, Request);
  if (const auto *Evacuation = std::get_if<set_evacuation>(&Operation.Command))
    return answerEvacuation(*Evacuation, Request);
  const auto Refused = propose(Operation.Command, [Answer = Request.Answer](const auto &Answered) {
    Answer->set_value(Answered ? control_outcome(*Answered) : control_outcome(outcome_unknown{}));
  });
  if (Refused)
    Request.Answer->set_value(refusalOf(*Refused));
}

void control_core::answerOffer(const offer_declaration &Offer, const control_request &Request) {
  const mono_time Time = boot_clock::now();
  const replica_status Status = Replica.status(Time);
  if (Status.Role != replica_role::Leader)
    return Request.Answer->set_value(notLeader(Status.Leader));
  if (Offers.mustPropose(Offer.Revision, State.declared().Revision)) {
    const auto Refused = propose(Offer, [this](const auto &Answered) {
      if (!Answered)
        Offers.proposalLost();
    });
    if (Refused)
      return Request.Answer->set_value(refusalOf(*Refused));
    Offers.proposed(Offer.Revision);
  }
  Offers.wait(
      Offer.Revision,
      [this, Answer = Request.Answer, Offered = Offer.Revision](bool Accepted) {
        const revision Current = State.declared().Revision;
        const control_answer OfferAnswer = offer_answer{Current, Current == Offered};
        Answer->set_value(Accepted ? control_outcome(OfferAnswer)
                                   : control_outcome(outcome_unknown{}));
      },
      Time + ProposalLimit);
}

void control_core::answerOffers() {
  Offers.answerReady(State.declared().Revision, Now,
                     [this](revision Offered) { return EntryServer.mayAcknowledge(Offered, Now); });
}

void control_core::handleOperation(const read_state &Operation, const control_request &Request) {
  LastRead = LastRead.next();
  Reads.emplace(LastRead, waiting_read{Operation.Read, Request.Answer});
  Replica.readIndex(LastRead, boot_clock::now());
}

void control_core::handleOperation(const admit_member &Operation, const control_request &Request) {
  const mono_time Time = boot_clock::now();
  const auto Found = Applicants.find(Operation.Member);
  const replica_status Status = Replica.status(Time);
  if (Status.Role != replica_role::Leader)
    return Request.Answer->set_value(notLeader(Status.Leader));
  if (Found == Applicants.end())
    return Request.Answer->set_value(
        request_refused{"no_applicant", "no empty disk asks to be let in under this id"});
  answerMembership(Replica.admit(Found->second.first, Time), Request);
}

void control_core::handleOperation(const remove_member &Operation, const control_request &Request) {
  answerMembership(Replica.expel(Operation.Member, boot_clock::now()), Request);
}

bool control_core::requireLeadership(const control_request &Request) {
  const mono_time Time = boot_clock::now();
  if (EntryServer.isLeading() && Replica.leaseValid(Time))
    return true;
  const replica_status Status = Replica.status(Time);
  Request.Answer->set_value(Status.Role == replica_role::Leader ? control_outcome(outcome_unknown{})
                                                                : notLeader(Status.Leader));
  return false;
}

void control_core::handleOperation(const announce_backend &Operation,
                                   const control_request &Request) {
  if (!requireLeadership(Request))
    return;
  publishBackends(Directory.handleNotice(Operation.Notice, boot_clock::now()),
                  Operation.Notice.Instance, Request.Answer);
}

void control_core::handleOperation(const withdraw_backend &Operation,
                                   const control_request &Request) {
  if (!requireLeadership(Request))
    return;
  publishBackends(Directory.withdraw(Operation.Incarnation, boot_clock::now()),
                  Operation.Incarnation.Instance, Request.Answer);
}

/**
 * The log stores the list of backend servers. Otherwise, a leader elected after all hosts were lost
 * would list no server until it announces itself again, up to one notice interval later, and work
 * would concentrate on the few that have. A server that leaves is answered once the log contains
 * that, since the next leader must not send it work.
 */
void control_core::publishBackends(const std::vector<backend_listing> &Changes,
                                   const instance_name &Announcer,
                                   const std::shared_ptr<std::promise<control_outcome>> &Reply) {
  EntryServer.backendsChanged(Changes);
  std::vector<backend_listing> ToRecord = Changes;
  if (ToRecord.empty() && hasUnrecordedLeave(Announcer))
    ToRecord.push_back(*Directory.find(Announcer)); // An earlier proposal may be lost.
  const bool IsLeaving =
      std::any_of(ToRecord.begin(), ToRecord.end(), [](const backend_listing &Listing) {
        return Listing.State == listing_state::Leaving;
      });
  if (!IsLeaving)
    Reply->set_value(backend_recorded{});
  if (!ToRecord.empty())
    recordBackends(std::move(ToRecord), IsLeaving ? Reply : nullptr);
}

bool control_core::hasUnrecordedLeave(const instance_name &Instance) const {
  const backend_listing *Listed = Directory.find(Instance);
  if (Listed == nullptr || Listed->State != listing_state::Leaving)
    return false;
  const backend_listing *Recorded = State.backend(Instance);
  return Recorded == nullptr || *Recorded != *Listed;
}

/// @param Reply Set once the log contains the changes; may be null.
void control_core::recordBackends(std::vector<backend_listing> Changes,
                                  const std::shared_ptr<std::promise<control_outcome>> &Reply) {
  // The log does not say when a change is read from it, and the time that a server stays cold
  // passes. A new leader learns it from the server's notices.
  for (backend_listing &Change : Changes)
    Change.ColdFor.reset();
  const auto Refused = propose(update_backends{std::move(Changes)}, [Reply](const auto &Answered) {
    if (Reply)
      Reply->set_value(Answered ? control_outcome(backend_recorded{})
                                : control_outcome(outcome_unknown{}));
  });
  if (Refused && Reply)
    Reply->set_value(refusalOf(*Refused));
}

void control_core::answerMembership(const proposal_result &Result, const control_request &Request) {
  if (!succeeded(Result))
    return Request.Answer->set_value(refusalOf(errorOf(Result)));
  const proposal_position &Position = valueOf(Result);
  Memberships.insert_or_assign(
      Position.Index,
      waiting_membership{Position.Term, Request.Answer, boot_clock::now() + ProposalLimit});
}

entry_server_callbacks control_core::entryServerCallbacks() {
  entry_server_callbacks Callbacks;
  Callbacks.Send = [this](outgoing_reply Reply) { Parts.Entries->send(std::move(Reply)); };
  Callbacks.MayServe = [this](mono_time Time) { return Replica.leaseValid(Time); };
  Callbacks.LeaderAddress = [this] {
    const member_key Leader = Replica.status(boot_clock::now()).Leader;
    const peer_addresses *LeaderAddresses = Leader.Member == self() ? nullptr : addressesOf(Leader);
    return LeaderAddresses == nullptr ? std::string() : LeaderAddresses->Entries;
  };
  Callbacks.State = [this]() -> const control_state & { return State; };
  Callbacks.BackendsAfter = [this](const instance_name &After, std::size_t MaxCount) {
    return Directory.listingsAfter(After, MaxCount, boot_clock::now());
  };
  Callbacks.Controls = [this] {
    std::vector<std::string> Listening;
    for (const auto &[Member, Listed] : Addresses)
      if (!Listed.Entries.empty() && findMember(Members, Member) != nullptr)
        Listening.push_back(Listed.Entries);
    return Listening;
  };
  Callbacks.Propose = [this](const control_command &Command, answer_hook Answered) {
    // If the proposal is refused, nothing was done and the entry's own timeout applies.
    propose(Command, std::move(Answered));
  };
  return Callbacks;
}

} // namespace pollenstall
