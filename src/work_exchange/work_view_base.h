/** @file work_view_base.h Decides which work this entry reports to which other entries, and when.
 */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_VIEW_BASE_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_VIEW_BASE_H

#include "work_exchange/waiting_board_base.h"
#include "work_exchange/work_feed_base.h"
#include "work_exchange/work_groups_func.h"
#include "work_exchange/work_tracker_base.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

/**
 * One entry's view of the work of all entries, and its side of the protocol that exchanges it.
 * It uses no socket and no clock and is not thread-safe.
 *
 * Entries form groups within their failure domains. The first entry of a group is its relay: it
 * sums the work of its members, exchanges sums with the relays of the other groups and sends each
 * member the work of all other entries. An ordinary entry thus communicates with one other entry,
 * and a relay with about twice the square root of the number of entries. If there are few entries,
 * each forms a group of its own.
 *
 * The members replace an unresponsive relay by the next entry of the group. An entry acts as a
 * relay as soon as another one reports its own work to it, so that no agreement is needed. For a
 * short time work may count twice, until the old relay's reports expire.
 */
class work_view {
public:
  work_view(process_key Process, std::string ReportAddress, const work_share_tuning &Values = {});

  /// Sets all entries that place work; this entry may be among them.
  void setEntries(const std::vector<work_entry> &Entries, mono_time Now);
  /// Replaces the loads that this entry has in flight.
  void setOwnLoads(const std::vector<work_load> &Loads, bool Urgent, mono_time Now);
  /// Replaces the counts of requests that wait at this entry.
  void setOwnWaiting(const std::vector<waiting_load> &Loads, mono_time Now);
  /// Handles a report that was received from an address.
  void receive(const work_report &Report, const std::string &From, mono_time Now);

  /// @return The datagrams to send now.
  std::vector<work_datagram> dueDatagrams(mono_time Now);
  /// @return The summed loads of all other entries at those backend servers where they changed
  /// since the last call, or where a refresh is due.
  std::vector<work_load> changedPeerLoads(mono_time Now);
  /// @return The requests that wait at all other entries, by service, if they changed since the
  /// last call or a refresh is due.
  std::optional<std::vector<waiting_load>> changedPeerWaiting(mono_time Now);
  /// @return When dueDatagrams() must be called next if nothing happens before.
  [[nodiscard]] mono_time nextWake(mono_time Now) const;

  /// @return The number of entries, and the delays until all others know this entry's work.
  [[nodiscard]] load_exchange_properties exchangeStats() const;
  /// @return Whether this entry currently acts as its group's relay. If there are few entries, each
  /// does, since it is the only one of its group.
  [[nodiscard]] bool isRelay() const { return ActsAsRelay; }

private:
  /// Another entry from which reports were received.
  struct sender {
    work_source_id Source{0};
    std::string Address;
    report_scope Scope{report_scope::Own}; ///< Of its last report.
    incarnation Incarnation;
    std::uint64_t Sequence{0};
    mono_time ReceivedAt;
  };
  /// An entry for which this one relays.
  struct member {
    explicit member(const work_share_tuning &Tuning) : Feed(Tuning), Waiting(Tuning) {}

    work_feed Feed;
    waiting_feed Waiting;
    mono_time LastReportAt{mono_time::min()};
  };
  /// Which loads a round sends.
  enum class round_kind : std::uint8_t {
    Regular, ///< Changed loads and due refreshes.
    Urgent,  ///< Changed loads only, before the next regular round.
  };

