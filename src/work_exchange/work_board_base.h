/** @file work_board_base.h Decides whom this entry tells of which work, and when. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_BOARD_BASE_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_BOARD_BASE_H

#include "work_exchange/work_feed_base.h"
#include "work_exchange/work_groups_func.h"
#include "work_exchange/work_ledger_base.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

/**
 * One entry's part in the exchange of work; no socket, no clock, one thread.
 *
 * Entries form groups within their failure domains. The first of a group relays: it sums what its
 * members tell, exchanges sums with the relays of the other groups and tells each member what all
 * others have. So an ordinary entry tells one other and hears from one, and a relay has to do with
 * about twice the square root of their number. Where entries are few each is a group of its own.
 *
 * A relay that falls silent is given up by its members for the next of the group. Whoever is told
 * work as a relay acts as one, so that no agreement is needed: for a moment work may count twice,
 * until what the old relay knew is older than the silence.
 */
class work_board {
public:
  work_board(process_key Process, std::string OwnAddress, const work_share_tuning &Values = {});

  /// All entries that place work; this one may be among them.
  void useEntries(const std::vector<work_entry> &Entries, mono_time Now);
  /// All that this entry has under way; replaces what it had before.
  void setOwn(const std::vector<work_load> &Loads, bool Urgent, mono_time Now);
  /// A report that came from that address.
  void take(const work_report &Report, const std::string &From, mono_time Now);

  /// @return What is to be sent now.
  std::vector<work_datagram> due(mono_time Now);
  /// @return What all other entries have where that changed since the last call, or is to be told
  /// again.
  std::vector<work_load> othersChanged(mono_time Now);
  /// When due() is next to be called though nothing comes.
  [[nodiscard]] mono_time nextWake(mono_time Now) const;

  /// @return How long it takes until all others know what this entry has.
  [[nodiscard]] load_exchange_stats facts() const;
  /// @return Whether this entry relays for others now, or tells all others itself.
  [[nodiscard]] bool relays() const { return Relaying; }

private:
  /// Another entry that has spoken.
  struct sender {
    work_source Source{0};
    std::string Address;
    report_scope Scope{report_scope::Own}; ///< Of its last report.
    incarnation Incarnation;
    std::uint64_t Sequence{0};
    mono_time Heard;
  };
  /// An entry that this one relays for.
  struct member {
    explicit member(const work_share_tuning &Tuning) : Feed(Tuning) {}

    work_feed Feed;
    mono_time ToldAt{mono_time::min()};
  };
  /// What a round tells.
  enum class round_kind : std::uint8_t {
    Regular, ///< What changed, and what is to be told again.
    Urgent,  ///< Only what changed, ahead of its time.
  };

  void noteTime(mono_time Now);
  void forgetAll(mono_time Now);
  void forgetSilent(mono_time Now);
  work_source newSource();
  const sender *accept(const work_report &Report, const std::string &From, mono_time Now);
  void noteUrgent(report_scope Scope);
  void chooseRelay(mono_time Now);
  void useRelay(const std::string &Address, mono_time Now);
  void updateRelaying(mono_time Now);
  void withdraw(mono_time Now, std::vector<work_datagram> &Out);
  [[nodiscard]] bool hasMembers() const;
  [[nodiscard]] const sender *senderAt(const std::string &Address) const;
  [[nodiscard]] std::vector<std::string> relaysToTell() const;
  [[nodiscard]] std::vector<std::string> membersToTell(mono_time Now) const;
  [[nodiscard]] bool inGroup(work_source Source) const;
  void tellRelay(mono_time Now, round_kind Round, std::vector<work_datagram> &Out);
  void tellRelays(mono_time Now, round_kind Round, std::vector<work_datagram> &Out);
  void tellMembers(mono_time Now, round_kind Round, std::vector<work_datagram> &Out);
  work_report report(report_scope Scope, round_kind Round, std::vector<work_load> Loads);

  /// @return What the receivers of the feed are to be told in this round; one report without loads
  /// where they have heard nothing for longer than SignsEach.
  template <typename Filter>
  std::vector<work_report> reports(work_feed &Feed, report_scope Scope, round_kind Round,
                                   mono_duration SignsEach, mono_time &ToldAt, mono_time Now,
                                   const Filter &Counts) {
    std::vector<work_report> Reports;
    const bool Regular = Round == round_kind::Regular;
    const bool Sign = Regular && (ToldAt == mono_time::min() || Now - ToldAt >= SignsEach);
    while (Reports.size() < MaxRoundReports) {
      auto Loads = Feed.next(Ledger, Now, Counts, Regular, MaxReportLoads);
      const bool Full = Loads.size() >= MaxReportLoads;
      if (!Loads.empty() || (Sign && Reports.empty()))
        Reports.push_back(report(Scope, Round, std::move(Loads)));
      if (!Full)
        break;
    }
    if (!Reports.empty())
      ToldAt = Now;
    return Reports;
  }

  process_key Self;
  std::string Own; ///< Address.
  work_share_tuning Tuning;
  work_group Group; ///< This entry's.
  std::vector<work_group> OtherGroups;
  std::string Relay; ///< Empty: this entry itself.
  /// Entries that are to forget what this one told them, and when they are to be told so.
  std::map<std::string, mono_time> Withdrawals;
  mono_time RelayToldAt{mono_time::min()};
  mono_time GroupToldAt{mono_time::min()};
  bool Relaying{true};
  mono_time RelayHeard{mono_time::min()}; ///< Or when it was chosen.
  std::set<std::string> Suspects;         ///< Relays that were given up.
  mono_time KnowsSince{mono_time::min()}; ///< Reports have been taken since then.
  work_ledger Ledger;
  std::vector<incarnation> OwnIncarnations; ///< Backend servers at which this entry has work.
  std::map<host_name, sender> Senders;
  std::vector<report_scope> Scopes; ///< By source.
  std::vector<work_source> FreeSources;
  work_feed RelayFeed;
  work_feed GroupFeed;
  work_feed PlacementFeed;
  std::map<std::string, member> Members; ///< By address.
  std::uint64_t Sequence{0};
  mono_time LastSeen{mono_time::min()};
  mono_time LastRound{mono_time::min()};
  mono_duration RoundGap{0}; ///< Least time from the last round to the next one.
  bool Pending{false};       ///< Something changed that others are to be told of.
  bool UrgentOwn{false};     ///< To be told at once to a relay, or to the relays.
  bool UrgentMembers{false}; ///< To be told at once to members.
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_BOARD_BASE_H
