/** @file modelled_fleet.cpp Entries, followers and what passes between them and a leader. */
#include "modelled_fleet.h"

#include "control_codec_func.h"
#include "control_link/control_link_codec_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds LookEvery{10};
constexpr std::size_t HeartbeatBytes = 200;
/// Streams of followers stand before those of entries, whose numbers rise from 1.
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

entry_desk_options deskOptions(const fleet_plan &Plan) {
  const std::chrono::duration<double> Heartbeat = Plan.Heartbeat;
  return {Plan.Leases, static_cast<std::size_t>(Plan.ToEntries.Sender * Heartbeat.count())};
}

} // namespace

modelled_fleet::modelled_fleet(const fleet_plan &Wanted)
    : Plan(Wanted), Link(Agenda, Plan.ToEntries), Desk(deskOptions(Plan), hooks()),
      Entries(Plan.Entries), Beats(Plan.Followers, Agenda.now()) {
  Desk.takeOffice(Agenda.now());
  for (std::size_t Number = 0; Number < Entries.size(); ++Number) {
    Entries[Number].Process = {host_name("entry-" + std::to_string(Number)), incarnation(1)};
    Entries[Number].Silence.begin(Agenda.now());
    Agenda.after(milliseconds(Number), [this, Number] { connect(Number); });
  }
  // Control hosts are alike.
  for (std::size_t Number = 0; Number < Plan.Followers; ++Number)
    Link.setReceiver(followerStream(Number), Plan.ToEntries.Sender);
  look();
  beat();
}

entry_desk_hooks modelled_fleet::hooks() {
  entry_desk_hooks Hooks;
  Hooks.Send = [this](const hub_order &Order) { reply(Order); };
  Hooks.MayServe = [](mono_time) { return true; };
  Hooks.LeaderAddress = [] { return std::string(); };
  Hooks.State = [this]() -> const control_state & { return State; };
  Hooks.Propose = [](const control_command &, const auto &) {};
  return Hooks;
}

void modelled_fleet::runFor(mono_duration Span) { Agenda.runUntil(Agenda.now() + Span); }

// ---- The leader and its followers. ----

std::uint64_t modelled_fleet::followerStream(std::size_t Number) const {
  return FirstFollower + Number;
}

revision modelled_fleet::change(const std::string &Text) {
  LastChange = LastChange.next();
  const revision Change = LastChange;
  Courses[Change];
  const std::size_t Bytes = encodeCommand(offer_declaration{Change, Text, unix_millis(0)}).size();
  const auto Copies = std::make_shared<std::size_t>(0);
  for (std::size_t Number = 0; Number < Plan.Followers; ++Number)
    Link.send(followerStream(Number), Bytes, {}, [this, Copies, Change, Text] {
      if (++*Copies == Plan.Followers / 2)
        committed(Change, Text);
    });
  return Change;
}

void modelled_fleet::committed(revision Change, const std::string &Text) {
  State.execute(offer_declaration{Change, Text, unix_millis(0)});
  Courses[Change].Accepted = Agenda.now();
  Desk.declarationChanged(Agenda.now());
}

void modelled_fleet::beat() {
  for (std::size_t Number = 0; Number < Plan.Followers; ++Number)
    Link.send(followerStream(Number), HeartbeatBytes, {}, [this, Number] {
      LongestGap = std::max(LongestGap, Agenda.now() - Beats[Number]);
      Beats[Number] = Agenda.now();
    });
  Agenda.after(Plan.Heartbeat, [this] { beat(); });
}

void modelled_fleet::look() {
  const mono_time Now = Agenda.now();
  Desk.advance(Now);
  for (auto &[Change, Course] : Courses)
    if (Course.Accepted && !Course.Acknowledged && Desk.mayAcknowledge(Change, Now))
      Course.Acknowledged = Now;
  for (std::size_t Number = 0; Number < Entries.size(); ++Number) {
    entry &One = Entries[Number];
    const bool Ready = One.Freshness.ready(Now);
    UnreadyLooks += Ready ? 0 : 1;
    for (const auto &[Change, Course] : Courses)
      if (Ready && *One.Freshness.current() < Change && Course.Acknowledged &&
          Now > *Course.Acknowledged + Plan.Leases.ApplyWithin)
        ++BrokenPromises;
    if (One.Silence.isOver(Now, Plan.AnswerWithin)) {
      ++Lost;
      Link.close(One.Connection.value());
      Owners.erase(One.Connection);
      if (!One.CutOff)
        Desk.handle({One.Connection, connection_closed{}}, Now);
      One.Silence.begin(Now + Plan.Reconnect);
      Agenda.after(Plan.Reconnect, [this, Number] { connect(Number); });
    } else if (Now >= One.NextRenew) {
      renew(Number);
    }
  }
  Agenda.after(LookEvery, [this] { look(); });
}

