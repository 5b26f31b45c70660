/** @file entry_settings.cpp The table of an entry's settings. */
#include "entry_settings_type.h"

#include "program/program.h"

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Second{1'000};
constexpr milliseconds Minute{60'000};
constexpr milliseconds Hour{3'600'000};
constexpr std::int64_t Kilobyte = 1LL << 10U;
constexpr std::int64_t Megabyte = 1LL << 20U;
constexpr std::int64_t Gigabyte = 1LL << 30U;

std::optional<std::string> checkLogLevel(const std::string &Text) {
  return logLevelFromText(Text) ? std::nullopt : std::optional<std::string>("a level");
}

void addIdentity(settings_table<entry_settings> &Table) {
  const std::string Name = "1 to 64 letters, digits, '.', '_' or '-'";
  Table
      .text("host.name", &entry_settings::Host, presence::Required, Name, checkName,
            "Name of this host, unique in the fleet.")
      .text("host.failure_domain", &entry_settings::FailureDomain, presence::Required, Name,
            checkName, "Failure domain of this host.")
      .text("fleet.name", &entry_settings::Fleet, presence::Required, Name, checkName,
            "Messages of other fleets are dropped.")
      .text("fleet.key_file", &entry_settings::FleetKeyFile, presence::Optional, "a path", {},
            "File with the key that backend servers announce themselves with; without it no "
            "announcement is taken.")
      .text("operators.key_hash", &entry_settings::OperatorKeyHash, presence::Optional,
            "a SHA-256 in 64 lower-case hex digits", checkKeyHash,
            "Hash of the operators' key; without it /dump is refused.");
}

void addAddresses(settings_table<entry_settings> &Table) {
  const std::string Address = "IP:port";
  Table
      .text("listen.callers", &entry_settings::CallersAddress, presence::Required, Address,
            checkAddress, "Address for callers; port 0 takes any free one.")
      .text("listen.operators", &entry_settings::OperatorsAddress, presence::Required, Address,
            checkAddress, "Address for operators, the balancer and the metrics collector.")
      .text("listen.announcements", &entry_settings::AnnouncementsAddress, presence::Optional,
            Address, checkAddress,
            "Address that backend servers announce themselves to; needed where they are known by "
            "gossip.")
      .text("listen.gossip", &entry_settings::GossipAddress, presence::Optional, Address,
            checkAddress,
            "UDP address for the system's other hosts; needed where backend servers are known by "
            "gossip.")
      .text("listen.work", &entry_settings::WorkAddress, presence::Optional, Address, checkAddress,
            "UDP address at which other entries tell what they have under way; needed where "
            "backend servers are known by control.")
      .text("listen.address_file", &entry_settings::AddressFile, presence::Optional, "a path", {},
            "File that the bound addresses are written to, as JSON.")
      .texts("gossip.seeds", &entry_settings::GossipSeeds, presence::Optional, Address,
             checkAddress, "Gossip addresses of other hosts, asked at the start.")
      .text("gossip.key_file", &entry_settings::GossipKeyFile, presence::Optional, "a path", {},
            "File with the key that the system's own hosts share; without it datagrams carry no "
            "tag, and anyone who reaches the port can forge them.")
      .texts("announcements.peers", &entry_settings::AnnouncementPeers, presence::Optional, Address,
             checkAddress,
             "Announcement addresses of other entries, told to backend servers as fall-backs.")
      .texts("control.addresses", &entry_settings::ControlAddresses, presence::Optional, Address,
             checkAddress, "Addresses of the control hosts for entries; of some of them at least.")
      .number("control.port", &entry_settings::ControlPort, {0U, 0U, 65'535U},
              "Port for entries on the hosts of control.addresses; 0 takes these as they are.")
      .span("control.renew_ms", &entry_settings::ControlRenew,
            {milliseconds(500), milliseconds(50), Minute},
            "Between two requests for the lease on the declaration.")
      .span("control.answer_within_ms", &entry_settings::ControlAnswer,
            {milliseconds(2000), milliseconds(100), Minute},
            "A control host that is silent for longer is given up for another one.")
      .span("control.connect_within_ms", &entry_settings::ControlConnect,
            {milliseconds(1000), milliseconds(10), Minute},
            "A control host that cannot be reached by then is given up for another one.")
      .text("declaration.file", &entry_settings::DeclarationFile, presence::Optional, "a path", {},
            "A fixed declaration instead of control hosts, for trials: it is read once, no lease "
            "bounds it, and calls with an idempotency key that must run once are refused.");
}

std::optional<std::string> checkInterface(const std::string &Text) {
  return Text == "chat" || Text == "platform" ? std::nullopt
                                              : std::optional<std::string>("chat or platform");
}

std::optional<std::string> checkSource(const std::string &Text) {
  return Text == "gossip" || Text == "control" ? std::nullopt
                                               : std::optional<std::string>("gossip or control");
}

void addInterface(settings_table<entry_settings> &Table) {
  Table
      .text("interface", &entry_settings::Interface, presence::Optional, "chat or platform",
            checkInterface,
            "What callers and backend servers speak: chat/completions, or what the platform "
            "adapter translates.",
            "chat")
      .text("backends.source", &entry_settings::BackendSource, presence::Optional,
            "gossip or control", checkSource,
            "Who knows the backend servers: the entries by gossip, or the control hosts.", "gossip")
      .fraction("retries.share", &entry_settings::RetryShare, 0.0, 100.0, "as declared",
                "Retries for each first attempt, instead of what the declaration's limits say.")
      .fraction("retries.reserve", &entry_settings::RetryReserve, 0.0, 1e9, "a small one each",
                "Further retries of all entries together in each window.")
      .span("retries.window_s", &entry_settings::RetryWindow,
            {10 * Second, milliseconds(100), Hour}, "The window of the reserve.")
      .span("shutdown_drain_ms", &entry_settings::DrainTime,
            {milliseconds(0), milliseconds(0), Hour},
            "After SIGTERM requests are still admitted for so long, until the balancer has seen "
            "that this host is not ready.")
      .span("shutdown_kill_s", &entry_settings::KillAfter, {milliseconds(0), milliseconds(0), Hour},
            "The process is killed so long after SIGTERM, so that all must end a second earlier; "
            "0: it is not.");
}

void addLimits(settings_table<entry_settings> &Table) {
  Table
      .number("limits.header_bytes", &entry_settings::HeaderBytes,
              {16 * Kilobyte, Kilobyte, Megabyte}, "Largest head of a request.")
      .number("limits.max_connections", &entry_settings::MaxConnections, {8'192, 1, 1'000'000},
              "Callers' connections at once; more wait in the kernel's queue.")
      .number("limits.max_event_bytes", &entry_settings::MaxEventBytes,
              {Megabyte, Kilobyte, 64 * Megabyte}, "Largest event of a stream.")
      .number("limits.held_answer_bytes", &entry_settings::HeldAnswerBytes,
              {64 * Kilobyte, 0, 64 * Megabyte},
              "An answer with a length up to this is passed on when it is whole, so that a broken "
              "one becomes an error and not a cut; 0: each part as it comes.")
      .number("limits.body_memory_bytes", &entry_settings::BodyMemory,
              {Gigabyte, Megabyte, 1024 * Gigabyte},
              "All request bodies held at once; more are refused as not run.")
      .span("limits.header_timeout_ms", &entry_settings::HeaderTimeout,
            {10 * Second, milliseconds(10), Hour}, "From the first byte of a head to its end.")
      .span("limits.body_timeout_ms", &entry_settings::BodyTimeout,
            {Minute, milliseconds(10), Hour}, "From the end of a head to the end of its body.")
      .span("limits.idle_timeout_ms", &entry_settings::IdleTimeout,
            {75 * Second, milliseconds(10), Hour}, "A caller's connection between two requests.")
      .span("limits.write_stall_ms", &entry_settings::WriteStall,
            {30 * Second, milliseconds(10), Hour},
            "A caller that takes no byte for so long counts as gone.")
      .span("limits.connect_timeout_ms", &entry_settings::ConnectTimeout,
            {Second, milliseconds(1), Minute}, "To connect to a backend server.")
      .span("limits.user_timeout_ms", &entry_settings::UserTimeout,
            {10 * Second, milliseconds(100), Hour},
            "A backend server that acknowledges no sent byte for so long is given up.")
      .span("limits.ready_wait_ms", &entry_settings::ReadyWait,
            {milliseconds(0), milliseconds(0), Minute},
            "A request that comes while no declaration is in force waits so long for one.")
      .span("limits.cancel_timeout_ms", &entry_settings::CancelTimeout,
            {2 * Second, milliseconds(10), Minute}, "One request that an attempt be ended.")
      .span("limits.backend_idle_ms", &entry_settings::BackendIdle,
            {30 * Second, milliseconds(10), Hour},
            "An unused connection to a backend server is closed after this.")
      .span("shutdown_limit_s", &entry_settings::ShutdownLimit,
            {30 * Second, milliseconds(0), Hour},
            "Admitted requests may run on for so long after SIGTERM.")
      .text("log_level", &entry_settings::LogLevel, presence::Optional,
            "debug, info, warning or error", checkLogLevel, "Least level that is logged.", "info");
}

} // namespace

settings_table<entry_settings> entrySettings() {
  settings_table<entry_settings> Table;
  addIdentity(Table);
  addAddresses(Table);
  addInterface(Table);
  addLimits(Table);
  return Table;
}

relay_limits limitsOf(const entry_settings &Settings) {
  relay_limits Limits;
  Limits.HeaderBytes = static_cast<std::size_t>(Settings.HeaderBytes);
  Limits.HeaderTimeout = Settings.HeaderTimeout;
  Limits.BodyTimeout = Settings.BodyTimeout;
  Limits.IdleTimeout = Settings.IdleTimeout;
  Limits.WriteStall = Settings.WriteStall;
  Limits.ConnectTimeout = Settings.ConnectTimeout;
  Limits.UserTimeout = Settings.UserTimeout;
  Limits.ReadyWait = Settings.ReadyWait;
  Limits.CancelTimeout = Settings.CancelTimeout;
  Limits.BackendIdle = Settings.BackendIdle;
  Limits.MaxConnections = static_cast<std::size_t>(Settings.MaxConnections);
  Limits.MaxEventBytes = static_cast<std::size_t>(Settings.MaxEventBytes);
  Limits.HeldAnswerBytes = static_cast<std::size_t>(Settings.HeldAnswerBytes);
  Limits.BodyMemory = static_cast<std::size_t>(Settings.BodyMemory);
  return Limits;
}

} // namespace pollenstall
