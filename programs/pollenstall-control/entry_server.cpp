/** @file entry_server.cpp Sessions of entries: leases, declarations and claims. */
#include "entry_server_base.h"

#include "control_link/control_link.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace pollenstall {

namespace {

constexpr int IdleSessionLeases = 4; ///< A session expires after this many leases without renewal.
/// How long an entry waits for a leader at this host, which may be partitioned from the leader.
constexpr std::chrono::milliseconds LeaderWaitTimeout{200};
constexpr std::size_t MaxPendingRequests = 64; ///< Per waiting entry.
/// Interval between two fleet lists, so that entries that connect together cause one list only.
constexpr std::chrono::milliseconds FleetInterval{200};
/// Limit on the retained texts, including the newest: two of the largest size, or many of usual
/// size. If the previous text is not retained, each change is sent to every entry as a complete
/// text.
constexpr std::size_t MaxRecentBytes = 2 * MaxLinkReplyBytes;

std::uint32_t wholeMillis(mono_duration Span) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Span).count());
}

claim_status verdictOf(const std::optional<control_answer> &Answer) {
  const auto *Acquired = Answer ? std::get_if<claim_acquire_answer>(&*Answer) : nullptr;
  const bool HasVerdict = Acquired != nullptr && succeeded(*Acquired);
  return HasVerdict ? valueOf(*Acquired) : StatusOnRefusal;
}

/// Part of the link's rate for lists of backend servers.
constexpr double ListShare = 0.7;

in_force_options evacuationLeases(const entry_server_options &Options) {
  in_force_options Leases = Options.Leases;
  Leases.ApplyWithin = Options.EvacuateWithin.value_or(Leases.ApplyWithin);
  return Leases;
}

} // namespace

entry_server_options entryServerOptions(const in_force_options &Leases, double LinkBytesPerSecond,
                                        mono_duration Heartbeat) {
  const double Seconds = std::chrono::duration<double>(Heartbeat).count();
  return {Leases, static_cast<std::size_t>(LinkBytesPerSecond * Seconds),
          LinkBytesPerSecond * ListShare};
}

entry_server::entry_server(const entry_server_options &Settings, entry_server_callbacks Host)
    : Options(Settings), Callbacks(std::move(Host)), Tracker(Options.Leases),
      EvacuationTracker(evacuationLeases(Options)), Limiter(Options.MaxBytesInFlight),
      Lists(Options.ListBytesPerSecond,
            {Callbacks.BackendsAfter, [this](connection_number To, link_backends Part) {
               Callbacks.Send({To, std::move(Part)});
             }}) {}

void entry_server::startLeading(mono_time Now) {
  Leading = true;
  retainText();
  Tracker.beginTerm(Callbacks.State().declared().Revision, Now);
  EvacuationTracker.beginTerm(revision(Callbacks.State().evacuations().version()), Now);
  for (const auto &[Connection, Entry] : std::exchange(Waiting, {}))
    for (const link_request &Request : Entry.Requests)
      handle({Connection, Request}, Now);
}

/**
 * Keeps the requests of an entry until a leader is known. If the entry were redirected without a
 * leader's address, it would return only after its backoff: after all processes were lost, entries
 * found the leader 0.1 to 0.2 s after its election, and their requests waited.
 */
void entry_server::holdRequest(connection_number From, const link_request &Request, mono_time Now) {
  waiting_entry &Entry = Waiting.try_emplace(From, waiting_entry{Now, {}}).first->second;
  if (!Callbacks.LeaderAddress().empty() || Entry.Requests.size() >= MaxPendingRequests) {
    Waiting.erase(From);
    return redirect(From);
  }
  Entry.Requests.push_back(Request);
}

void entry_server::advance(mono_time Now) {
  if (!Leading)
    return redirectWaiting(Now);
  Limiter.expireOverdue(Now);
  Lists.advance(Now);
  sendTexts(Now);
  if (FleetChanged && Now >= NextFleet)
    sendFleet(Now);
}

void entry_server::redirectWaiting(mono_time Now) {
  if (Waiting.empty())
    return;
  const bool LeaderKnown = !Callbacks.LeaderAddress().empty();
  std::erase_if(Waiting, [&](const auto &Waiter) {
    const bool Expired = LeaderKnown || Now - Waiter.second.Since >= LeaderWaitTimeout;
    if (Expired)
      redirect(Waiter.first);
    return Expired;
  });
}

