/** @file control_settings.cpp The table of a control host's settings. */
#include "control_settings_type.h"

#include "address/address.h"
#include "core/core.h"
#include "program/program.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr const char *PeerForm = "ID=IP:port, with an id of 1 or more";
/// A snapshot is sent in one frame and must leave room for the frame's other fields.
constexpr std::size_t MaxSnapshotState = 24U << 20U;
/// Size of the largest declaration with the other fields of its change.
constexpr std::size_t MaxEntryPayload = 4U << 20U;

std::optional<std::string> checkPeer(const std::string &Text) {
  return peerFromText(Text) ? std::nullopt : std::optional<std::string>(PeerForm);
}

std::optional<std::string> checkLevel(const std::string &Text) {
  return logLevelFromText(Text) ? std::nullopt
                                : std::optional<std::string>("debug, info, warning or error");
}

void addIdentity(settings_table<control_settings> &Table) {
  constexpr const char *Name = "a name of letters, digits, '.', '_' and '-'";
  Table
      .text("host.name", &control_settings::Host, presence::Required, Name, checkName,
            "Name of this host.")
      .text("host.failure_domain", &control_settings::Domain, presence::Required, Name, checkName,
            "Failure domain of this host.")
      .text("fleet", &control_settings::Fleet, presence::Required, Name, checkName,
            "Name of the fleet; other fleets' messages are dropped.")
      .number("member_id", &control_settings::MemberId, {1U, 0U, 1'000'000U},
              "Id of this host in the replicated log; unique among the control hosts. 0 draws one "
              "with the disk, so that an emptied disk comes back as another member.")
      .text("data.folder", &control_settings::DataFolder, presence::Required, "a path",
            checkNotEmpty, "Folder for the log, snapshots and votes.");
}

