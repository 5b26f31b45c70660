/** @file simulated_fleet.cpp Entries, followers and their messages with a leader. */
#include "simulated_fleet.h"

#include "control_codec_func.h"
#include "control_link/control_link_codec_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds SampleInterval{10};
constexpr std::size_t HeartbeatBytes = 200;
/// Connection numbers of followers start here; those of entries start at 1.
constexpr std::uint64_t FirstFollower = 1'000'000;
const std::string Fleet = "fleet";

std::string drawnName(random_source &Random, std::size_t Length) {
  std::string Name;
  for (std::size_t Count = 0; Count < Length; ++Count)
    Name += static_cast<char>('a' + Random.below('z' - 'a' + 1));
  return Name;
}

} // namespace

std::string declarationOfRoutes(std::size_t Routes) {
  constexpr std::uint64_t Seed = 20;
  constexpr std::size_t NameLength = 7;
  random_source Random(Seed);
  std::string Text = R"({"version":1,"services":[{"name":"app"}],"routes":[)";
  for (std::size_t Count = 0; Count < Routes; ++Count)
    Text += R"({"name":"r-)" + drawnName(Random, NameLength) + R"(","host":")" +
            drawnName(Random, NameLength) + R"(.example","path_prefix":"/)" +
            drawnName(Random, NameLength) + "/" + drawnName(Random, NameLength) +
            R"(/","kind":"streaming","timeout_ms":10000,"target_latency_ms":1500,"priority":1,)"
            R"("service":"app","max_attempts":2,"anonymous":false,"sticky_sessions":true,)"
            R"("stream_resumption":true,"gap_aim_ms":600},)";
  Text.back() = ']';
  return Text + "}";
}

namespace {

/// @return A notice of a backend server with a name and address of usual length.
backend_notice noticeOf(std::size_t Index) {
  constexpr std::size_t PerNetwork = 200;
  constexpr std::size_t NameLength = 10;
  random_source Random(Index + 1);
  backend_notice Notice;
  Notice.Instance = instance_name("i-" + drawnName(Random, NameLength));
  Notice.Address = backend_address("10." + std::to_string(1 + Index / PerNetwork) + ".64." +
                                   std::to_string(Index % PerNetwork) + ":8388");
  Notice.Service = service_name("app");
  Notice.Domain = failure_domain_name("zone-a");
  Notice.Slots = 12;
  Notice.Sequence = 1;
  Notice.Started = incarnation_start(1'700'000'000'000 + Index);
  return Notice;
}

entry_server_options serverOptions(const simulated_fleet_options &Options) {
  entry_server_options Server =
      entryServerOptions(Options.Leases, Options.ToEntries.Sender, Options.Heartbeat);
  Server.EvacuateWithin = Options.EvacuateWithin;
  return Server;
}

} // namespace

simulated_fleet::simulated_fleet(const simulated_fleet_options &Settings)
    : Options(Settings), Link(Clock, Options.ToEntries),
      EntryServer(serverOptions(Options), hooks()), Entries(Options.Entries),
      LastHeartbeats(Options.Followers, Clock.now()) {
  Start = Clock.now();
  for (std::size_t Index = 0; Index < Options.Backends; ++Index)
    Directory.handleNotice(noticeOf(Index), Start);
  EntryServer.startLeading(Start);
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    Entries[Index].Process = {host_name("entry-" + std::to_string(Index)), incarnation(1)};
    Entries[Index].IdleMonitor.reset(Clock.now());
    Clock.after(milliseconds(Index), [this, Index] { connect(Index); });
  }
  // All control hosts have the same link rate.
  for (std::size_t Index = 0; Index < Options.Followers; ++Index)
    Link.setReceiver(followerStream(Index), Options.ToEntries.Sender);
  sample();
  sendHeartbeats();
}

entry_server_callbacks simulated_fleet::hooks() {
  entry_server_callbacks Callbacks;
  Callbacks.Send = [this](const outgoing_reply &Outgoing) { deliverReply(Outgoing); };
  Callbacks.MayServe = [](mono_time) { return true; };
  Callbacks.LeaderAddress = [] { return std::string(); };
  Callbacks.State = [this]() -> const control_state & { return State; };
  Callbacks.Propose = [](const control_command &, const auto &) {};
  if (Options.Backends > 0)
    Callbacks.BackendsAfter = [this](const instance_name &After, std::size_t MaxCount) {
      return Directory.listingsAfter(After, MaxCount, mono_time());
    };
  return Callbacks;
}

void simulated_fleet::runFor(mono_duration Span) { Clock.runUntil(Clock.now() + Span); }

// ---- The leader and its followers. ----

std::uint64_t simulated_fleet::followerStream(std::size_t Index) const {
  return FirstFollower + Index;
}

