/** @file control_main.cpp The control host's process: starts its threads and waits until it must
 * stop. */
#include "control_core_base.h"
#include "control_metrics_base.h"
#include "control_services_func.h"
#include "control_settings_type.h"
#include "operator_api_base.h"
#include "order_service_base.h"
#include "platform/platform.h"
#include "program/program.h"

#include <boost/json.hpp>

#include <cstdio>
#include <fstream>
#include <random>

namespace pollenstall {

namespace {

constexpr std::chrono::milliseconds WatchInterval{100};
constexpr std::chrono::milliseconds DumpLimit{2000};
constexpr std::chrono::milliseconds DiskRetryInterval{250};

std::optional<std::string> readKeyHash(const std::string &Path) {
  std::ifstream File(Path);
  std::string Hash;
  File >> Hash;
  if (!File || checkKeyHash(Hash))
    return std::nullopt;
  return Hash;
}

storage_options storageOptions(const control_settings &Settings) {
  std::random_device Source;
  constexpr unsigned HalfBits = 32;
  storage_options Options;
  Options.Folder = Settings.DataFolder;
  Options.Fleet = Settings.Fleet;
  Options.Member = member_id(Settings.MemberId);
  Options.NewDiskIdentity = disk_identity((std::uint64_t{Source()} << HalfBits) | Source() | 1U);
  return Options;
}

void logListening(const char *Listener, const std::string &Address) {
  logEvent(log_level::Info, "listening", {{"what", Listener}, {"address", Address}});
}

/// Writes a temporary file and renames it, so that a reader never sees a partial file.
bool writeAddresses(const std::string &Path, const peer_addresses &Addresses) {
  const std::string TemporaryPath = Path + ".new";
  {
    std::ofstream File(TemporaryPath);
    File << boost::json::serialize(boost::json::object{{"peers", Addresses.Peers},
                                                       {"entries", Addresses.Entries},
                                                       {"operators", Addresses.Operators}});
    if (!File.flush())
      return false;
  }
  return std::rename(TemporaryPath.c_str(), Path.c_str()) == 0;
}

/// The threads of a control host. The destructor stops them in reverse order.
struct control_host {
  wake_signal Wake;
  control_metrics Metrics;
  std::unique_ptr<peer_link> Peers;
  std::unique_ptr<entry_listener> Entries;
  std::unique_ptr<control_core> Core;
  std::unique_ptr<operator_api> Api;
  std::unique_ptr<operator_server> Operators;
  order_service Orders;
};

std::optional<std::string> startLinks(const control_settings &Settings, member_id Self,
                                      control_host &Host) {
  peer_link_builder Builder(Settings.Fleet, Self, Settings.ListenPeers);
  Builder.domain(failure_domain_name(Settings.Domain)).onMessages([&Host] { Host.Wake.notify(); });
  for (const std::string &Text : Settings.Peers) {
    const auto Peer = *peerFromText(Text);
    Builder.peer(Peer.first, Peer.second);
  }
  for (const std::string &Seed : seedAddresses(Settings))
    Builder.seed(Seed);
  auto Peers = Builder.start();
  if (!succeeded(Peers))
    return errorOf(Peers).Text;
  Host.Peers = valueOf(std::move(Peers));
  auto Entries = entry_listener::start(
      {Settings.Fleet, Settings.ListenEntries, [&Host] { Host.Wake.notify(); }});
  if (!succeeded(Entries))
    return errorOf(Entries).Text;
  Host.Entries = valueOf(std::move(Entries));
  return std::nullopt;
}

constexpr double BytesPerMegabyte = 1e6;
/// Part of the memory for operators' calls.
constexpr double OperatorsPart = 0.25;

std::optional<std::string> startOperators(const control_settings &Settings,
                                          const std::string &KeyHash, control_host &Host) {
  Host.Api = std::make_unique<operator_api>(*Host.Core, declarationValidation());
  operator_server_builder Server(Settings.ListenOperators, KeyHash);
  Host.Api->addRoutes(Server);
  if (Settings.Interface == "platform")
    for (operator_route &Route :
         platformRoutes(controlServices(*Host.Core, "http://" + Settings.ListenOperators)))
      Server.route(Route.Method, Route.Path, Route.Access, std::move(Route.Handle), Route.Pool);
  Server.processMemory(Settings.MemoryMegabytes * BytesPerMegabyte, OperatorsPart)
      .onConnectionLimit([](std::size_t Open) {
        logEvent(log_level::Warning, "operator_connections_refused",
                 {{"open", static_cast<std::int64_t>(Open)}});
      })
      .health()
      .readiness([&Host] { return Host.Core->ready(); })
      .metrics(Host.Metrics.registry())
      .dump([&Host] {
        const control_outcome Outcome = Host.Core->ask(get_dump{}, DumpLimit);
        const auto *Text = std::get_if<std::string>(&Outcome);
        return Text != nullptr ? *Text : std::string("{}");
      });
  auto Started = Server.start();
  if (!succeeded(Started))
    return errorOf(Started).Text;
  Host.Operators = valueOf(std::move(Started));
  return std::nullopt;
}

/// Why a control host stopped; the process may start it again.
enum class host_exit_reason : std::uint8_t {
  Stopped,    ///< The process received a stop signal.
  Failed,     ///< An unrecoverable error, which has been logged.
  DiskFailed, ///< The disk refused a write; the data folder must be read again.
};

host_exit_reason failStart(const std::string &Why) {
  logEvent(log_level::Error, "start_failed", {{"error", Why}});
  return host_exit_reason::Failed;
}

host_exit_reason serve(const control_settings &Settings, const stop_signal &Stop,
                       control_host &Host) {
  const peer_addresses Own{Host.Peers->address(), Host.Entries->address(),
                           Host.Operators->address()};
  Host.Peers->announce(Own);
  logListening("peers", Own.Peers);
  logListening("entries", Own.Entries);
  logListening("operators", Own.Operators);
  if (Host.Orders.statusView())
    logListening("gossip", Host.Orders.address());
  if (!Settings.AddressFile.empty() && !writeAddresses(Settings.AddressFile, Own))
    return failStart(Settings.AddressFile + ": cannot be written");
  while (!Stop.waitFor(WatchInterval)) {
    if (Host.Core->diskFailed())
      return host_exit_reason::DiskFailed;
    if (Host.Core->failed())
      return host_exit_reason::Failed;
  }
  logEvent(log_level::Info, "stopping");
  return host_exit_reason::Stopped;
}

/// Opens the data folder, runs the control host and stops its threads.
host_exit_reason runHost(const control_settings &Settings, const std::string &KeyHash,
                         const stop_signal &Stop) {
  auto Folder = data_folder::open(storageOptions(Settings));
  if (!succeeded(Folder)) {
    const bool MayPass = std::holds_alternative<file_failure>(errorOf(Folder)) ||
                         std::holds_alternative<disk_full>(errorOf(Folder));
    failStart(toText(errorOf(Folder)));
    return MayPass ? host_exit_reason::DiskFailed : host_exit_reason::Failed;
  }
  control_host Host;
  const member_id Self = valueOf(Folder)->identity().Key.Member;
  if (const auto Failure = startLinks(Settings, Self, Host))
    return failStart(*Failure);
  if (const auto Failure = Host.Orders.open(Settings))
    return failStart(*Failure);
  control_core_dependencies Parts;
  Parts.Settings = Settings;
  Parts.Wake = &Host.Wake;
  Parts.Peers = Host.Peers.get();
  Parts.Entries = Host.Entries.get();
  Parts.Metrics = &Host.Metrics;
  Parts.Folder = valueOf(std::move(Folder));
  Parts.Orders = Host.Orders.statusView();
  Parts.Own = {Host.Peers->address(), Host.Entries->address(), {}};
  Host.Core = std::make_unique<control_core>(std::move(Parts));
  if (const auto Failure = startOperators(Settings, KeyHash, Host))
    return failStart(*Failure);
  Host.Core->start();
  Host.Orders.start(Settings, *Host.Core);
  return serve(Settings, Stop, Host);
}

/**
 * Waits until the data folder is writable again. If the process exited instead, it would be
 * restarted repeatedly while the disk is full.
 * @return False if the process received a stop signal.
 */
bool waitForDisk(const control_settings &Settings, const stop_signal &Stop) {
  logEvent(log_level::Warning, "disk_awaited", {{"folder", Settings.DataFolder}});
  while (!Stop.waitFor(DiskRetryInterval)) {
    if (!isWritable(Settings.DataFolder))
      continue;
    logEvent(log_level::Info, "disk_back", {{"folder", Settings.DataFolder}});
    return true;
  }
  return false;
}

exit_code run(const control_settings &Settings) {
  startLogging("pollenstall-control", *logLevelFromText(Settings.LogLevel));
  const stop_signal Stop;
  // Without a key file, every call that requires the operators' key is refused.
  const auto KeyHash = Settings.OperatorKeyHashFile.empty()
                           ? std::optional<std::string>("")
                           : readKeyHash(Settings.OperatorKeyHashFile);
  if (!KeyHash) {
    failStart(Settings.OperatorKeyHashFile + ": not a SHA-256 in hex");
    return exit_code::Failure;
  }
  while (true) {
    const host_exit_reason End = runHost(Settings, *KeyHash, Stop);
    if (End == host_exit_reason::Failed)
      return exit_code::Failure;
    if (End == host_exit_reason::Stopped || !waitForDisk(Settings, Stop))
      return exit_code::Ok;
  }
}

} // namespace

} // namespace pollenstall

int main(int Count, const char **Values) {
  return pollenstall::runProgram<pollenstall::control_settings>(
      Count, Values, {"pollenstall-control", "Keeps the replicated control state on its disk."},
      pollenstall::controlSettingsTable(), pollenstall::run);
}