  void detectSuspension(mono_time Now);
  void resetState(mono_time Now);
  void expireStale(mono_time Now);
  work_source_id allocateSource();
  const sender *accept(const work_report &Report, const std::string &From, mono_time Now);
  void markUrgent(report_scope Scope);
  void chooseRelay(mono_time Now);
  void switchRelay(const std::string &Address, mono_time Now);
  void updateRole(mono_time Now);
  void sendWithdrawals(mono_time Now, std::vector<work_datagram> &Datagrams);
  [[nodiscard]] bool hasMembers() const;
  [[nodiscard]] const sender *senderAt(const std::string &Address) const;
  [[nodiscard]] std::vector<std::string> relayReceivers() const;
  [[nodiscard]] std::vector<std::string> memberReceivers(mono_time Now) const;
  [[nodiscard]] bool inGroup(work_source_id Source) const;
  void reportToRelay(mono_time Now, round_kind Round, std::vector<work_datagram> &Datagrams);
  void reportToRelays(mono_time Now, round_kind Round, std::vector<work_datagram> &Datagrams);
  void reportToMembers(mono_time Now, round_kind Round, std::vector<work_datagram> &Datagrams);
  void reportWaiting(mono_time Now, std::vector<work_datagram> &Datagrams);
  void receiveWaiting(const work_report &Report, const sender &Sender, mono_time Now);
  work_report makeReport(report_scope Scope, round_kind Round, std::vector<work_load> Loads);

  /// @return The reports to send to the feed's receivers in this round. If there are no loads to
  /// send, a regular round returns one empty report if nothing was sent for HeartbeatInterval, else
  /// none.
  template <typename Filter>
  std::vector<work_report> makeReports(work_feed &Feed, report_scope Scope, round_kind Round,
                                       mono_duration HeartbeatInterval, mono_time &LastReportAt,
                                       mono_time Now, const Filter &IncludesSource) {
    std::vector<work_report> Reports;
    const bool Regular = Round == round_kind::Regular;
    const bool HeartbeatDue =
        Regular && (LastReportAt == mono_time::min() || Now - LastReportAt >= HeartbeatInterval);
    while (Reports.size() < MaxRoundReports) {
      auto Loads = Feed.nextLoads(Tracker, Now, IncludesSource, Regular, MaxReportLoads);
      const bool Full = Loads.size() >= MaxReportLoads;
      if (!Loads.empty() || (HeartbeatDue && Reports.empty()))
        Reports.push_back(makeReport(Scope, Round, std::move(Loads)));
      if (!Full)
        break;
    }
    if (!Reports.empty())
      LastReportAt = Now;
    return Reports;
  }

  process_key Self;
  std::string OwnAddress;
  work_share_tuning Tuning;
  work_group Group; ///< The group of this entry.
  std::vector<work_group> OtherGroups;
  std::string RelayAddress; ///< Empty: this entry itself.
  /// Entries to which a Withdrawn report must be sent, and when.
  std::map<std::string, mono_time> Withdrawals;
  mono_time LastRelayReportAt{mono_time::min()};
  mono_time LastGroupReportAt{mono_time::min()};
  bool ActsAsRelay{true};
  mono_time RelayReceivedAt{mono_time::min()}; ///< Last report of the relay, or when it was chosen.
  std::set<std::string> FailedRelays;          ///< Unresponsive relays that were replaced.
  mono_time ActiveSince{mono_time::min()}; ///< First activity, or the end of the last suspension.
  work_tracker Tracker;
  std::vector<incarnation> OwnIncarnations; ///< Backend servers at which this entry has work.
  std::map<host_name, sender> Senders;
  std::vector<report_scope> ScopeBySource;
  std::vector<work_source_id> FreeSources;
  work_feed RelayFeed;
  work_feed GroupFeed;
  work_feed PlacementFeed;
  std::map<std::string, member> Members; ///< By address.
  waiting_board Waiting;
  waiting_feed RelayWaiting;
  waiting_feed GroupWaiting;
  waiting_feed PlacementWaiting;
  std::uint64_t Sequence{0};
  mono_time LastActiveAt{mono_time::min()};
  mono_time LastRoundAt{mono_time::min()};
  mono_duration RoundInterval{0}; ///< Minimum time from the last round to the next one.
  bool HasChanges{false};         ///< Other entries must be informed of a change.
  bool UrgentToRelays{false};     ///< Report to the relay, or to all relays, at once.
  bool UrgentToMembers{false};    ///< Report to the members at once.
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_VIEW_BASE_H
