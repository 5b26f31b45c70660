/** @file control_core.cpp The decision thread's loop and the replica's actions. */
#include "control_core_base.h"

#include "control_codec_func.h"
#include "program/program.h"

#include <random>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t RequestCapacity = 1024;
/// Longest interval between two steps; heartbeats may require a shorter one.
constexpr milliseconds MaxTick{25};
constexpr int TicksPerHeartbeat = 4;
/// An applicant is removed if it has not repeated its request for this long.
constexpr std::chrono::seconds ApplicantLifetime{3};

/// Interval between two checks for lost members.
constexpr milliseconds RepairInterval{50};

directory_options directoryOptions(const control_settings &Settings) {
  directory_options Options;
  Options.NoticeInterval = Settings.NoticeInterval;
  return Options;
}

double linkBytesPerSecond(const control_settings &Settings) {
  constexpr double BytesPerMegabit = 1e6 / 8;
  return Settings.LinkMegabits * BytesPerMegabit;
}

std::uint64_t randomNumber() {
  std::random_device Source;
  constexpr unsigned HalfBits = 32;
  return (std::uint64_t{Source()} << HalfBits) | Source();
}

entry_server_options entryOptions(const control_settings &Settings) {
  entry_server_options Options = entryServerOptions(
      inForceOptions(Settings), linkBytesPerSecond(Settings), Settings.Heartbeat);
  Options.EvacuateWithin = evacuateWithin(Settings);
  return Options;
}

replica makeReplica(const control_settings &Settings, data_folder &Folder) {
  std::vector<member_id> Peers;
  for (const std::string &Text : Settings.Peers)
    Peers.push_back(peerFromText(Text)->first);
  replica_builder Builder(Folder.identity().Key);
  Builder.options(replicaOptions(Settings))
      .restored(std::move(Folder.restored()))
      .peers(std::move(Peers))
      .seed(randomNumber());
  if (isFounder(Settings))
    Builder.bootstrapCluster(cluster_id(randomNumber()));
  return Builder.build(boot_clock::now());
}

} // namespace

control_core::control_core(control_core_dependencies Dependencies)
    : Parts(std::move(Dependencies)), Replica(makeReplica(Parts.Settings, *Parts.Folder)),
      State(Limits), EntryServer(entryOptions(Parts.Settings), entryServerCallbacks()),
      Directory(directoryOptions(Parts.Settings)), Requests(RequestCapacity) {
  Addresses[self()] = Parts.Own;
  Replica.setDomain(self(), failure_domain_name(Parts.Settings.Domain));
  Requests.onWake([this] { Parts.Wake->notify(); });
  publishDeclared();
}

control_core::~control_core() {
  Stopping.store(true);
  Parts.Wake->notify();
  if (Thread.joinable())
    Thread.join();
}

void control_core::start() {
  Thread = std::thread([this] { run(); });
}

void control_core::run() {
  const auto Heartbeat = Parts.Settings.Heartbeat / TicksPerHeartbeat;
  const milliseconds Tick = std::clamp(Heartbeat, milliseconds(1), MaxTick);
  while (!Stopping.load() && !Failed.load()) {
    step();
    Parts.Wake->waitFor(Tick);
  }
}

void control_core::step() {
  Now = boot_clock::now();
  Replica.tick(Now);
  Parts.Peers->drain([this](peer_message &&Message) { receive(std::move(Message)); });
  Requests.drain([this](control_request &&Request) { answer(std::move(Request)); });
  Parts.Entries->drain(
      [this](entry_event &&Event) { EntryServer.handle(Event, boot_clock::now()); });
  perform();
  updatePeriodically();
}

void control_core::perform() {
  std::vector<persist_log> Batch;
  while (!Failed.load()) {
    const std::vector<consensus_action> Actions = Replica.takeActions(boot_clock::now());
    if (Actions.empty())
      return;
    for (const consensus_action &Action : Actions) {
      if (const auto *Persist = std::get_if<persist_log>(&Action)) {
        Batch.push_back(*Persist);
        continue;
      }
      // An action after a persist may report the entry to other hosts, so the persist must be
      // durable first.
      if (!flush(Batch))
        return;
      std::visit([this](const auto &Alternative) { performAction(Alternative); }, Action);
    }
    if (!flush(Batch))
      return;
  }
}

bool control_core::flush(std::vector<persist_log> &Batch) {
  if (Batch.empty())
    return true;
  const mono_time Begin = boot_clock::now();
  const auto Written = Parts.Folder->write(Batch);
  if (!succeeded(Written)) {
    DiskFailed.store(true);
    fail("disk_failed", toText(errorOf(Written)));
    return false;
  }
  const mono_time End = boot_clock::now();
  Parts.Metrics->Sync.Observe(std::chrono::duration<double>(End - Begin).count());
  Replica.persisted(Batch.back().Number, End);
  Batch.clear();
  return true;
}

