/** @file fake_cluster_base.h Replicas over a network and disks that misbehave, in simulated time.
 */
#ifndef POLLENSTALL_TESTS_CONSENSUS_FAKE_CLUSTER_BASE_H
#define POLLENSTALL_TESTS_CONSENSUS_FAKE_CLUSTER_BASE_H

#include "consensus/fake_disk_base.h"
#include "consensus/history_checker_base.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace pollenstall {

using namespace std::chrono_literals;

/// How bad network and disks are.
struct fault_rates {
  double Drop{0};
  double Duplicate{0};
  mono_duration MaxDelay{2ms};
  double LongDelay{0}; ///< Share of messages that take up to LongDelayMax.
  mono_duration LongDelayMax{800ms};
  mono_duration MaxSync{3ms};
};

/// A host: a disk, a clock of its own, and a process that may be down or stopped.
struct fake_host {
  member_id Id;
  std::unique_ptr<fake_disk> Disk;
  std::unique_ptr<replica> Process; ///< Null while it is down.
  std::uint64_t Incarnation{0};     ///< Events of an earlier life are void.
  double ClockRate{1};
  mono_duration ClockOffset{1h};
  mono_duration FrozenUntil{0};
  bool Syncing{false};
  log_index Applied;
  std::set<proposal_position> Proposed; ///< Not answered yet.
  std::map<read_id, log_index> Reads;
};

/// Runs replicas event by event and asks the checker after each one.
class fake_cluster {
public:
  fake_cluster(std::size_t Size, std::uint64_t Seed, const replica_options &Bounds);

  /// Handles events until this much more time has passed.
  void run(mono_duration Span);
  /// Handles events until Holds is true. @return False where Limit passed before.
  bool runUntil(const std::function<bool()> &Holds, mono_duration Limit = 60s);

  void crash(fake_host &Host);
  void start(fake_host &Host);
  void loseDisk(fake_host &Host);
  /// The host comes back with an empty disk as another member, as a host whose id is drawn does.
  void replace(fake_host &Host);
  /// Stops a process as SIGSTOP does: messages wait, the clock goes on.
  void freeze(fake_host &Host, mono_duration Span) { Host.FrozenUntil = Time + Span; }
  /**
   * Sets a running host's clock. It sees that at its next tick, which comes before anything else
   * happens: a clock that loses time while its process is stopped looks like a shorter stop, which
   * the replica cannot tell (docs/design/consensus.md, Limits) and CLOCK_BOOTTIME does not do.
   */
  void jumpClock(fake_host &Host, mono_duration By);
  void cut(std::size_t From, std::size_t To) { Cuts.insert({hosts()[From].Id, hosts()[To].Id}); }
  void cutOff(std::size_t Place);
  void heal();

  bool propose(fake_host &Host);
  void read(fake_host &Host);

  [[nodiscard]] std::vector<fake_host> &hosts() { return Hosts; }
  [[nodiscard]] const history_checker &checker() const { return Checker; }
  [[nodiscard]] random_source &random() { return Random; }
  [[nodiscard]] mono_time clockOf(const fake_host &Host) const;
  [[nodiscard]] replica_status statusOf(const fake_host &Host) const;
  /// @return Who leads with a committed entry of its term, or null.
  [[nodiscard]] fake_host *leader();
  /// @return Whether as many as are to vote do, all of them there, behind one leader and equal.
  [[nodiscard]] bool hasTargetVoters();
  /// @return Whether all hosts vote, follow one leader and have applied the same entries.
  [[nodiscard]] bool isWhole();
  [[nodiscard]] std::string dumps() const;
  [[nodiscard]] std::uint64_t steps() const { return Steps; }
  [[nodiscard]] std::size_t readsServed() const { return ReadsServed; }

  /// Who leads lets everybody in and replaces lost members; needs replica_options::TargetVoters.
  bool SelfManaged{false};
  /// Hosts come back where they were, so that the leader knows whose disk is gone.
  bool SameAddresses{true};
  fault_rates Rates;
  std::function<void(const consensus_message &)> OnSend; ///< Sees every message, also lost ones.

private:
  struct event {
    mono_duration At;
    std::uint64_t Order;
    std::size_t Host;
    std::uint64_t Incarnation;
    std::function<void(fake_host &)> Run;
    bool operator<(const event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  void later(mono_duration Delay, fake_host &Host, std::function<void(fake_host &)> Run);
  void step();
  void tickLater(fake_host &Host);
  void replaceLost(fake_host &Host);
  fake_host *holderOf(member_id Id);
  void carryOut(fake_host &Host);
  void deliverLater(const consensus_message &Message);
  void syncLater(fake_host &Host);
  void checkLeases() const;
  mono_duration upTo(mono_duration Max) { return mono_duration(1 + Random.below(Max.count())); }

  void doAction(fake_host &Host, send_to_member &Action);
  void doAction(fake_host &Host, persist_log &Action);
  void doAction(fake_host &Host, apply_entry &Action);
  void doAction(fake_host &Host, install_snapshot &Action);
  void doAction(fake_host &Host, became_leader &Action);
  void doAction(fake_host &Host, stepped_down &Action);
  void doAction(fake_host &Host, read_ready &Action);
  void doAction(fake_host &Host, read_refused &Action);
  void doAction(fake_host &Host, take_snapshot &Action);
  void doAction(fake_host &Host, admission_requested &Action);
  void doAction(fake_host &Host, members_changed &Action);

  random_source Random;
  replica_options Options;
  std::vector<fake_host> Hosts;
  std::priority_queue<event> Events;
  std::set<std::pair<member_id, member_id>> Cuts;
  history_checker Checker;
  mono_duration Time{0};
  std::uint64_t Order{0};
  std::uint64_t Steps{0};
  std::uint64_t NextPayload{0};
  std::uint64_t NextRead{1};
  std::uint64_t LastId{0};
  std::size_t ReadsServed{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONSENSUS_FAKE_CLUSTER_BASE_H
