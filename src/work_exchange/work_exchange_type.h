/** @file work_exchange_type.h Reports by which entries share their work, and tuning. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_EXCHANGE_TYPE_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_EXCHANGE_TYPE_H

#include "core/core.h"
#include "fleet_queue/fleet_queue.h"
#include "placement/placement_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// An entry that places work.
struct work_entry {
  std::string Address;        ///< "IP:port" that receives its work reports.
  failure_domain_name Domain; ///< An entry's relay is in the same domain.

  auto operator<=>(const work_entry &) const = default;
};

/// Whose work a report contains.
enum class report_scope : std::uint8_t {
  Own,       ///< The work of the sender; sent to its relay.
  Group,     ///< The work of the sender and of all its members; sent to the other relays.
  Others,    ///< The work of all entries but the receiver; sent by its relay.
  Withdrawn, ///< Revokes the sender's earlier reports, since it now reports to another entry.
};

/// An incremental report: backend servers that are not listed have not changed.
struct work_report {
  process_key Sender;
  std::uint64_t Sequence{0}; ///< Rises within an incarnation; overtaken reports are dropped.
  report_scope Scope{report_scope::Own};
  bool Urgent{false}; ///< Contains work that is about to start; relays forward it at once.
  std::vector<work_load> Loads;
  /// Set in reports of waiting requests, which contain no loads: all requests within the scope that
  /// wait, by service.
  std::optional<std::vector<waiting_load>> Waiting{};
};

/// A report and its receiver.
struct work_datagram {
  std::string To;
  work_report Report;
};

/// Maximum number of backend servers in one report; the rest go into further reports of the round.
constexpr std::size_t MaxReportLoads = 56;
/// Maximum number of reports to one receiver in one round; the rest wait for the next round.
constexpr std::size_t MaxRoundReports = 4;

/// Maximum number of services in a report of waiting requests; others are left out.
constexpr std::size_t MaxWaitingServices = 16;

/// Tuning of the work exchange. All other durations must be well below ReportLifetime.
struct work_share_tuning {
  /// Reported loads expire after this time. Placement ignores loads of peers after the same time.
  mono_duration ReportLifetime{placement_tuning().PeerLoadTimeout};
  /// Up to this number of entries, each reports to all others directly, without a relay's delay.
  std::size_t MaxDirectEntries{16};
  /// Minimum time between two rounds of an entry. The time also grows with the number of datagrams
  /// in a round, so that the regular rounds of an entry that sends changes contain at most about
  /// 670 datagrams a second.
  mono_duration MinRoundInterval{std::chrono::milliseconds(10)};
  mono_duration RoundIntervalPerDatagram{std::chrono::microseconds(1'500)};
  /// Delay from one entry to the next, including its processing there.
  mono_duration HopDelay{std::chrono::milliseconds(3)};
  /// Unchanged loads are sent again after this time, for receivers that missed a datagram.
  mono_duration RefreshInterval{std::chrono::milliseconds(400)};
  /// Minimum time between two reports of waiting requests to a receiver. A slot is in use for
  /// seconds, so that the counts change little in this time.
  mono_duration WaitingInterval{std::chrono::milliseconds(20)};
  /// A relay sends a report to its members at least this often.
  mono_duration RelayHeartbeat{std::chrono::milliseconds(100)};
  /// A relay that has been unresponsive for longer than this is replaced by the next entry of
  /// its group.
  mono_duration RelayTimeout{std::chrono::milliseconds(300)};
  /// An entry that has switched relays sends a withdrawal to the old one after this delay. Before
  /// that, the new relay may not have forwarded the entry's work, which would then count nowhere.
  mono_duration WithdrawDelay{std::chrono::milliseconds(150)};
  /// A process that was inactive for longer than this was suspended, and its state is stale.
  mono_duration SuspensionThreshold{std::chrono::milliseconds(700)};
  /// A load's PrefillMs is sent again if it differs from the receiver's estimate by more than this
  /// and by more than the fraction below.
  std::uint32_t MinPrefillChangeMs{20};
  std::uint32_t PrefillChangeDivisor{8}; ///< An eighth of the load's PrefillMs.
};

/// Changes of the summed work of all other entries.
struct peer_work_update {
  std::vector<work_load> ChangedLoads;
  load_exchange_properties ExchangeStats;
  /// Requests that wait at all other entries, by service; absent if they have not changed.
  std::optional<std::vector<waiting_load>> Waiting{};
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_EXCHANGE_TYPE_H