void entry_server::stopLeading() {
  Leading = false;
  for (const auto &[Connection, Session] : Sessions)
    redirect(Connection);
  Sessions.clear();
  Lists.clear();
  Limiter.clear();
}

void entry_server::handle(const entry_event &Event, mono_time Now) {
  if (std::holds_alternative<connection_closed>(Event.Message)) {
    Waiting.erase(Event.Connection);
    Lists.stop(Event.Connection);
    Limiter.sendFinished(Event.Connection);
    FleetChanged = Sessions.erase(Event.Connection) > 0 || FleetChanged;
    return;
  }
  if (!Leading)
    return holdRequest(Event.Connection, std::get<link_request>(Event.Message), Now);
  // This host leads without a lease, perhaps due to a slow heartbeat. The entry repeats renewals
  // and unanswered claim calls, and is redirected once this host no longer leads.
  if (!Callbacks.MayServe(Now))
    return;
  std::visit([&](const auto &Request) { handleRequest(Event.Connection, Request, Now); },
             std::get<link_request>(Event.Message));
}

void entry_server::handleRequest(connection_number From, const link_subscribe &Request,
                                 mono_time Now) {
  // An entry may reconnect before its old connection is found dead; it keeps one session only.
  std::erase_if(Sessions, [&](const auto &Existing) {
    const bool Same = Existing.second.Subscription.Process.Host == Request.Process.Host;
    if (Same) {
      Lists.stop(Existing.first);
      Limiter.sendFinished(Existing.first);
    }
    return Same;
  });
  Sessions[From] = {Request, std::nullopt, std::nullopt, Request.HeldRevision, Now};
  sendInitialState(From, Sessions[From], Now);
  FleetChanged = true;
  sendTexts(Now);
}

void entry_server::sendInitialState(connection_number To, session &Session, mono_time Now) {
  Session.InitialStateSent = true;
  if (Callbacks.BackendsAfter)
    Lists.start(To, Now);
  Callbacks.Send({To, link_declaration_announced{Callbacks.State().declared().Revision}});
  sendSuspects(To, Session, suspects());
}

link_suspects entry_server::suspects() const {
  return {Callbacks.State().suspects().published(wallClock())};
}

void entry_server::sendSuspects(connection_number To, session &Session, const link_suspects &All) {
  Session.SuspectsVersionSent = Callbacks.State().suspects().version();
  Callbacks.Send({To, All});
}

void entry_server::suspectsChanged(mono_time Now) {
  if (!Leading || !Callbacks.MayServe(Now))
    return;
  const link_suspects All = suspects();
  for (auto &[Connection, Session] : Sessions)
    sendSuspects(Connection, Session, All);
}

void entry_server::handleRequest(connection_number /*From*/, const link_crash &Request,
                                 mono_time /*Now*/) {
  Callbacks.Propose(record_crash{Request.Fingerprints, Request.Incarnation, wallClock()},
                    [](const auto & /*Answer*/) {});
}

void entry_server::handleRequest(connection_number /*From*/, const link_clear_suspect &Request,
                                 mono_time /*Now*/) {
  Callbacks.Propose(clear_suspect{Request.Fingerprint.High}, [](const auto & /*Answer*/) {});
}

void entry_server::handleRequest(connection_number /*From*/, const link_suspect_run &Request,
                                 mono_time /*Now*/) {
  // Many entries report at once; the log takes only what may still change the table.
  if (Callbacks.State().suspects().contains(Request.Fingerprint))
    Callbacks.Propose(record_suspect_run{Request.Fingerprint.High, wallClock()},
                      [](const auto & /*Answer*/) {});
}

link_fleet entry_server::fleet() const {
  link_fleet Fleet;
  if (Callbacks.Controls)
    Fleet.Controls = Callbacks.Controls();
  for (const auto &[Connection, Session] : Sessions)
    if (!Session.Subscription.WorkAddress.empty())
      Fleet.Entries.push_back({Session.Subscription.WorkAddress, Session.Subscription.Domain});
  return Fleet;
}

/**
 * The list grows with the number of entries and is sent to all of them. If it were sent for each
 * new connection, it would fill the link when all entries reconnect after a change of leader.
 */
