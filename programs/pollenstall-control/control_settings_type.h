/** @file control_settings_type.h Settings of a control host. */
#ifndef POLLENSTALL_CONTROL_CONTROL_SETTINGS_TYPE_H
#define POLLENSTALL_CONTROL_CONTROL_SETTINGS_TYPE_H

#include "consensus/consensus.h"
#include "control_state/control_state.h"
#include "settings/settings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenstall {

/// As the file gives them; docs are in the table.
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
  std::vector<std::string> Seeds; ///< Addresses whose hosts may be control hosts.
  std::uint32_t SeedPort{0};      ///< Where those hosts listen for peers; 0: as Seeds says.
  bool SelfManaged{false};        ///< Members are let in and replaced without a person.
  std::uint32_t ToleratedLosses{0};
  std::string Interface; ///< Of the operators' address beside the own calls.
  std::chrono::milliseconds NoticeInterval{0};
  bool Bootstrap{false};
  std::string OperatorKeyHashFile;
  std::chrono::milliseconds Heartbeat{0};
  std::chrono::milliseconds Election{0};
  std::chrono::milliseconds EntryLease{0};
  std::chrono::milliseconds ConfirmWithin{0};
  std::chrono::milliseconds ApplyWithin{0};
  std::chrono::milliseconds RevokeWithin{0};
  double LinkMegabits{0};
  std::uint32_t SnapshotEvery{0};
  std::string GossipAddress; ///< Empty: no engines are known, and no order is sent.
  std::vector<std::string> GossipSeeds;
  std::string GossipKeyFile;
  std::uint32_t LoadsAtOnce{0};
  std::uint32_t LoadsPerMinute{0};
  std::string LogLevel;
};

/// @return The table of every setting.
settings_table<control_settings> controlSettingsTable();

/// @return The id and address that "id=IP:port" names, or nothing.
std::optional<std::pair<member_id, std::string>> peerFromText(const std::string &Text);

/// @return The seeds with the port on which control hosts listen for each other.
std::vector<std::string> seedAddresses(const control_settings &Settings);

/// @return Voters that bear the tolerated losses; 0 where a person manages the members.
std::size_t targetVoters(const control_settings &Settings);

/**
 * @return Whether this host may found the log. With seeds every host of a first start is allowed
 * to, so it is the one with the least address among the seeds: all were given the same ones.
 */
bool isFounder(const control_settings &Settings);

/// @return Bounds and times of the log that follow from the settings.
replica_options replicaOptions(const control_settings &Settings);

/// @return Times of the entries' leases.
in_force_options inForceOptions(const control_settings &Settings);

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_CONTROL_SETTINGS_TYPE_H
