/** @file entry_desk.cpp Answers to entries. */
#include "entry_desk_base.h"

#include "control_link/control_link.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace pollenstall {

namespace {

constexpr int SilentLeases = 4; ///< A session without a renewal for so many leases is forgotten.
/// So long an entry waits here for a leader: this host may be the one that is cut off from it.
constexpr std::chrono::milliseconds LeaderWait{200};
constexpr std::size_t MaxHeldRequests = 64; ///< Of one entry that waits.
/// Between two lists of who there is: entries that connect at once are told of each other once.
constexpr std::chrono::milliseconds FleetInterval{200};
/// Of declarations' texts, the newest among them: two of the largest, or many of usual size. Where
/// the one before the newest is not kept, every change goes to every entry whole.
constexpr std::size_t MaxRecentBytes = 2 * MaxLinkReplyBytes;

std::uint32_t wholeMillis(mono_duration Span) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Span).count());
}

claim_status verdictOf(const std::optional<control_answer> &Answer) {
  const auto *Acquired = Answer ? std::get_if<claim_acquire_answer>(&*Answer) : nullptr;
  const bool Told = Acquired != nullptr && succeeded(*Acquired);
  return Told ? valueOf(*Acquired) : VerdictOnRefusal;
}

} // namespace

entry_desk::entry_desk(const entry_desk_options &Given, entry_desk_hooks Asked)
    : Options(Given), Hooks(std::move(Asked)), Tracker(Options.Leases),
      Pace(Options.MostBytesUnderWay) {}

void entry_desk::takeOffice(mono_time Now) {
  InOffice = true;
  keepText();
  Tracker.beginTerm(Hooks.State().declared().Revision, Now);
  for (const auto &[Connection, Entry] : std::exchange(Waiting, {}))
    for (const link_request &Request : Entry.Requests)
      handle({Connection, Request}, Now);
}

/**
 * An entry that was sent away while nobody led would come back after a pause only: after a loss of
 * everything entries heard of the leader 0.1 to 0.2 s after its election, and their requests
 * waited.
 */
void entry_desk::hold(connection_number From, const link_request &Request, mono_time Now) {
  waiting_entry &Entry = Waiting.try_emplace(From, waiting_entry{Now, {}}).first->second;
  if (!Hooks.LeaderAddress().empty() || Entry.Requests.size() >= MaxHeldRequests) {
    Waiting.erase(From);
    return sendAway(From);
  }
  Entry.Requests.push_back(Request);
}

void entry_desk::advance(mono_time Now) {
  if (!InOffice)
    return tellWaiting(Now);
  Pace.endOverdue(Now);
  sendTexts(Now);
  if (FleetChanged && Now >= NextFleet)
    sendFleet(Now);
}

void entry_desk::tellWaiting(mono_time Now) {
  if (Waiting.empty())
    return;
  const bool Known = !Hooks.LeaderAddress().empty();
  std::erase_if(Waiting, [&](const auto &Item) {
    const bool Goes = Known || Now - Item.second.Since >= LeaderWait;
    if (Goes)
      sendAway(Item.first);
    return Goes;
  });
}

void entry_desk::leaveOffice() {
  InOffice = false;
  for (const auto &[Connection, Session] : Sessions)
    sendAway(Connection);
  Sessions.clear();
  Pace.clear();
}

void entry_desk::handle(const hub_event &Event, mono_time Now) {
  if (std::holds_alternative<connection_closed>(Event.What)) {
    Waiting.erase(Event.Connection);
    Pace.ended(Event.Connection);
    FleetChanged = Sessions.erase(Event.Connection) > 0 || FleetChanged;
    return;
  }
  if (!InOffice)
    return hold(Event.Connection, std::get<link_request>(Event.What), Now);
  // In office without a lease: perhaps only a slow heartbeat. The entry asks again, and is sent
  // away once this host has left office.
  if (!Hooks.MayServe(Now))
    return;
  std::visit([&](const auto &Request) { handleRequest(Event.Connection, Request, Now); },
             std::get<link_request>(Event.What));
}

void entry_desk::handleRequest(connection_number From, const link_subscribe &Request,
                               mono_time Now) {
  // An entry that connects again before its old connection was found dead has one session only.
  std::erase_if(Sessions, [&](const auto &Item) {
    const bool Same = Item.second.Who.Process.Host == Request.Process.Host;
    if (Same)
      Pace.ended(Item.first);
    return Same;
  });
  Sessions[From] = {Request, std::nullopt, std::nullopt, Request.Holds, Now};
  introduce(From, Sessions[From]);
  FleetChanged = true;
  sendTexts(Now);
}

void entry_desk::introduce(connection_number To, session &Session) {
  Session.Introduced = true;
  if (Hooks.Backends)
    Hooks.Send({To, link_backends{true, Hooks.Backends()}});
  Hooks.Send({To, link_declared{Hooks.State().declared().Revision}});
  sendSuspects(To, Session, suspects());
}