revision simulated_fleet::change(const std::string &Text) {
  LastChange = LastChange.next();
  const revision Change = LastChange;
  Progresses[Change];
  const std::size_t Bytes = encodeCommand(offer_declaration{Change, Text, unix_millis(0)}).size();
  const auto Copies = std::make_shared<std::size_t>(0);
  for (std::size_t Index = 0; Index < Options.Followers; ++Index)
    Link.send(followerStream(Index), Bytes, {}, [this, Copies, Change, Text] {
      if (++*Copies == Options.Followers / 2)
        committed(Change, Text);
    });
  return Change;
}

void simulated_fleet::committed(revision Change, const std::string &Text) {
  State.execute(offer_declaration{Change, Text, unix_millis(0)});
  Progresses[Change].Accepted = Clock.now();
  EntryServer.declarationChanged(Clock.now());
}

std::uint64_t simulated_fleet::setEvacuation(const std::string &Domain, bool Undo) {
  const std::uint64_t Version = ++LastEvacuation;
  EvacuationTimes[Version].Sent = Clock.now();
  const set_evacuation Command{failure_domain_name(Domain), Undo, unix_millis(0)};
  const auto Copies = std::make_shared<std::size_t>(0);
  for (std::size_t Index = 0; Index < Options.Followers; ++Index)
    Link.send(followerStream(Index), encodeCommand(Command).size(), {},
              [this, Copies, Version, Command] {
                if (++*Copies != Options.Followers / 2)
                  return;
                State.execute(Command);
                EvacuationTimes[Version].Accepted = Clock.now();
                EntryServer.evacuationsChanged(Command, Clock.now());
              });
  return Version;
}

std::size_t simulated_fleet::entriesBehind(std::uint64_t Version) const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const entry &Entry) {
        return Entry.Lease.ready(Clock.now()) && Entry.Evacuations.value_or(0) < Version;
      }));
}

void simulated_fleet::sampleEvacuations(mono_time Now) {
  for (auto &[Version, Times] : EvacuationTimes) {
    if (Times.Accepted && !Times.Acknowledged && EntryServer.mayAcknowledgeEvacuation(Version, Now))
      Times.Acknowledged = Now;
    if (Times.Acknowledged && Now > *Times.Acknowledged + Options.EvacuateWithin)
      StaleEvacuationSamples += entriesBehind(Version);
  }
}

void simulated_fleet::sendHeartbeats() {
  for (std::size_t Index = 0; Index < Options.Followers; ++Index)
    Link.send(followerStream(Index), HeartbeatBytes, {}, [this, Index] {
      LongestGap = std::max(LongestGap, Clock.now() - LastHeartbeats[Index]);
      LastHeartbeats[Index] = Clock.now();
    });
  Clock.after(Options.Heartbeat, [this] { sendHeartbeats(); });
}

void simulated_fleet::sample() {
  const mono_time Now = Clock.now();
  EntryServer.advance(Now);
  sampleEvacuations(Now);
  for (auto &[Change, Progress] : Progresses)
    if (Progress.Accepted && !Progress.Acknowledged && EntryServer.mayAcknowledge(Change, Now))
      Progress.Acknowledged = Now;
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    entry &Entry = Entries[Index];
    const bool Ready = Entry.Lease.ready(Now);
    SamplesWithoutLease += Ready ? 0 : 1;
    for (const auto &[Change, Progress] : Progresses)
      if (Ready && *Entry.Lease.current() < Change && Progress.Acknowledged &&
          Now > *Progress.Acknowledged + Options.Leases.ApplyWithin)
        ++StaleSamples;
    if (Entry.IdleMonitor.isIdleLongerThan(Now, Options.AnswerTimeout)) {
      ++Lost;
      Link.close(Entry.Connection.value());
      Owners.erase(Entry.Connection);
      if (!Entry.Partitioned)
        EntryServer.handle({Entry.Connection, connection_closed{}}, Now);
      Entry.IdleMonitor.reset(Now + Options.Reconnect);
      Clock.after(Options.Reconnect, [this, Index] { connect(Index); });
    } else if (Now >= Entry.NextRenew) {
      renew(Index);
    }
  }
  Clock.after(SampleInterval, [this] { sample(); });
}

void simulated_fleet::deliverReply(const outgoing_reply &Outgoing) {
  const std::size_t Bytes = linkFrame(Fleet, Outgoing.Reply).size();
  Link.send(
      Outgoing.Connection.value(), Bytes,
      [this, From = Outgoing.Connection](std::size_t Count) {
        const auto Owner = Owners.find(From);
        if (Owner != Owners.end() && !Entries[Owner->second].Partitioned)
          Entries[Owner->second].IdleMonitor.recordBytes(Count, Clock.now());
      },
      [this, Outgoing] {
        const auto Owner = Owners.find(Outgoing.Connection);
        if (Owner != Owners.end() && !Entries[Owner->second].Partitioned)
          handleReply(Owner->second, Outgoing.Reply);
      });
}

// ---- Entries. ----

