/** @file entry_settings.cpp The settings table of an entry. */
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
            "Name of the fleet; messages of other fleets are dropped.")
      .text("fleet.key_file", &entry_settings::FleetKeyFile, presence::Optional, "a path", {},
            "File with the key that backend servers send with an announcement; without it every "
            "announcement is refused.")
      .text("operators.key_hash", &entry_settings::OperatorKeyHash, presence::Optional,
            "a SHA-256 in 64 lower-case hex digits", checkKeyHash,
            "Hash of the operators' key; without it /dump is refused.");
}

void addAddresses(settings_table<entry_settings> &Table) {
  const std::string Address = "IP:port";
  Table
      .text("listen.callers", &entry_settings::CallersAddress, presence::Required, Address,
            checkAddress, "Address for callers; port 0 selects a free port.")
      .text("listen.operators", &entry_settings::OperatorsAddress, presence::Required, Address,
            checkAddress, "Address for operators, the balancer and the metrics collector.")
      .text("listen.announcements", &entry_settings::AnnouncementsAddress, presence::Optional,
            Address, checkAddress,
            "Address for announcements of backend servers; required if backends.source is "
            "gossip.")
      .text("listen.gossip", &entry_settings::GossipAddress, presence::Optional, Address,
            checkAddress,
            "UDP address for gossip with the other hosts of the system; required if "
            "backends.source is gossip.")
      .text("listen.work", &entry_settings::WorkAddress, presence::Optional, Address, checkAddress,
            "UDP address for reports of other entries about their work in flight; required if "
            "backends.source is control.")
      .text("listen.address_file", &entry_settings::AddressFile, presence::Optional, "a path", {},
            "File to which the bound addresses are written as JSON.")
      .texts("gossip.seeds", &entry_settings::GossipSeeds, presence::Optional, Address,
             checkAddress, "Gossip addresses of other hosts, contacted at the start.")
      .text("gossip.key_file", &entry_settings::GossipKeyFile, presence::Optional, "a path", {},
            "File with the key that the hosts of the system share; without it datagrams carry no "
            "authentication tag, and anyone who reaches the port can forge them.")
      .texts("announcements.peers", &entry_settings::AnnouncementPeers, presence::Optional, Address,
             checkAddress,
             "Announcement addresses of other entries, sent to backend servers as fallbacks.")
      .texts("control.addresses", &entry_settings::ControlAddresses, presence::Optional, Address,
             checkAddress,
             "Addresses at which control hosts serve entries; need not list all control hosts.")
      .number("control.port", &entry_settings::ControlPort, {0U, 0U, 65'535U},
              "Port for entries on the hosts of control.addresses; 0 uses the ports given there.")
      .span("control.renew_ms", &entry_settings::ControlRenew,
            {milliseconds(500), milliseconds(50), Minute},
            "Interval between renewals of the declaration lease.")
      .span("control.answer_within_ms", &entry_settings::ControlAnswer,
            {milliseconds(2000), milliseconds(100), Minute},
            "Response timeout of a control host; after it another one is tried.")
      .span("control.connect_within_ms", &entry_settings::ControlConnect,
            {milliseconds(1000), milliseconds(10), Minute},
            "Connect timeout of a control host; after it another one is tried.")
      .text("declaration.file", &entry_settings::DeclarationFile, presence::Optional, "a path", {},
            "File with a fixed declaration instead of control hosts, for trials: it is read once, "
            "no lease limits it, and non-idempotent calls with an idempotency key are refused, "
            "because no control host can record the key.");
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
            "Protocol of callers and backend servers: chat/completions, or the protocol of the "
            "platform adapter.",
            "chat")
      .text("backends.source", &entry_settings::BackendSource, presence::Optional,
            "gossip or control", checkSource,
            "Source of the list of backend servers: gossip between entries, or the control hosts.",
            "gossip")
      .fraction("retries.share", &entry_settings::RetryShare, 0.0, 100.0, "as declared",
                "Maximum ratio of retries to first attempts, in whole hundredths; overrides "
                "limits.retry_percent of the declaration.")
      .fraction("retries.reserve", &entry_settings::RetryReserve, 0.0, 1e9,
                "a small reserve for each entry",
                "Additional retries per window and service, for all entries together.")
      .span("retries.window_s", &entry_settings::RetryWindow,
            {10 * Second, milliseconds(100), Hour}, "Length of the window of retries.reserve.")
      .flag("queue.over_entries", &entry_settings::OrderOverEntries, false,
            "Takes scarce slots of engines with declared figures in one order of the waiting "
            "requests of all entries. All entries must have the same value.")
      .fraction("cold.overshoot", &entry_settings::ColdOvershoot, {1.0, 0.0, 100.0},
                "Cold servers receive, from all entries together, at most cold_per_s of their "
                "service times this, plus cold.tolerance, in any second. All entries must have the "
                "same value.")
      .fraction("cold.tolerance", &entry_settings::ColdTolerance, {0.0, 0.0, 1e6},
                "Requests a second that a cold server may receive in addition.")
      .span("shutdown_drain_ms", &entry_settings::DrainTime,
            {milliseconds(0), milliseconds(0), Hour},
            "Time after SIGTERM during which requests are still admitted, until the load balancer "
            "has seen that this host is not ready.")
      .span(
          "shutdown_kill_s", &entry_settings::KillAfter, {milliseconds(0), milliseconds(0), Hour},
          "Time after SIGTERM at which the platform kills the process; the entry ends all requests "
          "a second earlier. 0: it is not killed.");
}

