/** @file control_settings_type.h Settings of a control host. */
#ifndef POLLENSTALL_CONTROL_CONTROL_SETTINGS_TYPE_H
#define POLLENSTALL_CONTROL_CONTROL_SETTINGS_TYPE_H

#include "consensus/consensus.h"
#include "control_state/control_state.h"
#include "settings/settings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// The settings as in the file; the table documents them.
struct control_settings {
  std::string Host;
  std::string Domain;
  std::string Fleet;
  std::uint32_t MemberId{0};
  std::string DataFolder;
  std::string ListenPeers;
  std::string ListenEntries;
  std::string ListenOperators;
  std::string AddressFile;
  std::vector<std::string> Peers;
  std::vector<std::string> Seeds; ///< Addresses of hosts that may be control hosts.
  std::uint32_t SeedPort{0};      ///< Port for peers on those hosts; 0 uses the port in Seeds.
  bool SelfManaged{false};        ///< Members are admitted and replaced automatically.
  std::uint32_t ToleratedLosses{0};
  std::uint32_t ToleratedDomains{0};
  std::uint32_t ToleratedRegions{0};
  std::string Interface; ///< Calls at the operators' address in addition to its own.
  std::chrono::milliseconds NoticeInterval{0};
  bool Bootstrap{false};
  std::string OperatorKeyHashFile;
  std::chrono::milliseconds Heartbeat{0};
  std::chrono::milliseconds Election{0};
  std::chrono::milliseconds EntryLease{0};
  std::chrono::milliseconds ConfirmWithin{0};
  std::chrono::milliseconds ApplyWithin{0};
  std::chrono::milliseconds RevokeWithin{0};
  std::chrono::milliseconds EvacuateWithin{0}; ///< 0: as ApplyWithin.
  double MemoryMegabytes{0};
  double LinkMegabits{0};
  std::uint32_t SnapshotEvery{0};
  std::string GossipAddress; ///< If empty, no engines are known and no order is sent.
  std::vector<std::string> GossipSeeds;
  std::string GossipKeyFile;
  std::uint32_t LoadsAtOnce{0};
  std::uint32_t LoadsPerMinute{0};
  std::string LogLevel;
};

/// @return The table of all settings.
settings_table<control_settings> controlSettingsTable();

/// @return The id and the address of "id=IP:port", or nothing.
std::optional<std::pair<member_id, std::string>> peerFromText(const std::string &Text);

/// @return The seeds, with the port on which control hosts listen for peers.
std::vector<std::string> seedAddresses(const control_settings &Settings);

/// @return The losses that the log must survive; nothing if operators manage the members.
std::optional<loss_tolerance> toleratedLosses(const control_settings &Settings);

/**
 * @return Whether this host may bootstrap the log. With seeds, every host of the first start has
 * bootstrap set. The one with the lowest address among the seeds does it, since all have the same
 * seeds.
 */
bool isFounder(const control_settings &Settings);

/// @return Limits and timeouts of the log, derived from the settings.
replica_options replicaOptions(const control_settings &Settings);

/// @return Durations of the entries' leases.
in_force_options inForceOptions(const control_settings &Settings);

/// @return in_force_options::ApplyWithin for evacuations of failure domains.
mono_duration evacuateWithin(const control_settings &Settings);

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_CONTROL_SETTINGS_TYPE_H