void entry_server::sendFleet(mono_time Now) {
  FleetChanged = false;
  NextFleet = Now + FleetInterval;
  const link_fleet Fleet = fleet();
  for (const auto &[Connection, Session] : Sessions)
    Callbacks.Send({Connection, Fleet});
}

void entry_server::backendsChanged(const std::vector<backend_listing> &Changes) {
  if (!Leading || Changes.empty())
    return;
  for (const auto &[Connection, Session] : Sessions)
    Callbacks.Send({Connection, link_backends{false, Changes}});
}

void entry_server::controlsChanged() { FleetChanged = true; }

entry_server::session *entry_server::findSession(connection_number From,
                                                 const process_key &Process) {
  const auto Found = Sessions.find(From);
  if (Found != Sessions.end() && Found->second.Subscription.Process == Process)
    return &Found->second;
  redirect(From); // its subscription arrived while this host held no lease
  return nullptr;
}

void entry_server::handleRequest(connection_number From, const link_renew &Request, mono_time Now) {
  session *Session = findSession(From, Request.Process);
  if (Session == nullptr)
    return;
  // An entry that has received no list acts on the empty one. If a list was sent, the renewal may
  // have been sent before it arrived.
  const evacuation_table &Evacuations = Callbacks.State().evacuations();
  if (!Session->EvacuationsSent && Evacuations.empty())
    Session->EvacuationsConfirmed = revision(Evacuations.version());
  renew(From, *Session, Request, Now);
}

void entry_server::renew(connection_number From, session &Session, const link_renew &Request,
                         mono_time Now) {
  if (!Session.InitialStateSent)
    sendInitialState(From, Session, Now);
  Session.Confirmed = Request.Confirmed;
  Session.HeldRevision = Request.HeldRevision;
  Session.LastSeen = Now;
  recordArrival(From, Session);
  const std::optional<mono_duration> Lease = grantLease(Session, Now);
  const revision Confirmed = Request.Confirmed.value_or(revision());
  Callbacks.Send({From, link_lease{Request.RenewId, Confirmed, Lease ? wholeMillis(*Lease) : 0}});
  sendTexts(Now);
  if (Request.DrainsSeen != Callbacks.State().drainsVersion())
    sendDrains(From);
  // The suspects and the evacuated domains may have changed while this host held no lease.
  if (Session.SuspectsVersionSent != Callbacks.State().suspects().version())
    sendSuspects(From, Session, suspects());
  sendEvacuations(From, Session);
  expireIdleSessions(Now);
}

void entry_server::handleRequest(connection_number From, const link_claim_acquire &Request,
                                 mono_time /*Now*/) {
  Callbacks.Propose(Request.Claim, [this, From, Call = Request.Call](const auto &Answer) {
    // If the outcome is unknown, the entry resends the claim to the next leader, which gives the
    // same answer to the same request.
    if (Answer)
      Callbacks.Send({From, link_claim_answer{Call, verdictOf(Answer)}});
  });
}

void entry_server::handleRequest(connection_number From, const link_claim_settle &Request,
                                 mono_time /*Now*/) {
  Callbacks.Propose(Request.Claim, [this, From, Call = Request.Call](const auto &Answer) {
    if (Answer)
      Callbacks.Send({From, link_settle_answer{Call}});
  });
}

void entry_server::redirect(connection_number To) {
  Callbacks.Send({To, link_not_leader{Callbacks.LeaderAddress()}});
}

void entry_server::recordArrival(connection_number From, const session &Session) {
  const revision Newest =
      std::max(Session.HeldRevision.value_or(revision()), Session.Confirmed.value_or(revision()));
  if (Session.Sent && Newest >= *Session.Sent)
    Limiter.sendFinished(From);
}

bool entry_server::needsText(const session &Session) const {
  const revision Declared = Callbacks.State().declared().Revision;
  const bool Current =
      Session.Confirmed == Declared || Session.Sent == Declared || Session.HeldRevision == Declared;
  // One text at a time: otherwise, a burst of changes would queue every intermediate declaration.
  const bool InFlight = Session.Sent && (!Session.Confirmed || *Session.Confirmed < *Session.Sent);
  return Session.InitialStateSent && !Current && !InFlight;
}