void control_core::fail(std::string_view Event, const std::string &Why) {
  logEvent(log_level::Error, Event, {{"error", Why}});
  Failed.store(true);
}

// ---- Actions. ----

void control_core::performAction(const send_to_member &Action) {
  Parts.Peers->send(Action.Message);
}

void control_core::performAction(const persist_log & /*Action*/) {} // batched in perform()

void control_core::performAction(const apply_entry &Action) {
  Applied = Action.Entry.Index;
  if (Action.Entry.Kind == entry_kind::Command)
    execute(Action.Entry);
  if (Action.Entry.Kind == entry_kind::Membership) {
    Members = decodeMembers(Action.Entry.Payload).value_or(member_set{});
    std::erase_if(Applicants, [this](const auto &Applicant) {
      return findMember(Members, Applicant.second.first) != nullptr;
    });
  }
  const auto Membership = Memberships.find(Action.Entry.Index);
  if (Membership == Memberships.end())
    return;
  const bool Ours = Membership->second.Term == Action.Entry.Term;
  Membership->second.Answer->set_value(Ours ? control_outcome(membership_changed{})
                                            : control_outcome(outcome_unknown{}));
  Memberships.erase(Membership);
}

void control_core::execute(const log_entry &Entry) {
  const auto Command = decodeCommand(Entry.Payload);
  if (!succeeded(Command))
    return fail("log_entry_unreadable", "index " + std::to_string(Entry.Index.value()));
  const revision Before = State.declared().Revision;
  const std::uint64_t DrainsBefore = State.drainsVersion();
  const std::uint64_t SuspectsBefore = State.suspects().version();
  const std::uint64_t EvacuationsBefore = State.evacuations().version();
  const control_answer Answer = State.execute(valueOf(Command));
  Parts.Metrics->Applied.Increment();
  announceEffects(Before, DrainsBefore);
  if (State.suspects().version() != SuspectsBefore)
    announceSuspects();
  if (State.evacuations().version() != EvacuationsBefore)
    announceEvacuation(std::get<set_evacuation>(valueOf(Command)));
  completeProposal(Entry, Answer);
}

void control_core::announceEffects(revision Before, std::uint64_t DrainsBefore) {
  const mono_time Time = boot_clock::now();
  if (State.declared().Revision != Before) {
    publishDeclared();
    if (EntryServer.isLeading())
      recordAccepted(Time);
    EntryServer.declarationChanged(Time);
  }
  if (State.drainsVersion() != DrainsBefore)
    EntryServer.drainsChanged(Time);
}

void control_core::announceSuspects() {
  EntryServer.suspectsChanged(boot_clock::now());
  std::string Blocked;
  std::size_t Watched = 0;
  for (const published_suspect &Suspect : State.suspects().published(wallClock())) {
    if (Suspect.BlockedFor.count() == 0)
      ++Watched;
    else
      Blocked += (Blocked.empty() ? "" : ",") + toText(Suspect.Fingerprint);
  }
  logEvent(log_level::Warning, "suspects_changed",
           {{"blocked", Blocked}, {"watched", static_cast<std::int64_t>(Watched)}});
}

void control_core::recordAccepted(mono_time Time) {
  const declaration_record &Declared = State.declared();
  AwaitingInForce.emplace(Declared.Revision, Time);
  logEvent(log_level::Info, "declaration_accepted",
           {{"revision", static_cast<std::int64_t>(Declared.Revision.value())},
            {"bytes", static_cast<std::int64_t>(Declared.Text.size())}});
}

void control_core::completeProposal(const log_entry &Entry, const control_answer &Answer) {
  const auto Waiting = Proposals.find(Entry.Index);
  if (Waiting == Proposals.end())
    return;
  const bool Ours = Waiting->second.Term == Entry.Term;
  const answer_hook Answered = std::move(Waiting->second.Answered);
  Proposals.erase(Waiting);
  Answered(Ours ? std::optional(Answer) : std::nullopt);
}

void control_core::publishDeclared() {
  auto Copy = std::make_shared<const declaration_record>(State.declared());
  const std::lock_guard Lock(DeclaredMutex);
  Published = std::move(Copy);
}

void control_core::performAction(const install_snapshot &Action) {
  auto Restored = decodeState(Action.Snapshot->State, Limits);
  if (!succeeded(Restored))
    return fail("snapshot_unreadable", "index " + std::to_string(Action.Snapshot->Index.value()));
  State = valueOf(std::move(Restored));
  Applied = Action.Snapshot->Index;
  Members = Action.Snapshot->Members;
  publishDeclared();
}