link_suspects entry_desk::suspects() const {
  return {Hooks.State().suspects().published(wallClock())};
}

void entry_desk::sendSuspects(connection_number To, session &Session, const link_suspects &All) {
  Session.SuspectsTold = Hooks.State().suspects().version();
  Hooks.Send({To, All});
}

void entry_desk::suspectsChanged(mono_time Now) {
  if (!InOffice || !Hooks.MayServe(Now))
    return;
  const link_suspects All = suspects();
  for (auto &[Connection, Session] : Sessions)
    sendSuspects(Connection, Session, All);
}

void entry_desk::handleRequest(connection_number /*From*/, const link_crash &Request,
                               mono_time /*Now*/) {
  Hooks.Propose(record_crash{Request.Marks, Request.Incarnation, wallClock()},
                [](const auto & /*Known*/) {});
}

void entry_desk::handleRequest(connection_number /*From*/, const link_clear_suspect &Request,
                               mono_time /*Now*/) {
  Hooks.Propose(clear_suspect{Request.Mark.High}, [](const auto & /*Known*/) {});
}

link_fleet entry_desk::fleet() const {
  link_fleet Fleet;
  if (Hooks.Controls)
    Fleet.Controls = Hooks.Controls();
  for (const auto &[Connection, Session] : Sessions)
    if (!Session.Who.WorkAddress.empty())
      Fleet.Entries.push_back({Session.Who.WorkAddress, Session.Who.Domain});
  return Fleet;
}

/**
 * The list grows with the entries and goes to all of them. Sent for each one that connects, it
 * fills the link when all connect anew, as they do when leaders change.
 */
void entry_desk::sendFleet(mono_time Now) {
  FleetChanged = false;
  NextFleet = Now + FleetInterval;
  const link_fleet Fleet = fleet();
  for (const auto &[Connection, Session] : Sessions)
    Hooks.Send({Connection, Fleet});
}

void entry_desk::backendsChanged(const std::vector<backend_listing> &Changes) {
  if (!InOffice || Changes.empty())
    return;
  for (const auto &[Connection, Session] : Sessions)
    Hooks.Send({Connection, link_backends{false, Changes}});
}

void entry_desk::controlsChanged() { FleetChanged = true; }

void entry_desk::handleRequest(connection_number From, const link_renew &Request, mono_time Now) {
  const auto Found = Sessions.find(From);
  if (Found == Sessions.end() || Found->second.Who.Process != Request.Process)
    return sendAway(From); // its subscription came while this host held no lease
  session &Session = Found->second;
  if (!Session.Introduced)
    introduce(From, Session);
  Session.Confirmed = Request.Confirmed;
  Session.Holds = Request.Holds;
  Session.LastSeen = Now;
  noteArrival(From, Session);
  const auto Lease = Tracker.renew(Request.Process, Session.Who.Domain, Request.Confirmed, Now);
  const revision Confirmed = Request.Confirmed.value_or(revision());
  Hooks.Send({From, link_lease{Request.Ask, Confirmed, Lease ? wholeMillis(*Lease) : 0}});
  sendTexts(Now);
  if (Request.DrainsSeen != Hooks.State().drainsVersion())
    sendDrains(From);
  // They may have changed while this host held no lease.
  if (Session.SuspectsTold != Hooks.State().suspects().version())
    sendSuspects(From, Session, suspects());
  forgetSilentSessions(Now);
}

void entry_desk::handleRequest(connection_number From, const link_claim_acquire &Request,
                               mono_time /*Now*/) {
  Hooks.Propose(Request.Claim, [this, From, Call = Request.Call](const auto &Answer) {
    // Nothing known: the entry asks the next leader, which answers the same send the same way.
    if (Answer)
      Hooks.Send({From, link_claim_answer{Call, verdictOf(Answer)}});
  });
}

void entry_desk::handleRequest(connection_number From, const link_claim_settle &Request,
                               mono_time /*Now*/) {
  Hooks.Propose(Request.Claim, [this, From, Call = Request.Call](const auto &Answer) {
    if (Answer)
      Hooks.Send({From, link_settle_answer{Call}});
  });
}

void entry_desk::sendAway(connection_number To) {
  Hooks.Send({To, link_not_leader{Hooks.LeaderAddress()}});
}

void entry_desk::noteArrival(connection_number From, const session &Session) {
  const revision Known =
      std::max(Session.Holds.value_or(revision()), Session.Confirmed.value_or(revision()));
  if (Session.Sent && Known >= *Session.Sent)
    Pace.ended(From);
}