void addLimits(settings_table<entry_settings> &Table) {
  Table
      .number("limits.header_bytes", &entry_settings::HeaderBytes,
              {16 * Kilobyte, Kilobyte, Megabyte}, "Maximum size of a request head.")
      .number("limits.max_connections", &entry_settings::MaxConnections, {8'192, 1, 1'000'000},
              "Maximum number of caller connections; more wait in the listen queue of the kernel.")
      .number("limits.max_event_bytes", &entry_settings::MaxEventBytes,
              {Megabyte, Kilobyte, 64 * Megabyte}, "Maximum size of an event of a stream.")
      .number(
          "limits.held_answer_bytes", &entry_settings::HeldAnswerBytes,
          {64 * Kilobyte, 0, 64 * Megabyte},
          "An answer with a length up to this is buffered and sent when it is complete, so that "
          "a broken one becomes an error and not a truncated answer; 0: no buffering.")
      .number(
          "limits.body_memory_bytes", &entry_settings::BodyMemory,
          {Gigabyte, Megabyte, 1024 * Gigabyte},
          "Maximum memory for the connections, heads and bodies of all callers. Each message may "
          "take a third of what is free. If there is too little, messages that have stopped "
          "arriving for a second are ended, and others are refused as not run.")
      .number(
          "limits.answer_memory_bytes", &entry_settings::AnswerMemory,
          {Gigabyte / 4, Megabyte, 1024 * Gigabyte},
          "Maximum memory for all parts of answers that wait for their rest, such as unfinished "
          "events. Each may take an eighth of what is free; an answer that needs more is ended.")
      .fraction("limits.memory_mb", &entry_settings::MemoryMegabytes, {0.0, 0.0, 1e9},
                "Memory of this process in MB, beyond which it is killed. Callers take at "
                "most half of it and answers a quarter, whatever limits.body_memory_bytes and "
                "limits.answer_memory_bytes say. 0: not known.")
      .span("limits.header_timeout_ms", &entry_settings::HeaderTimeout,
            {10 * Second, milliseconds(10), Hour},
            "Timeout from the first byte of a request head to its end.")
      .span("limits.body_timeout_ms", &entry_settings::BodyTimeout,
            {Minute, milliseconds(10), Hour},
            "Timeout from the end of a request head to the end of its body.")
      .span("limits.idle_timeout_ms", &entry_settings::IdleTimeout,
            {75 * Second, milliseconds(10), Hour},
            "Idle timeout of a caller connection between two requests.")
      .span("limits.write_stall_ms", &entry_settings::WriteStall,
            {30 * Second, milliseconds(10), Hour},
            "A caller that accepts no byte for this time counts as disconnected.")
      .span("limits.connect_timeout_ms", &entry_settings::ConnectTimeout,
            {Second, milliseconds(1), Minute},
            "Timeout of a connection attempt to a backend server.")
      .span("limits.user_timeout_ms", &entry_settings::UserTimeout,
            {10 * Second, milliseconds(100), Hour},
            "A backend connection on which no sent byte is acknowledged for this time is closed.")
      .span("limits.ready_wait_ms", &entry_settings::ReadyWait,
            {milliseconds(0), milliseconds(0), Minute},
            "Maximum wait of a request that arrives while no declaration is in force.")
      .span("limits.cancel_timeout_ms", &entry_settings::CancelTimeout,
            {2 * Second, milliseconds(10), Minute},
            "Timeout of one request of the entry itself to a backend server, such as a cancel.")
      .span("limits.hold_unused_ms", &entry_settings::HoldUnused,
            {9 * Second, milliseconds(0), Hour},
            "Maximum time that engines hold memory for a prompt before a request uses it. The "
            "attempt is ended earlier, so that the memory is free in time if its release is lost. "
            "0: 9000.")
      .span("limits.hold_release_ms", &entry_settings::HoldRelease,
            {4 * Second, milliseconds(0), Hour},
            "Maximum time that engines hold memory after the last request that used it has ended; "
            "orders to hold memory last half a second less. 0: 4000.")
      .span("limits.backend_idle_ms", &entry_settings::BackendIdle,
            {30 * Second, milliseconds(10), Hour},
            "Idle timeout of a connection to a backend server.")
      .span("shutdown_limit_s", &entry_settings::ShutdownLimit,
            {30 * Second, milliseconds(0), Hour},
            "Time after the drain (shutdown_drain_ms) in which admitted requests may still run.")
      .text("log_level", &entry_settings::LogLevel, presence::Optional,
            "debug, info, warning or error", checkLogLevel, "Minimum level of logged events.",
            "info");
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

namespace {

constexpr double AnswerPartOfMemory = 0.25;
constexpr double BodyPartOfMemory = 0.5;

/// @return The limit, reduced to a part of the memory of the process if that is known.
std::size_t withinMemory(std::int64_t Limit, const entry_settings &Settings, double Part) {
  constexpr double BytesPerMegabyte = 1e6;
  if (Settings.MemoryMegabytes <= 0)
    return static_cast<std::size_t>(Limit);
  const double Share = Settings.MemoryMegabytes * BytesPerMegabyte * Part;
  return static_cast<std::size_t>(std::min(static_cast<double>(Limit), Share));
}

} // namespace

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
  if (Settings.HoldUnused.count() > 0)
    Limits.Holds.MaxUnused = Settings.HoldUnused;
  if (Settings.HoldRelease.count() > 0)
    Limits.Holds.MaxRelease = Settings.HoldRelease;
  Limits.MaxConnections = static_cast<std::size_t>(Settings.MaxConnections);
  Limits.MaxEventBytes = static_cast<std::size_t>(Settings.MaxEventBytes);
  Limits.HeldAnswerBytes = static_cast<std::size_t>(Settings.HeldAnswerBytes);
  Limits.BodyMemory = withinMemory(Settings.BodyMemory, Settings, BodyPartOfMemory);
  Limits.AnswerMemory = withinMemory(Settings.AnswerMemory, Settings, AnswerPartOfMemory);
  return Limits;
}

} // namespace pollenstall