void control_core::performAction(const became_leader &Action) {
  logEvent(log_level::Info, "became_leader",
           {{"term", static_cast<std::int64_t>(Action.Term.value())}});
  LastRead = LastRead.next();
  LeadershipRead = LastRead;
  Replica.readIndex(LastRead, boot_clock::now());
}

void control_core::performAction(const stepped_down &Action) {
  logEvent(log_level::Info, "stepped_down",
           {{"term", static_cast<std::int64_t>(Action.Term.value())}});
  LeadershipRead.reset();
  AwaitingInForce.clear();
  Applicants.clear();
  Tolerance.reset();
  Parts.Metrics->ToleranceMet.Set(0);
  Directory.clear();
  EntryServer.stopLeading();
  Offers.abandonAll();
  EvacuationWaiters.abandonAll();
  for (const auto &[Index, Waiting] : std::exchange(Proposals, {}))
    Waiting.Answered(std::nullopt);
  for (const auto &[Index, Waiting] : std::exchange(Memberships, {}))
    Waiting.Answer->set_value(outcome_unknown{});
}

void control_core::performAction(const read_ready &Action) {
  if (LeadershipRead == Action.Read) {
    LeadershipRead.reset();
    Directory.restore(State.backends(), boot_clock::now());
    EntryServer.startLeading(boot_clock::now());
    return;
  }
  const auto Found = Reads.find(Action.Read);
  if (Found == Reads.end())
    return;
  Found->second.Answer->set_value(Found->second.Read(State));
  Reads.erase(Found);
}

void control_core::performAction(const read_refused &Action) {
  const auto Found = Reads.find(Action.Read);
  if (Found == Reads.end())
    return;
  Found->second.Answer->set_value(notLeader(Action.LeaderHint));
  Reads.erase(Found);
}

void control_core::performAction(const take_snapshot &Action) {
  if (!Replica.snapshotTaken(Action.Index, encodeState(State), boot_clock::now()))
    logEvent(log_level::Warning, "snapshot_refused",
             {{"index", static_cast<std::int64_t>(Action.Index.value())}});
}

void control_core::performAction(const admission_requested &Action) {
  const bool New = Applicants.count(Action.Key.Member) == 0;
  Applicants[Action.Key.Member] = {Action.Key, boot_clock::now()};
  if (New)
    logEvent(log_level::Warning, "admission_requested", {{"member", toText(Action.Key)}});
  // Refused while another membership change is in progress; the applicant repeats its request.
  if (Parts.Settings.SelfManaged)
    Replica.admit(Action.Key, boot_clock::now());
}

void control_core::performAction(const members_changed &Action) {
  logEvent(log_level::Info, "members_changed", {{"members", toText(Action.Members)}});
}

// ---- Time. ----

void control_core::publishLease(const replica_status &Status) {
  leader_lease Newest;
  Newest.Term = leader_term(Status.Term.value());
  Newest.End = Replica.leaseEnd();
  Newest.Renewed = Newest.End - replicaOptions(Parts.Settings).MinElectionTimeout;
  Newest.Valid = EntryServer.isLeading() && Status.LeaseValid;
  const std::lock_guard Lock(LeaseMutex);
  Lease = Newest;
}

void control_core::updateLinkMetrics() {
  const peer_link_counters Peer = Parts.Peers->counters();
  const entry_listener_counters Entry = Parts.Entries->counters();
  control_metrics &Metrics = *Parts.Metrics;
  const auto RaiseTo = [](prometheus::Counter &Counter, std::uint64_t Value) {
    Counter.Increment(static_cast<double>(Value) - Counter.Value());
  };
  RaiseTo(Metrics.PeerUndecodable, Peer.Undecodable);
  RaiseTo(Metrics.PeerDropped, Peer.Dropped);
  RaiseTo(Metrics.EntryUndecodable, Entry.Undecodable);
  Metrics.Entries.Set(static_cast<double>(Entry.Connections));
}

void control_core::updatePeriodically() {
  Now = boot_clock::now();
  const replica_status Status = Replica.status(Now);
  Ready.store(
      Status.Leader.Member != member_id() &&
      (Status.Role != replica_role::Leader || (EntryServer.isLeading() && Status.LeaseValid)));
  Parts.Metrics->Leads.Set(EntryServer.isLeading() && Status.LeaseValid ? 1 : 0);
  Parts.Metrics->Term.Set(static_cast<double>(Status.Term.value()));
  Parts.Metrics->Commit.Set(static_cast<double>(Status.Commit.value()));
  Parts.Metrics->Revision.Set(static_cast<double>(State.declared().Revision.value()));
  Parts.Metrics->Evacuated.Set(static_cast<double>(State.evacuations().size()));
  publishLease(Status);
  updateLinkMetrics();
  expireWaiters();
  EntryServer.advance(Now);
  answerOffers();
  answerEvacuations();
  if (!EntryServer.isLeading())
    return;
  if (auto Expired = Directory.advance(Now); !Expired.empty()) {
    EntryServer.backendsChanged(Expired);
    recordBackends(std::move(Expired), nullptr);
  }
  replaceLostMembers(Status);
  expireClaims();
  reportInForce();
  std::erase_if(Applicants, [this](const auto &Applicant) {
    return Applicant.second.second + ApplicantLifetime < Now;
  });
}