void addAddresses(settings_table<control_settings> &Table) {
  constexpr const char *Address = "IP:port, where port 0 lets the kernel choose";
  Table
      .text("listen.peers", &control_settings::ListenPeers, presence::Required, Address,
            checkAddress, "Address for connections from other control hosts.")
      .text("listen.entries", &control_settings::ListenEntries, presence::Required, Address,
            checkAddress, "Address for connections from entries.")
      .text("listen.operators", &control_settings::ListenOperators, presence::Required, Address,
            checkAddress, "Address for HTTP calls from operators and the platform.")
      .text("listen.address_file", &control_settings::AddressFile, presence::Optional, "a path", {},
            "File to which the addresses in use are written as JSON.")
      .texts("peers", &control_settings::Peers, presence::Optional, PeerForm, checkPeer,
             "The control hosts of the first start; this host may be among them.")
      .texts("seeds", &control_settings::Seeds, presence::Optional, Address, checkAddress,
             "Addresses of hosts used to discover the other control hosts.")
      .number("seeds_port", &control_settings::SeedPort, {0U, 0U, 65'535U},
              "Port for peers on the seeds' hosts; 0 uses the seeds unchanged.")
      .flag("self_managed", &control_settings::SelfManaged, false,
            "The control hosts admit and replace members automatically; otherwise operators do, "
            "with `pollenstallctl member`.")
      .number(
          "tolerated_losses", &control_settings::ToleratedLosses, {1U, 0U, 1'000U},
          "Control hosts that may be lost at once, with their disks: the log gets twice as many "
          "voters and one more. At the first start it waits 3 s for them; then as many as may be "
          "lost may be absent. For self_managed only.")
      .number(
          "tolerated_domains", &control_settings::ToleratedDomains, {0U, 0U, 1'000U},
          "Failure domains that may be lost at once, with the disks of all their control hosts: "
          "fewer than half of the voters are in any such domains. For self_managed only.")
      .number("tolerated_regions", &control_settings::ToleratedRegions, {0U, 0U, 1'000U},
              "Regions that may be lost at once. Control hosts of several regions do not form one "
              "log, so the loss of a region is never survived; as many failure domains are. For "
              "self_managed only.")
      .flag(
          "bootstrap", &control_settings::Bootstrap, false,
          "Set on exactly one host: it bootstraps the log once every peer has an empty disk. With "
          "seeds, set on all hosts of the first start: the one with the lowest address does it.")
      .text("operators.key_hash_file", &control_settings::OperatorKeyHashFile, presence::Optional,
            "a path", {},
            "File with the SHA-256 of the operators' key in hex; without it every call that needs "
            "the key is refused.");
}

void addOrders(settings_table<control_settings> &Table) {
  constexpr const char *Address = "IP:port, where port 0 lets the kernel choose";
  Table
      .text(
          "listen.gossip", &control_settings::GossipAddress, presence::Optional, Address,
          [](const std::string &Text) { return Text.empty() ? std::nullopt : checkAddress(Text); },
          "UDP address for the system's other hosts; without it no order is sent to engines.")
      .texts("gossip.seeds", &control_settings::GossipSeeds, presence::Optional, Address,
             checkAddress, "Gossip addresses of other hosts, asked at the start.")
      .text("gossip.key_file", &control_settings::GossipKeyFile, presence::Optional, "a path", {},
            "File with the key that the system's own hosts share; without it datagrams carry no "
            "tag, and anyone who reaches the port can forge them.")
      .number("orders.loads_at_once", &control_settings::LoadsAtOnce, {2U, 1U, 10'000U},
              "Loads that the weight store takes at once.")
      .number("orders.loads_per_minute", &control_settings::LoadsPerMinute, {30U, 1U, 100'000U},
              "Loads that the weight store takes per minute.");
}

std::optional<std::string> checkInterface(const std::string &Text) {
  return Text == "own" || Text == "platform" ? std::nullopt
                                             : std::optional<std::string>("own or platform");
}

void addInterface(settings_table<control_settings> &Table) {
  Table
      .text(
          "interface", &control_settings::Interface, presence::Optional, "own or platform",
          checkInterface,
          "Calls answered at the operators' address: own has only its own calls; platform adds the "
          "calls of the platform adapter, which need no operators' key.",
          "own")
      .span("backends.notice_ms", &control_settings::NoticeInterval,
            {milliseconds(1000), milliseconds(50), milliseconds(60'000)},
            "How often backend servers announce themselves to control hosts.");
}

void addTimes(settings_table<control_settings> &Table) {
  Table
      .span("log.heartbeat_ms", &control_settings::Heartbeat,
            {milliseconds(100), milliseconds(10), milliseconds(1000)},
            "Interval between a leader's heartbeats.")
      .span("log.election_ms", &control_settings::Election,
            {milliseconds(1000), milliseconds(100), milliseconds(10'000)},
            "Shortest time without a leader before a host starts an election; the longest is twice "
            "this.")
      .number("log.snapshot_every", &control_settings::SnapshotEvery, {4096U, 16U, 1'000'000U},
              "Entries after which a snapshot is taken.")
      .span("entries.lease_ms", &control_settings::EntryLease,
            {milliseconds(5000), milliseconds(500), milliseconds(60'000)},
            "How long an entry may act on its declaration without word from the leader.")
      .span("entries.confirm_within_ms", &control_settings::ConfirmWithin,
            {milliseconds(2000), milliseconds(100), milliseconds(60'000)},
            "An entry that has not confirmed a change for longer gets no further lease.")
      .span(
          "entries.apply_within_ms", &control_settings::ApplyWithin,
          {milliseconds(10'000), milliseconds(100), milliseconds(600'000)},
          "After a change was acknowledged, no entry acts on an older declaration for longer. If a "
          "lease lasts longer, an acknowledgement may wait for the difference.")
      .span("entries.revoke_within_ms", &control_settings::RevokeWithin,
            {milliseconds(10'000), milliseconds(100), milliseconds(600'000)},
            "The same for keys that a change removes; the shorter of both applies.")
      .span("entries.evacuate_within_ms", &control_settings::EvacuateWithin,
            {milliseconds(0), milliseconds(0), milliseconds(600'000)},
            "After an evacuation of a failure domain was acknowledged, no entry sends a request "
            "there for longer. 0: as entries.apply_within_ms.")
      .fraction(
          "memory_mb", &control_settings::MemoryMegabytes, {0.0, 0.0, 1e9},
          "Memory of this process in MB, beyond which it is killed; operators' calls that are "
          "received or wait for their answer take at most a quarter of it. 0: not known.")
      .fraction(
          "link_mbps", &control_settings::LinkMegabits, {1000.0, 1.0, 1'000'000.0},
          "Rate of this host's link in Mbit/s. Declarations in flight to entries take no more "
          "than it carries between two heartbeats.")
      .text("log_level", &control_settings::LogLevel, presence::Optional,
            "debug, info, warning or error", checkLevel, "Lowest level that is logged.", "info");
}

} // namespace

settings_table<control_settings> controlSettingsTable() {
  settings_table<control_settings> Table;
  addIdentity(Table);
  addAddresses(Table);
  addOrders(Table);
  addInterface(Table);
  addTimes(Table);
  return Table;
}

std::optional<std::pair<member_id, std::string>> peerFromText(const std::string &Text) {
  const std::size_t Equals = Text.find('=');
  if (Equals == std::string::npos)
    return std::nullopt;
  const auto Id = parseNumber<std::uint64_t>(std::string_view(Text).substr(0, Equals));
  std::string Address = Text.substr(Equals + 1);
  if (!Id || *Id == 0 || checkAddress(Address))
    return std::nullopt;
  return std::pair(member_id(*Id), std::move(Address));
}

std::vector<std::string> seedAddresses(const control_settings &Settings) {
  return withPort(Settings.Seeds, Settings.SeedPort);
}

std::optional<loss_tolerance> toleratedLosses(const control_settings &Settings) {
  if (!Settings.SelfManaged)
    return std::nullopt;
  return loss_tolerance{Settings.ToleratedLosses, Settings.ToleratedDomains,
                        Settings.ToleratedRegions};
}

bool isFounder(const control_settings &Settings) {
  const std::vector<std::string> Seeds = seedAddresses(Settings);
  if (!Settings.Bootstrap || Seeds.empty())
    return Settings.Bootstrap;
  return *std::min_element(Seeds.begin(), Seeds.end()) == Settings.ListenPeers;
}

replica_options replicaOptions(const control_settings &Settings) {
  /// The result is several times the round trip of a vote plus two syncs of a healthy disk.
  constexpr int EarlyPart = 8;
  replica_options Options;
  Options.Tolerance = toleratedLosses(Settings);
  Options.HeartbeatInterval = Settings.Heartbeat;
  Options.MinElectionTimeout = Settings.Election;
  Options.MaxElectionTimeout = 2 * Settings.Election;
  Options.EarlyElectionTimeout = Settings.Election / EarlyPart;
  Options.MaxClockStep = Settings.Election / 2;
  Options.SnapshotEvery = Settings.SnapshotEvery;
  Options.MaxSnapshotBytes = MaxSnapshotState;
  Options.MaxPayloadBytes = MaxEntryPayload;
  return Options;
}

in_force_options inForceOptions(const control_settings &Settings) {
  in_force_options Options;
  Options.Lease = Settings.EntryLease;
  Options.ConfirmWithin = Settings.ConfirmWithin;
  Options.ApplyWithin = std::min(Settings.ApplyWithin, Settings.RevokeWithin);
  return Options;
}

mono_duration evacuateWithin(const control_settings &Settings) {
  const bool IsSet = Settings.EvacuateWithin > milliseconds(0);
  return IsSet ? Settings.EvacuateWithin : Settings.ApplyWithin;
}

} // namespace pollenstall