bool entry_desk::needsText(const session &Session) const {
  const revision Declared = Hooks.State().declared().Revision;
  const bool Current =
      Session.Confirmed == Declared || Session.Sent == Declared || Session.Holds == Declared;
  // One at a time: a burst of changes would otherwise queue every declaration between.
  const bool UnderWay = Session.Sent && (!Session.Confirmed || *Session.Confirmed < *Session.Sent);
  return Session.Introduced && !Current && !UnderWay;
}

void entry_desk::sendTexts(mono_time Now) {
  if (!Hooks.MayServe(Now))
    return;
  std::vector<std::pair<mono_time, connection_number>> Due;
  for (const auto &[Connection, Session] : Sessions)
    if (needsText(Session))
      Due.emplace_back(Session.LastSeen, Connection);
  // Who has just spoken is there to take it; one that is cut off comes last.
  std::sort(Due.begin(), Due.end(), std::greater<>());
  for (const auto &[LastSeen, Connection] : Due) {
    if (!Pace.hasRoom())
      return;
    sendText(Connection, Sessions.at(Connection), Now);
  }
}

void entry_desk::sendText(connection_number To, session &Session, mono_time Now) {
  link_reply Message = messageFor(Session.Holds);
  const auto *Change = std::get_if<link_declaration_change>(&Message);
  const packed_text &Text = Change ? Change->Change : std::get<link_declaration>(Message).Text;
  Pace.began(To, Text.Compressed.size(), Now);
  Session.Sent = Hooks.State().declared().Revision;
  Hooks.Send({To, std::move(Message)});
}

link_reply entry_desk::messageFor(std::optional<revision> Holds) {
  const declaration_record &Declared = Hooks.State().declared();
  const auto Base = Holds ? Recent.find(*Holds) : Recent.end();
  if (Base == Recent.end())
    return link_declaration{Declared.Revision, packedText()};
  const packed_text &Change = packedDifference(Base->first, Base->second);
  // A difference as long as the text it makes saves nothing.
  if (Change.UncompressedSize >= Declared.Text.size())
    return link_declaration{Declared.Revision, packedText()};
  return link_declaration_change{Base->first, Declared.Revision, Change};
}

const packed_text &entry_desk::packedText() {
  if (!Whole)
    Whole = pack(Hooks.State().declared().Text);
  return *Whole;
}

const packed_text &entry_desk::packedDifference(revision Base, const std::string &Old) {
  const auto Made = Differences.find(Base);
  if (Made != Differences.end())
    return Made->second;
  const text_difference Change = computeDifference(Old, Hooks.State().declared().Text);
  return Differences.emplace(Base, packDifference(Change)).first->second;
}

void entry_desk::keepText() {
  const declaration_record &Declared = Hooks.State().declared();
  if (!Recent.insert_or_assign(Declared.Revision, Declared.Text).second)
    return;
  Whole.reset();
  Differences.clear();
  std::size_t Bytes = 0;
  for (const auto &[Revision, Text] : Recent)
    Bytes += Text.size();
  while (Recent.size() > 1 && Bytes > MaxRecentBytes) {
    Bytes -= Recent.begin()->second.size();
    Recent.erase(Recent.begin());
  }
}

void entry_desk::sendDrains(connection_number To) {
  const control_state &State = Hooks.State();
  Hooks.Send(
      {To, link_drains{State.drainsVersion(), {State.drains().begin(), State.drains().end()}}});
}

void entry_desk::declarationChanged(mono_time Now) {
  // Kept while another host leads, too: entries come to the next leader with the texts of the last
  // one, and all at once.
  keepText();
  if (!InOffice)
    return;
  Tracker.recordChange(Hooks.State().declared().Revision, Now);
  if (!Hooks.MayServe(Now))
    return;
  announceDeclaration();
  sendTexts(Now);
}

/// Texts take turns. An entry that waits for its own must not say meanwhile that there is no such
/// route: it may be one that was just added.
void entry_desk::announceDeclaration() {
  for (const auto &[Connection, Session] : Sessions)
    Hooks.Send({Connection, link_declared{Hooks.State().declared().Revision}});
}

void entry_desk::drainsChanged(mono_time Now) {
  if (!InOffice || !Hooks.MayServe(Now))
    return;
  for (const auto &[Connection, Session] : Sessions)
    sendDrains(Connection);
}

std::optional<revision> entry_desk::inForce(mono_time Now) {
  return InOffice ? Tracker.inForce(Now) : std::nullopt;
}

bool entry_desk::mayAcknowledge(revision Accepted, mono_time Now) const {
  return InOffice && Tracker.mayAcknowledge(Accepted, Now);
}

void entry_desk::forgetSilentSessions(mono_time Now) {
  std::erase_if(Sessions, [&](const auto &Item) {
    return Item.second.LastSeen + SilentLeases * Options.Leases.Lease < Now;
  });
}

} // namespace pollenstall