void modelled_fleet::reply(const hub_order &Order) {
  const std::size_t Bytes = linkFrame(Fleet, Order.Reply).size();
  Link.send(
      Order.Connection.value(), Bytes,
      [this, From = Order.Connection](std::size_t Count) {
        const auto Owner = Owners.find(From);
        if (Owner != Owners.end() && !Entries[Owner->second].CutOff)
          Entries[Owner->second].Silence.arrived(Count, Agenda.now());
      },
      [this, Order] {
        const auto Owner = Owners.find(Order.Connection);
        if (Owner != Owners.end() && !Entries[Owner->second].CutOff)
          take(Owner->second, Order.Reply);
      });
}

// ---- Entries. ----

void modelled_fleet::connect(std::size_t Number) {
  entry &One = Entries[Number];
  LastConnection = LastConnection.next();
  One.Connection = LastConnection;
  One.Asks.clear();
  Owners[One.Connection] = Number;
  One.Silence.begin(Agenda.now());
  ask(Number, link_subscribe{One.Process, failure_domain_name("a"), {}, One.Holds});
  renew(Number);
}

void modelled_fleet::ask(std::size_t Number, link_request Request) {
  if (Entries[Number].CutOff)
    return;
  Agenda.after(Plan.ToEntries.Delay,
               [this, From = Entries[Number].Connection, Asked = std::move(Request)] {
                 if (Owners.count(From) != 0)
                   Desk.handle({From, Asked}, Agenda.now());
               });
}

void modelled_fleet::renew(std::size_t Number) {
  entry &One = Entries[Number];
  One.NextRenew = Agenda.now() + Plan.RenewEvery;
  One.Asks.emplace(++One.LastAsk, Agenda.now());
  ask(Number, link_renew{One.LastAsk, One.Process, One.Freshness.current(), State.drainsVersion(),
                         One.Holds});
}

void modelled_fleet::take(std::size_t Number, const link_reply &Reply) {
  entry &One = Entries[Number];
  One.Silence.message(Agenda.now());
  if (const auto *Lease = std::get_if<link_lease>(&Reply)) {
    const auto Ask = One.Asks.find(Lease->Ask);
    if (Ask != One.Asks.end() && Lease->LeaseMillis > 0)
      One.Freshness.extend(Lease->Revision, Ask->second + milliseconds(Lease->LeaseMillis));
  }
  if (const auto *Whole = std::get_if<link_declaration>(&Reply))
    takeText(Number, Whole->Revision);
  if (const auto *Change = std::get_if<link_declaration_change>(&Reply))
    takeText(Number, Change->Revision);
}

void modelled_fleet::takeText(std::size_t Number, revision Revision) {
  entry &One = Entries[Number];
  One.Holds = Revision;
  renew(Number);
  const auto Reading = std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(
      static_cast<double>(State.declared().Text.size()) / Plan.ReadBytesPerSecond));
  One.ReadingUntil = std::max(Agenda.now(), One.ReadingUntil) + Reading;
  Agenda.at(One.ReadingUntil, [this, Number, Revision] {
    entry &Reader = Entries[Number];
    if (Reader.Freshness.offer(Revision) != offer_verdict::Take)
      return;
    Reader.Freshness.inUse(Revision);
    for (auto &[Change, Course] : Courses)
      if (Change <= Revision)
        Course.InUse.try_emplace(Number, Agenda.now());
    renew(Number);
  });
}

std::optional<mono_duration> modelled_fleet::tookEverywhere(revision Change) const {
  const change_course &Course = Courses.at(Change);
  if (!Course.Accepted || Course.InUse.size() < Entries.size())
    return std::nullopt;
  mono_time Last{};
  for (const auto &[Number, When] : Course.InUse)
    Last = std::max(Last, When);
  return Last - *Course.Accepted;
}

} // namespace pollenstall
