/** @file membership_base.h One host's part of the membership protocol, without I/O. */
#ifndef POLLENSTALL_MEMBERSHIP_MEMBERSHIP_BASE_H
#define POLLENSTALL_MEMBERSHIP_MEMBERSHIP_BASE_H

#include "membership/backend_table_base.h"
#include "membership/connected_clock_type.h"
#include "membership/failure_detector_base.h"
#include "membership/host_table_base.h"
#include "membership/membership_action_type.h"
#include "membership/update_queue_base.h"

#include <map>
#include <string>
#include <vector>

namespace pollenstall {

/// This host's identity and the peers from its settings.
struct membership_identity {
  process_key Self;
  failure_domain_name Domain;
  std::vector<peer_address> Addresses; ///< Where peers reach it; the first is preferred.
  std::vector<peer_address>
      Seeds; ///< Contacted at the start and while they are not among the live hosts.
};

/**
 * Maintains the views of hosts and backend servers. It reads no clock and performs no I/O. Each
 * call advances the time. A call that comes much later than nextWake() shows that the process was
 * paused; the views are then not fresh until another host has compared its records with these.
 */
class fleet_membership {
public:
  /// Use fleet_membership_builder.
  fleet_membership(membership_identity Identity, const membership_settings &Settings,
                   std::uint64_t RandomSeed, mono_time Now);

  /**
   * Handles a message.
   * @param From The sender's address, to which answers are sent.
   */
  void receive(const membership_message &Message, const peer_address &From, mono_time Now);
  /// Handles an announcement that a backend server sent to this host. @return Why it was rejected,
  /// if it was.
  result<done, announcement_error> announce(const backend_announcement &Announcement,
                                            const backend_load &Load, mono_time Now);
  /// Runs all timers that are due.
  void advance(mono_time Now);
  /// Notifies the peers that this process stops, so that they do not wait for a suspicion timeout.
  void leave(mono_time Now);

  /// @return The latest time at which advance() must be called.
  [[nodiscard]] mono_time nextWake() const;
  /// @return The actions requested since the last call.
  std::vector<membership_action> takeActions();

  /// @return All backend servers except tombstones; lost ones are included.
  [[nodiscard]] std::vector<backend_view> views() const;
  /// @return All hosts, including this one and dead ones.
  [[nodiscard]] std::vector<host_view> hosts() const;
  /// @return The time until which the views may be used for decisions; see views_fresh.
  [[nodiscard]] mono_time freshUntil() const { return FreshUntil; }
  /// @return The state as JSON for operators.
  [[nodiscard]] std::string dump() const;

private:
  // membership.cpp: messages
  void observe(mono_time Now);
  void handle(const record_updates &Body, const membership_message &Message,
              const peer_address &From);
  void handle(const ping &Body, const membership_message &Message, const peer_address &From);
  void handle(const ping_ack &Body, const membership_message &Message, const peer_address &From);
  void handle(const ping_request &Body, const membership_message &Message,
              const peer_address &From);
  void handle(const sync_request &Body, const membership_message &Message,
              const peer_address &From);
  void handle(const sync_versions &Body, const membership_message &Message,
              const peer_address &From);
  void handle(const sync_fetch &Body, const membership_message &Message, const peer_address &From);
  void handle(const load_query &Body, const membership_message &Message, const peer_address &From);
  void mergeHost(const host_record &Record);
  void refute(const host_record &Claim);
  void mergeBackend(const backend_record &Record, const peer_address &From);
  void mergeLoad(const load_digest &Digest, const peer_address &From);
  void publishBackendChange(const backend_change &Change);
  void publishHost(const host_record &Record);

  // membership_probe.cpp: failure detection among hosts
  void probe();
  void sendPing(const host_record &Target, std::uint64_t Nonce);
  void sendIndirectPings(const active_probe &Probe);
  void suspect(const process_key &Target);
  void declareDeadHosts();
  void renewFreshness();
  void pingForContact();
  void recordContact(mono_time SentAt);