void entry_server::sendTexts(mono_time Now) {
  if (!Callbacks.MayServe(Now))
    return;
  std::vector<std::pair<mono_time, connection_number>> Due;
  for (const auto &[Connection, Session] : Sessions)
    if (needsText(Session))
      Due.emplace_back(Session.LastSeen, Connection);
  // An entry that was seen recently can receive the text; a partitioned one comes last.
  std::sort(Due.begin(), Due.end(), std::greater<>());
  for (const auto &[LastSeen, Connection] : Due) {
    if (!Limiter.hasRoom())
      return;
    sendText(Connection, Sessions.at(Connection), Now);
  }
}

void entry_server::sendText(connection_number To, session &Session, mono_time Now) {
  link_reply Message = messageFor(Session.HeldRevision);
  const auto *Change = std::get_if<link_declaration_change>(&Message);
  const packed_text &Text = Change ? Change->Change : std::get<link_declaration>(Message).Text;
  Limiter.sendStarted(To, Text.Compressed.size(), Now);
  Session.Sent = Callbacks.State().declared().Revision;
  Callbacks.Send({To, std::move(Message)});
}

link_reply entry_server::messageFor(std::optional<revision> HeldRevision) {
  const declaration_record &Declared = Callbacks.State().declared();
  const auto Base = HeldRevision ? Recent.find(*HeldRevision) : Recent.end();
  if (Base == Recent.end())
    return link_declaration{Declared.Revision, packedText()};
  const packed_text &Change = packedDifference(Base->first, Base->second);
  // A difference as long as the new text saves nothing.
  if (Change.UncompressedSize >= Declared.Text.size())
    return link_declaration{Declared.Revision, packedText()};
  return link_declaration_change{Base->first, Declared.Revision, Change};
}

const packed_text &entry_server::packedText() {
  if (!PackedText)
    PackedText = pack(Callbacks.State().declared().Text);
  return *PackedText;
}

const packed_text &entry_server::packedDifference(revision Base, const std::string &Old) {
  const auto Found = Differences.find(Base);
  if (Found != Differences.end())
    return Found->second;
  const text_difference Change = computeDifference(Old, Callbacks.State().declared().Text);
  return Differences.emplace(Base, packDifference(Change)).first->second;
}

void entry_server::retainText() {
  const declaration_record &Declared = Callbacks.State().declared();
  if (!Recent.insert_or_assign(Declared.Revision, Declared.Text).second)
    return;
  PackedText.reset();
  Differences.clear();
  std::size_t Bytes = 0;
  for (const auto &[Revision, Text] : Recent)
    Bytes += Text.size();
  while (Recent.size() > 1 && Bytes > MaxRecentBytes) {
    Bytes -= Recent.begin()->second.size();
    Recent.erase(Recent.begin());
  }
}

void entry_server::sendDrains(connection_number To) {
  const control_state &State = Callbacks.State();
  Callbacks.Send(
      {To, link_drains{State.drainsVersion(), {State.drains().begin(), State.drains().end()}}});
}

void entry_server::declarationChanged(mono_time Now) {
  // Texts are retained while another host leads, too: all entries connect to a new leader together,
  // with texts from the previous one.
  retainText();
  if (!Leading)
    return;
  Tracker.recordChange(Callbacks.State().declared().Revision, Now);
  if (!Callbacks.MayServe(Now))
    return;
  announceDeclaration();
  sendTexts(Now);
}

/// Texts are sent one after another. An entry that still waits for its text must not report that a
/// route does not exist, since the route may have just been added.
void entry_server::announceDeclaration() {
  for (const auto &[Connection, Session] : Sessions)
    Callbacks.Send({Connection, link_declaration_announced{Callbacks.State().declared().Revision}});
}

void entry_server::drainsChanged(mono_time Now) {
  if (!Leading || !Callbacks.MayServe(Now))
    return;
  for (const auto &[Connection, Session] : Sessions)
    sendDrains(Connection);
}

std::optional<revision> entry_server::inForce(mono_time Now) {
  return Leading ? Tracker.inForce(Now) : std::nullopt;
}

bool entry_server::mayAcknowledge(revision Accepted, mono_time Now) const {
  return Leading && Tracker.mayAcknowledge(Accepted, Now);
}

void entry_server::expireIdleSessions(mono_time Now) {
  std::erase_if(Sessions, [&](const auto &Existing) {
    return Existing.second.LastSeen + IdleSessionLeases * Options.Leases.Lease < Now;
  });
}

} // namespace pollenstall
