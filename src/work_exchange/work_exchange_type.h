/** @file work_exchange_type.h What entries tell each other of their work. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_EXCHANGE_TYPE_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_EXCHANGE_TYPE_H

#include "core/core.h"
#include "placement/placement_type.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// One of the entries that place work.
struct work_entry {
  std::string Address;        ///< "IP:port" of its work reports.
  failure_domain_name Domain; ///< Entries of one domain relay for each other.

  auto operator<=>(const work_entry &) const = default;
};

/// Whose work a report tells of.
enum class report_scope : std::uint8_t {
  Own,    ///< The sender's; to the entry that relays for it.
  Group,  ///< That of the sender and of all that it relays for; to the other relays.
  Others, ///< That of all entries but the receiver; from the entry that relays for it.
  None,   ///< What the sender told the receiver counts no longer: it tells another one now.
};

/// A part of what a sender knows: backend servers that are not named are as they were told before.
struct work_report {
  process_key Sender;
  std::uint64_t Sequence{0}; ///< Rises within a life; a late datagram is dropped.
  report_scope Scope{report_scope::Own};
  bool Urgent{false}; ///< Tells of choices that are acted upon in a moment: passed on at once.
  std::vector<work_load> Loads;
};

/// A report on its way.
struct work_datagram {
  std::string To;
  work_report Report;
};

/// Backend servers in one report; of more the next reports of the round tell.
constexpr std::size_t MaxReportLoads = 56;
/// Reports of one round to one receiver; what is left waits for the next round.
constexpr std::size_t MaxRoundReports = 4;

/// How work is told. Each span but the first is well within the silence after which what was told
/// counts no longer.
struct work_share_tuning {
  /// What was told counts no longer after this; that of placement.
  mono_duration Silence{placement_tuning().PeerLoadTimeout};
  /// Up to so many entries each tells all others itself: a report is then as old as its way.
  std::size_t MostDirect{16};
  /// Least time between two reports of an entry to those that it tells; longer by as much for each
  /// one of them, so that one entry sends no more than a thousand datagrams a second.
  mono_duration Interval{std::chrono::milliseconds(10)};
  mono_duration IntervalPerReceiver{std::chrono::microseconds(1'500)};
  /// From one entry to the next one, with the turn in which it is taken.
  mono_duration Way{std::chrono::milliseconds(3)};
  /// What did not change is told again after this, for receivers that missed a datagram.
  mono_duration Refresh{std::chrono::milliseconds(400)};
  /// A relay speaks at least this often to those that it relays for.
  mono_duration RelaySigns{std::chrono::milliseconds(100)};
  /// A relay that is silent for longer is given up for the next one.
  mono_duration RelaySilence{std::chrono::milliseconds(300)};
  /// An entry that tells another relay lets the old one know after this: before, the new one may
  /// not have passed on what it was told, and the work would count nowhere.
  mono_duration WithdrawAfter{std::chrono::milliseconds(150)};
  /// A process that did nothing for so long was suspended: what it knows is of another time.
  mono_duration Suspended{std::chrono::milliseconds(700)};
  /// Reading that is this much off what the receiver thinks is told anew, where it is also off by
  /// the part below.
  std::uint32_t ReadStepMs{20};
  std::uint32_t ReadPart{8}; ///< The eighth part.
};

/// What all other entries together have, where that changed.
struct others_work {
  std::vector<work_load> Changed;
  load_exchange_stats Facts;
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_EXCHANGE_TYPE_H