  // membership_gossip.cpp: dissemination
  void gossip();
  void queueUpdate(std::uint64_t Subject, update_priority Priority, bool FullRecord);
  void queueLoad(std::uint64_t Subject);
  void appendUpdates(membership_message &Message);
  bool appendUpdate(const queued_update &Update, membership_message &Message) const;
  void appendLoads(membership_message &Message, std::size_t Targets);
  void refillLoadBudget();
  void expireBackends();
  void queryOverdueBackends();

  // membership_sync.cpp: anti-entropy
  void sync();
  void syncWithUnreachable();
  void sendSync(const peer_address &To);
  [[nodiscard]] std::array<std::uint64_t, SyncBuckets> buckets() const;
  [[nodiscard]] std::vector<subject_version> bucketVersions(std::size_t Bucket) const;
  [[nodiscard]] std::vector<sync_versions> syncAnswers(const sync_request &Request);
  [[nodiscard]] std::optional<subject_version> localVersion(std::uint64_t Subject) const;
  [[nodiscard]] std::vector<std::uint64_t> subjectsToFetch(const sync_versions &Answer) const;
  [[nodiscard]] std::vector<std::uint64_t> subjectsToSend(const sync_versions &Answer) const;
  [[nodiscard]] std::vector<peer_address> unreachableAddresses() const;
  void fetch(const std::vector<std::uint64_t> &Subjects, const peer_address &From);
  void sendRecords(const std::vector<std::uint64_t> &Subjects, const peer_address &To);
  bool appendRecord(std::uint64_t Subject, membership_message &Message) const;

  void send(const peer_address &To, membership_message Message);
  [[nodiscard]] membership_message makeMessage(membership_body Body) const;
  std::vector<peer_address> randomPeers(std::size_t Count, const host_name &Except = {});
  [[nodiscard]] event_time eventTime() const { return {Clock.now(), Clock.connectedTime()}; }
  [[nodiscard]] bool hasNoPeers() const;
  [[nodiscard]] std::uint32_t gossipRounds() const;

  membership_identity Identity;
  membership_settings Settings;
  random_source Random;
  connected_clock Clock;
  host_table Hosts;
  backend_table Backends;
  failure_detector Detector;
  update_queue Updates;
  std::vector<std::uint64_t> PendingLoads; ///< Subjects whose load report is to be gossiped once.
  double LoadBudget{0};                    ///< Bytes of load digests that may be sent now.
  mono_time LoadBudgetAt;
  mono_time NextGossip;
  mono_time NextSync;
  mono_time Started;
  mono_time FreshUntil;
  mono_time LastGossip;
  bool LastSyncDiffered{false}; ///< Whether the last exchange found different records.
  /// Set at the start and after a pause, until an exchange finds the backend records equal or there
  /// is no host to sync with.
  bool Resyncing{true};
  std::map<std::uint64_t, mono_time>
      ContactNonces;         ///< Send times of pings and syncs since the last pause, by nonce.
  mono_time NextContactPing; ///< Earliest time of the next extra ping.
  mono_time LastContact;     ///< Send time of the latest message that was answered.
  std::vector<membership_action> Actions;
};

/// Builds a fleet_membership; self(), address() and randomSeed() are required.
class fleet_membership_builder {
public:
  fleet_membership_builder &self(process_key Key, failure_domain_name Domain) {
    Identity.Self = std::move(Key);
    Identity.Domain = std::move(Domain);
    return *this;
  }
  /// Adds an address at which peers reach this host.
  fleet_membership_builder &address(peer_address Address) {
    Identity.Addresses.push_back(std::move(Address));
    return *this;
  }
  /// Adds a host to contact at the start. This host's own address is ignored.
  fleet_membership_builder &seed(peer_address Address) {
    Identity.Seeds.push_back(std::move(Address));
    return *this;
  }
  fleet_membership_builder &randomSeed(std::uint64_t Seed) {
    RandomSeed = Seed;
    return *this;
  }
  fleet_membership_builder &settings(const membership_settings &Value) {
    Settings = Value;
    return *this;
  }
  /// @param Now The time from which the process receives messages.
  [[nodiscard]] fleet_membership build(mono_time Now) const {
    return {Identity, Settings, RandomSeed, Now};
  }

private:
  membership_identity Identity;
  membership_settings Settings;
  std::uint64_t RandomSeed{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_MEMBERSHIP_BASE_H