void control_core::replaceLostMembers(const replica_status &Status) {
  if (Now < NextRepair)
    return;
  NextRepair = Now + RepairInterval;
  member_repair_options Options;
  Options.Tolerance = toleratedLosses(Parts.Settings);
  reportTolerance(Status, Options);
  const std::optional<member_change> Change = nextMemberRepair(Status, ReplacedMembers, Options);
  if (!Change)
    return;
  const auto *Expelled = std::get_if<expel_member>(&*Change);
  const bool Proposed =
      succeeded(Expelled ? Replica.expel(Expelled->Member, Now)
                         : Replica.promote(std::get<promote_member>(*Change).Member, Now));
  if (!Proposed)
    return;
  const member_id Member =
      Expelled ? Expelled->Member : std::get<promote_member>(*Change).Member.Member;
  logEvent(log_level::Warning, Expelled ? "member_expelled" : "member_promoted",
           {{"member", std::to_string(Member.value())}, {"members", toText(Status.Members)}});
}

void control_core::reportTolerance(const replica_status &Status,
                                   const member_repair_options &Options) {
  if (!Options.Tolerance)
    return;
  const survivable_losses Survived =
      survivedLosses(votersOf(Status, ReplacedMembers, Options), *Options.Tolerance);
  const bool Met =
      Survived == requiredLosses(*Options.Tolerance) && Options.Tolerance->Regions == 0;
  Parts.Metrics->ToleranceMet.Set(Met ? 1 : 0);
  const auto Reported = std::exchange(Tolerance, tolerance_state{Survived, Met});
  if (Reported && *Reported == *Tolerance)
    return;
  logEvent(Met ? log_level::Info : log_level::Warning, Met ? "tolerance_met" : "tolerance_not_met",
           {{"tolerated_hosts", static_cast<std::int64_t>(Options.Tolerance->Hosts)},
            {"tolerated_domains", static_cast<std::int64_t>(Options.Tolerance->Domains)},
            {"tolerated_regions", static_cast<std::int64_t>(Options.Tolerance->Regions)},
            {"survived_hosts", static_cast<std::int64_t>(Survived.Hosts)},
            {"survived_domains", static_cast<std::int64_t>(Survived.Domains)},
            {"members", toText(Status.Members)}});
}

void control_core::expireWaiters() {
  // Limits the number of waiters during an outage. Their outcome is unknown; a resend resolves it.
  std::vector<answer_hook> Late;
  std::erase_if(Proposals, [&](auto &Waiter) {
    if (Now < Waiter.second.Deadline)
      return false;
    Late.push_back(std::move(Waiter.second.Answered));
    return true;
  });
  for (const answer_hook &Answered : Late)
    Answered(std::nullopt);
  std::erase_if(Memberships, [&](auto &Waiter) {
    if (Now < Waiter.second.Deadline)
      return false;
    Waiter.second.Answer->set_value(outcome_unknown{});
    return true;
  });
}

void control_core::expireClaims() {
  constexpr std::chrono::seconds Interval{1};
  const auto Wall =
      std::chrono::duration_cast<unix_millis>(std::chrono::system_clock::now().time_since_epoch());
  const auto Expiry = State.claims().nextExpiry();
  if (Now < NextClaimExpiry || !Expiry || *Expiry > Wall)
    return;
  NextClaimExpiry = Now + Interval;
  propose(claim_expire{Wall}, [](const auto & /*Answer*/) {});
}

void control_core::reportInForce() {
  const std::optional<revision> InForce = EntryServer.inForce(Now);
  while (InForce && !AwaitingInForce.empty() && AwaitingInForce.begin()->first <= *InForce) {
    const mono_duration Took = Now - AwaitingInForce.begin()->second;
    Parts.Metrics->InForce.Observe(std::chrono::duration<double>(Took).count());
    logEvent(log_level::Info, "declaration_in_force",
             {{"revision", static_cast<std::int64_t>(AwaitingInForce.begin()->first.value())},
              {"took_ms", std::chrono::duration_cast<milliseconds>(Took).count()}});
    AwaitingInForce.erase(AwaitingInForce.begin());
  }
}

} // namespace pollenstall
