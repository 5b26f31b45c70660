/** @file simulated_fleet.h A leader's entry server with many entries on a link of a given rate. */
#ifndef POLLENSTALL_TESTS_CONTROL_SIMULATED_FLEET_H
#define POLLENSTALL_TESTS_CONTROL_SIMULATED_FLEET_H

#include "control_link/declaration_lease_base.h"
#include "control_link/receive_idle_monitor_base.h"
#include "directory/directory.h"
#include "entry_server_base.h"
#include "simulated_link.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

/// Sizes, rates and intervals of the simulated hosts.
struct simulated_fleet_options {
  std::size_t Entries{59};
  std::size_t Followers{4};
  std::size_t Backends{0}; ///< Backend servers in the leader's list.
  link_rates ToEntries{170e6 / 8, 20e6 / 8, std::chrono::microseconds(500)};
  in_force_options Leases;
  mono_duration EvacuateWithin{std::chrono::seconds(5)};
  mono_duration LeaseRenewInterval{std::chrono::milliseconds(300)};
  mono_duration AnswerTimeout{std::chrono::milliseconds(900)};
  mono_duration Reconnect{std::chrono::milliseconds(50)};
  /// Rate at which an entry parses and validates text: 0.88 MB in 5.7 ms of a core, of which it has
  /// 0.12.
  double ReadBytesPerSecond{0.88e6 / 0.0057 * 0.12};
  mono_duration Heartbeat{std::chrono::milliseconds(50)};
};

/// Progress of one change.
struct change_progress {
  std::optional<mono_time> Accepted;
  std::optional<mono_time> Acknowledged;
  std::map<std::size_t, mono_time> InUse; ///< By entry; a later revision includes this one.
};

/// Progress of one evacuation or restoration.
struct evacuation_times {
  mono_time Sent{};
  std::optional<mono_time> Accepted;
  std::optional<mono_time> Acknowledged;
};

/**
 * Uses the real entry_server. Entries use the real declaration_lease and receive_idle_monitor. The
 * log's entries and heartbeats to followers share the leader's link.
 */
class simulated_fleet {
public:
  explicit simulated_fleet(const simulated_fleet_options &Settings);

  /// Proposes an operator's change to the log now. @return Its revision.
  revision change(const std::string &Text);
  /// Proposes an evacuation, or a restoration, to the log now. @return The version of the list.
  std::uint64_t setEvacuation(const std::string &Domain, bool Undo = false);
  void runFor(mono_duration Span);
  /// Drops all messages from and to this entry from now on.
  void partition(std::size_t Entry) { Entries[Entry].Partitioned = true; }

  [[nodiscard]] const change_progress &progress(revision Change) const {
    return Progresses.at(Change);
  }
  /// @return Time from the acceptance until the last entry uses the change; nothing if one never
  /// did.
  [[nodiscard]] std::optional<mono_duration> timeToAllEntries(revision Change) const;
  /// @return Longest time between two heartbeats at a follower.
  [[nodiscard]] mono_duration longestHeartbeatGap() const { return LongestGap; }
  /// @return Number of connections that entries closed as idle.
  [[nodiscard]] std::size_t lostConnections() const { return Lost; }
  /// @return Number of samples, one per entry every 10 ms, at which an entry had no lease.
  [[nodiscard]] std::size_t samplesWithoutLease() const { return SamplesWithoutLease; }
  /// @return Number of samples at which an entry could act on a declaration older than promised.
  [[nodiscard]] std::size_t staleSamples() const { return StaleSamples; }
  [[nodiscard]] const evacuation_times &evacuation(std::uint64_t Version) const {
    return EvacuationTimes.at(Version);
  }
  /// @return Number of entries with a lease that act on an older list than this version.
  [[nodiscard]] std::size_t entriesBehind(std::uint64_t Version) const;
  /// @return Number of samples at which an entry with a lease acted on an older list than promised.
  [[nodiscard]] std::size_t staleEvacuationSamples() const { return StaleEvacuationSamples; }
  /// @return Time since the start until the entry that waited longest knew a backend server, or all
  /// of them; nothing if an entry does not yet.
  [[nodiscard]] std::optional<mono_duration> timeToFirstBackend() const {
    return longestTime(&entry::FirstBackendAt);
  }
  [[nodiscard]] std::optional<mono_duration> timeToAllBackends() const {
    return longestTime(&entry::AllBackendsAt);
  }
  [[nodiscard]] std::uint64_t bytesSent() const { return Link.bytesSent(); }
  [[nodiscard]] mono_time now() const { return Clock.now(); }

private:
  struct entry {
    process_key Process;
    connection_number Connection;
    bool Partitioned{false};
    declaration_lease Lease;
    receive_idle_monitor IdleMonitor;
    std::optional<revision> HeldRevision;
    std::map<std::uint64_t, mono_time> UnansweredRenewals;
    std::uint64_t LastRenewId{0};
    mono_time NextRenew{};
    mono_time ReadingUntil{};
    std::optional<std::uint64_t> Evacuations; ///< Version of the list received and in use.
    std::set<incarnation> Backends;
    std::optional<mono_time> FirstBackendAt;
    std::optional<mono_time> AllBackendsAt;
  };

  [[nodiscard]] std::optional<mono_duration>
  longestTime(std::optional<mono_time> entry::*Moment) const;
  void handleBackends(entry &Entry, const link_backends &List);

  entry_server_callbacks hooks();
  void sample();
  void sampleEvacuations(mono_time Now);
  void sendHeartbeats();
  void connect(std::size_t Index);
  void renew(std::size_t Index);
  void sendRequest(std::size_t Index, link_request Request);
  void deliverReply(const outgoing_reply &Outgoing);
  void handleReply(std::size_t Index, const link_reply &Reply);
  void handleText(std::size_t Index, revision Revision);
  void committed(revision Change, const std::string &Text);
  [[nodiscard]] std::uint64_t followerStream(std::size_t Index) const;

  simulated_fleet_options Options;
  simulated_clock Clock;
  simulated_link Link;
  control_state State{control_limits{}};
  entry_server EntryServer;
  std::vector<entry> Entries;
  backend_directory Directory{directory_options{}};
  mono_time Start;
  std::map<connection_number, std::size_t> Owners;
  connection_number LastConnection;
  revision LastChange;
  std::map<revision, change_progress> Progresses;
  std::vector<mono_time> LastHeartbeats; ///< Time of the last one at each follower.
  mono_duration LongestGap{0};
  std::size_t Lost{0};
  std::size_t SamplesWithoutLease{0};
  std::size_t StaleSamples{0};
  std::uint64_t LastEvacuation{0};
  std::map<std::uint64_t, evacuation_times> EvacuationTimes; ///< By version of the list.
  std::size_t StaleEvacuationSamples{0};
};

/// @return A declaration of this many routes as operators' tools write them. Names are random for
/// each route, so that it compresses no better than real ones.
std::string declarationOfRoutes(std::size_t Routes);

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONTROL_SIMULATED_FLEET_H