void simulated_fleet::connect(std::size_t Index) {
  entry &Entry = Entries[Index];
  LastConnection = LastConnection.next();
  Entry.Connection = LastConnection;
  Entry.UnansweredRenewals.clear();
  Owners[Entry.Connection] = Index;
  Entry.IdleMonitor.reset(Clock.now());
  sendRequest(Index,
              link_subscribe{Entry.Process, failure_domain_name("a"), {}, Entry.HeldRevision});
  renew(Index);
}

void simulated_fleet::sendRequest(std::size_t Index, link_request Request) {
  if (Entries[Index].Partitioned)
    return;
  Clock.after(Options.ToEntries.Delay,
              [this, From = Entries[Index].Connection, Message = std::move(Request)] {
                if (Owners.count(From) != 0)
                  EntryServer.handle({From, Message}, Clock.now());
              });
}

void simulated_fleet::renew(std::size_t Index) {
  entry &Entry = Entries[Index];
  Entry.NextRenew = Clock.now() + Options.LeaseRenewInterval;
  Entry.UnansweredRenewals.emplace(++Entry.LastRenewId, Clock.now());
  const link_renew Renewal{Entry.LastRenewId, Entry.Process, Entry.Lease.current(),
                           State.drainsVersion(), Entry.HeldRevision};
  if (Entry.Evacuations)
    sendRequest(Index, link_renew_evacuations{Renewal, *Entry.Evacuations, Entry.Evacuations, 0});
  else
    sendRequest(Index, Renewal);
}

void simulated_fleet::handleBackends(entry &Entry, const link_backends &List) {
  for (const backend_listing &Listing : List.Listings)
    Entry.Backends.insert(Listing.Key.Incarnation);
  if (!Entry.FirstBackendAt && !Entry.Backends.empty())
    Entry.FirstBackendAt = Clock.now();
  if (!Entry.AllBackendsAt && Entry.Backends.size() == Options.Backends)
    Entry.AllBackendsAt = Clock.now();
}

std::optional<mono_duration>
simulated_fleet::longestTime(std::optional<mono_time> entry::*Moment) const {
  mono_duration Longest{0};
  for (const entry &Entry : Entries) {
    if (!(Entry.*Moment))
      return std::nullopt;
    Longest = std::max(Longest, *(Entry.*Moment) - Start);
  }
  return Longest;
}

void simulated_fleet::handleReply(std::size_t Index, const link_reply &Reply) {
  entry &Entry = Entries[Index];
  Entry.IdleMonitor.recordMessage(Clock.now());
  if (const auto *List = std::get_if<link_backends>(&Reply))
    return handleBackends(Entry, *List);
  if (const auto *Lease = std::get_if<link_lease>(&Reply)) {
    const auto Renewal = Entry.UnansweredRenewals.find(Lease->RenewId);
    if (Renewal != Entry.UnansweredRenewals.end() && Lease->LeaseMillis > 0)
      Entry.Lease.extend(Lease->Revision, Renewal->second + milliseconds(Lease->LeaseMillis));
  }
  if (const auto *List = std::get_if<link_evacuations>(&Reply)) {
    Entry.Evacuations = List->Version;
    renew(Index);
  }
  if (const auto *Change = std::get_if<link_evacuation_change>(&Reply)) {
    Entry.Evacuations = Change->Version;
    renew(Index);
  }
  if (const auto *Declaration = std::get_if<link_declaration>(&Reply))
    handleText(Index, Declaration->Revision);
  if (const auto *Change = std::get_if<link_declaration_change>(&Reply))
    handleText(Index, Change->Revision);
}

void simulated_fleet::handleText(std::size_t Index, revision Revision) {
  entry &Entry = Entries[Index];
  Entry.HeldRevision = Revision;
  renew(Index);
  const auto Reading = std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(
      static_cast<double>(State.declared().Text.size()) / Options.ReadBytesPerSecond));
  Entry.ReadingUntil = std::max(Clock.now(), Entry.ReadingUntil) + Reading;
  Clock.at(Entry.ReadingUntil, [this, Index, Revision] {
    entry &Reader = Entries[Index];
    if (Reader.Lease.actionFor(Revision) != declaration_action::Take)
      return;
    Reader.Lease.markInUse(Revision);
    for (auto &[Change, Progress] : Progresses)
      if (Change <= Revision)
        Progress.InUse.try_emplace(Index, Clock.now());
    renew(Index);
  });
}

std::optional<mono_duration> simulated_fleet::timeToAllEntries(revision Change) const {
  const change_progress &Progress = Progresses.at(Change);
  if (!Progress.Accepted || Progress.InUse.size() < Entries.size())
    return std::nullopt;
  mono_time Last{};
  for (const auto &[Index, When] : Progress.InUse)
    Last = std::max(Last, When);
  return Last - *Progress.Accepted;
}

} // namespace pollenstall
