/** @file fake_cluster_base.h A simulated cluster with faulty network, disks and clocks. */
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

/// Fault probabilities and maximum delays of the network and the disks.
struct fault_rates {
  double Drop{0};
  double Duplicate{0};
  mono_duration MaxDelay{2ms};
  double LongDelay{0}; ///< Share of messages that take up to LongDelayMax.
  mono_duration LongDelayMax{800ms};
  mono_duration MaxSync{3ms};
};

/// A host with a disk, a clock and a process, which may be down or stopped.
struct fake_host {
  member_id Id;
  std::unique_ptr<fake_disk> Disk;
  std::unique_ptr<replica> Process; ///< Null while the process is down.
  std::uint64_t Incarnation{0};     ///< Events of an earlier incarnation are discarded.
  double ClockRate{1};
  mono_duration ClockOffset{1h};
  mono_duration FrozenUntil{0};
  bool Syncing{false};
  log_index Applied;
  std::set<proposal_position> PendingProposals;
  std::map<read_id, log_index> PendingReads;
};

/// Runs replicas event by event and checks their history after each event.
class fake_cluster {
public:
  fake_cluster(std::size_t Size, std::uint64_t Seed, const replica_options &NewOptions);

  /// Handles the events of the next Span of simulated time.
  void run(mono_duration Span);
  /// Handles events until Condition is true. @return False if Limit passed first.
  bool runUntil(const std::function<bool()> &Condition, mono_duration Limit = 60s);

  void crash(fake_host &Host);
  void start(fake_host &Host);
  void loseDisk(fake_host &Host);
  /// Restarts the host with an empty disk and a new id, as a host with a random id would.
  void replace(fake_host &Host);
  /// Stops a process like SIGSTOP: messages are queued and the clock continues.
  void freeze(fake_host &Host, mono_duration Span) { Host.FrozenUntil = Time + Span; }
  /**
   * Sets the clock of a running host and runs the cluster until the host's next tick, so that the
   * replica notices the jump before the next fault. The clock never loses time while its process
   * is stopped, since CLOCK_BOOTTIME counts that time. A replica could not tell such a loss from a
   * shorter stop (docs/design/consensus.md, Limits).
   */
  void jumpClock(fake_host &Host, mono_duration By);
  void cutLink(std::size_t From, std::size_t To) {
    CutLinks.insert({hosts()[From].Id, hosts()[To].Id});
  }
  void isolate(std::size_t HostIndex);
  void heal();

  bool propose(fake_host &Host);
  void read(fake_host &Host);

  [[nodiscard]] std::vector<fake_host> &hosts() { return Hosts; }
  [[nodiscard]] const history_checker &checker() const { return Checker; }
  [[nodiscard]] random_source &random() { return Random; }
  [[nodiscard]] mono_time clockOf(const fake_host &Host) const;
  [[nodiscard]] replica_status statusOf(const fake_host &Host) const;
  /// @return A leader with a valid lease, and so with a committed entry of its term, or null.
  [[nodiscard]] fake_host *leader();
  /// @return Whether no more voters than needed survive replica_options::Tolerance, are running,
  /// follow one leader and have applied all its entries.
  [[nodiscard]] bool survivesToleratedLosses();
  /// @return Whether all hosts are voters, follow one leader and have applied the same entries.
  [[nodiscard]] bool hasConverged();
  [[nodiscard]] std::string dumpReplicas() const;
  [[nodiscard]] std::uint64_t steps() const { return Steps; }
  [[nodiscard]] std::size_t readsServed() const { return ReadsServed; }

  /// If set, leaders also replace lost members, which needs replica_options::Tolerance. Leaders
  /// always admit disks that request it.
  bool ReplacesLostMembers{false};
  /// The failure domain of each host, by its index in hosts(); fewer names than hosts leave the
  /// others without one. Processes learn it when they start.
  std::vector<failure_domain_name> Domains;
  /// Replaced hosts keep their addresses, so the leader knows which members lost their disks.
  bool SameAddresses{true};
  fault_rates Rates;
  std::function<void(const consensus_message &)>
      OnSend; ///< Called for every message, also for lost ones.

private:
  struct event {
    mono_duration At;
    std::uint64_t Order;
    std::size_t Host;
    std::uint64_t Incarnation;
    std::function<void(fake_host &)> Handler;
    bool operator<(const event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  void scheduleEvent(mono_duration Delay, fake_host &Host,
                     std::function<void(fake_host &)> Handler);
  void step();
  void scheduleTick(fake_host &Host);
  void replaceLostMembers(fake_host &Host);
  void tellDomains(fake_host &Host);
  [[nodiscard]] std::set<member_id> membersWithoutDisk(const replica_status &Status);
  fake_host *hostWithId(member_id Id);
  void executeActions(fake_host &Host);
  void scheduleDelivery(const consensus_message &Message);
  void scheduleSync(fake_host &Host);
  void checkLeases() const;
  mono_duration randomDuration(mono_duration Max) {
    return mono_duration(1 + Random.below(Max.count()));
  }

  void execute(fake_host &Host, send_to_member &Action);
  void execute(fake_host &Host, persist_log &Action);
  void execute(fake_host &Host, apply_entry &Action);
  void execute(fake_host &Host, install_snapshot &Action);
  void execute(fake_host &Host, became_leader &Action);
  void execute(fake_host &Host, stepped_down &Action);
  void execute(fake_host &Host, read_ready &Action);
  void execute(fake_host &Host, read_refused &Action);
  void execute(fake_host &Host, take_snapshot &Action);
  void execute(fake_host &Host, admission_requested &Action);
  void execute(fake_host &Host, members_changed &Action);

  random_source Random;
  replica_options Options;
  std::vector<fake_host> Hosts;
  std::priority_queue<event> Events;
  std::set<std::pair<member_id, member_id>> CutLinks;
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
