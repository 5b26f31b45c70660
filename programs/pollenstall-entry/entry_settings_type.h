/** @file entry_settings_type.h Settings of an entry. */
#ifndef POLLENSTALL_ENTRY_ENTRY_SETTINGS_TYPE_H
#define POLLENSTALL_ENTRY_ENTRY_SETTINGS_TYPE_H

#include "relay/relay.h"
#include "settings/settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// Values of the TOML file; the table of entrySettings() describes them.
struct entry_settings {
  std::string Host;
  std::string FailureDomain;
  std::string Fleet;
  std::string FleetKeyFile;
  std::string OperatorKeyHash;
  std::string CallersAddress;
  std::string OperatorsAddress;
  std::string AnnouncementsAddress;
  std::string GossipAddress;
  std::string AddressFile;
  std::string GossipKeyFile;
  std::vector<std::string> GossipSeeds;
  std::vector<std::string> AnnouncementPeers;
  std::vector<std::string> ControlAddresses;
  std::string DeclarationFile;
  std::string Interface;
  std::string BackendSource;
  std::string WorkAddress;
  std::uint32_t ControlPort{0};
  double ColdOvershoot{1};
  double ColdTolerance{0};
  std::optional<double> RetryReserve;
  bool OrderOverEntries{false};
  std::optional<double> RetryShare;
  std::chrono::milliseconds RetryWindow{};
  std::chrono::milliseconds ControlRenew{};
  std::chrono::milliseconds ControlAnswer{};
  std::chrono::milliseconds ControlConnect{};
  std::chrono::milliseconds ReadyWait{};
  std::chrono::milliseconds DrainTime{};
  std::chrono::milliseconds KillAfter{};
  std::string LogLevel;
  std::int64_t HeaderBytes{0};
  std::int64_t MaxConnections{0};
  std::int64_t MaxEventBytes{0};
  std::int64_t HeldAnswerBytes{0};
  std::int64_t BodyMemory{0};
  std::int64_t AnswerMemory{0};
  double MemoryMegabytes{0}; ///< 0: not known.
  std::chrono::milliseconds HeaderTimeout{};
  std::chrono::milliseconds BodyTimeout{};
  std::chrono::milliseconds IdleTimeout{};
  std::chrono::milliseconds WriteStall{};
  std::chrono::milliseconds ConnectTimeout{};
  std::chrono::milliseconds UserTimeout{};
  std::chrono::milliseconds CancelTimeout{};
  std::chrono::milliseconds BackendIdle{};
  std::chrono::milliseconds HoldUnused{};
  std::chrono::milliseconds HoldRelease{};
  std::chrono::milliseconds ShutdownLimit{};
};

/// @return The table that parses and describes the settings.
settings_table<entry_settings> entrySettings();

/// @return The settings that limit the relay.
relay_limits limitsOf(const entry_settings &Settings);

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_ENTRY_SETTINGS_TYPE_H
