/** @file modelled_fleet.h A leader's desk before many entries, on a link of a given rate. */
#ifndef POLLENSTALL_TESTS_CONTROL_MODELLED_FLEET_H
#define POLLENSTALL_TESTS_CONTROL_MODELLED_FLEET_H

#include "control_link/entry_freshness_base.h"
#include "control_link/silence_watch_base.h"
#include "entry_desk_base.h"
#include "link_model.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// Sizes, rates and times of the hosts.
struct fleet_plan {
  std::size_t Entries{59};
  std::size_t Followers{4};
  link_rates ToEntries{170e6 / 8, 20e6 / 8, std::chrono::microseconds(500)};
  in_force_options Leases;
  mono_duration RenewEvery{std::chrono::milliseconds(300)};
  mono_duration AnswerWithin{std::chrono::milliseconds(900)};
  mono_duration Reconnect{std::chrono::milliseconds(50)};
  /// An entry reads and checks this much text in a second: a text of 0.88 MB in 5.7 ms of a core
  /// of which it has 0.12.
  double ReadBytesPerSecond{0.88e6 / 0.0057 * 0.12};
  mono_duration Heartbeat{std::chrono::milliseconds(50)};
};

/// What became of one change.
struct change_course {
  std::optional<mono_time> Accepted;
  std::optional<mono_time> Acknowledged;
  std::map<std::size_t, mono_time> InUse; ///< By entry; a later change counts for this one too.
};

/**
 * The desk is the product's; entries keep their declaration and give up a silent host by the
 * product's rules; the log's entries and heartbeats to followers share the leader's link.
 */
class modelled_fleet {
public:
  explicit modelled_fleet(const fleet_plan &Wanted);

  /// The operator's change goes into the log now. @return Its revision.
  revision change(const std::string &Text);
  void runFor(mono_duration Span);
  /// Nothing from or to this entry passes from now on, and it does not know it.
  void cutOff(std::size_t Entry) { Entries[Entry].CutOff = true; }

  [[nodiscard]] const change_course &course(revision Change) const { return Courses.at(Change); }
  /// @return From the acceptance until the last entry acts on the change; nothing where one never
  /// did.
  [[nodiscard]] std::optional<mono_duration> tookEverywhere(revision Change) const;
  /// @return Between two heartbeats at a follower, at most.
  [[nodiscard]] mono_duration longestHeartbeatGap() const { return LongestGap; }
  /// @return Connections that entries gave up.
  [[nodiscard]] std::size_t lostControl() const { return Lost; }
  /// @return Spans of an entry without a lease, looked at every 10 ms.
  [[nodiscard]] std::size_t unreadyLooks() const { return UnreadyLooks; }
  /// @return Looks at which an entry could act on an older declaration than the promise allows.
  [[nodiscard]] std::size_t brokenPromises() const { return BrokenPromises; }
  [[nodiscard]] std::uint64_t bytesSent() const { return Link.bytesSent(); }
  [[nodiscard]] mono_time now() const { return Agenda.now(); }

private:
  struct entry {
    process_key Process;
    connection_number Connection;
    bool CutOff{false};
    entry_freshness Freshness;
    silence_watch Silence;
    std::optional<revision> Holds;
    std::map<std::uint64_t, mono_time> Asks;
    std::uint64_t LastAsk{0};
    mono_time NextRenew{};
    mono_time ReadingUntil{};
  };

  entry_desk_hooks hooks();
  void look();
  void beat();
  void connect(std::size_t Number);
  void renew(std::size_t Number);
  void ask(std::size_t Number, link_request Request);
  void reply(const hub_order &Order);
  void take(std::size_t Number, const link_reply &Reply);
  void takeText(std::size_t Number, revision Revision);
  void committed(revision Change, const std::string &Text);
  [[nodiscard]] std::uint64_t followerStream(std::size_t Number) const;

  fleet_plan Plan;
  agenda Agenda;
  link_model Link;
  control_state State{control_limits{}};
  entry_desk Desk;
  std::vector<entry> Entries;
  std::map<connection_number, std::size_t> Owners;
  connection_number LastConnection;
  revision LastChange;
  std::map<revision, change_course> Courses;
  std::vector<mono_time> Beats; ///< The last that each follower got.
  mono_duration LongestGap{0};
  std::size_t Lost{0};
  std::size_t UnreadyLooks{0};
  std::size_t BrokenPromises{0};
};

/// @return A declaration of so many routes, as operators' tools write them; names are drawn anew
/// for each route, so that it is no better to compress than theirs.
std::string declarationOfRoutes(std::size_t Routes);

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONTROL_MODELLED_FLEET_H
