/** @file membership_base.h One host's part in the fleet's membership: events and time in, actions
 * out. */
#ifndef POLLENSTALL_MEMBERSHIP_MEMBERSHIP_BASE_H
#define POLLENSTALL_MEMBERSHIP_MEMBERSHIP_BASE_H

#include "membership/backend_table_base.h"
#include "membership/failure_detector_base.h"
#include "membership/host_table_base.h"
#include "membership/listening_clock_type.h"
#include "membership/membership_action_type.h"
#include "membership/news_queue_base.h"

#include <map>
#include <string>
#include <vector>

namespace pollenstall {

/// Who this host is and whom it knows from its settings.
struct membership_identity {
  process_key Self;
  failure_domain_name Domain;
  std::vector<peer_address> Addresses; ///< Where others reach it; the first is preferred.
  std::vector<peer_address> Seeds;     ///< Asked at start, and when they are not among the living.
};

/**
 * Knows which hosts and backend servers there are.
 * Pure: it reads no clock and owns no socket. Each call moves the time on; a call that comes much
 * later than nextWake() shows that the process was paused, and the views are then not fresh until
 * another host has compared its records with these.
 */
class fleet_membership {
public:
  /// Use fleet_membership_builder.
  fleet_membership(membership_identity Identity, const membership_settings &Settings,
                   std::uint64_t RandomSeed, mono_time Now);

  /**
   * A message arrived.
   * @param From Where it came from; answers go there.
   */
  void receive(const membership_message &Message, const peer_address &From, mono_time Now);
  /// A backend server announced itself to this host. @return Why it was not taken, if so.
  result<done, announcement_error> announce(const backend_announcement &Announcement,
                                            const backend_load &Load, mono_time Now);
  /// Does what is due.
  void advance(mono_time Now);
  /// Tells the others that this process stops; they then do not wait for a suspicion to run out.
  void leave(mono_time Now);

  /// @return When advance() is to be called at the latest.
  [[nodiscard]] mono_time nextWake() const;
  /// @return What is to be done since the last call.
  std::vector<membership_action> takeActions();

  /// @return All backend servers whose announcement is known, the lost ones included.
  [[nodiscard]] std::vector<backend_view> views() const;
  /// @return All hosts, this one and the dead ones included.
  [[nodiscard]] std::vector<host_view> hosts() const;
  /// @return Until when the views may be acted upon; see views_fresh.
  [[nodiscard]] mono_time freshUntil() const { return FreshUntil; }
  /// @return The state as JSON for operators.
  [[nodiscard]] std::string dump() const;

private:
  // membership.cpp: messages
  void observe(mono_time Now);
  void handle(const news &Body, const membership_message &Message, const peer_address &From);
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
  void noteBackend(const backend_change &Change);
  void publishHost(const host_record &Record);

  // membership_probe.cpp: own hosts
  void probe();
  void sendPing(const host_record &Target, std::uint64_t Nonce);
  void askOthers(const active_probe &Probe);
  void suspect(const process_key &Target);
  void buryOverdue();
  void keepContact();
  void askForProof();
  void proveContact(mono_time SentAt);

  // membership_gossip.cpp: spreading
  void gossip();
  void addNews(std::uint64_t Subject, news_priority Priority, bool Whole);
  void addLoad(std::uint64_t Subject);
  void fillNews(membership_message &Message);
  bool appendNews(const news_item &Item, membership_message &Message) const;
  void fillLoads(membership_message &Message, std::size_t Targets);
  void refillLoadBudget();
  void checkBackends();
  void askForNews();

  // membership_sync.cpp: anti-entropy
  void sync();
  void askStrangers();
  void sendSync(const peer_address &To);
  [[nodiscard]] std::array<std::uint64_t, SyncBuckets> buckets() const;
  [[nodiscard]] std::vector<subject_version> bucketVersions(std::size_t Bucket) const;
  [[nodiscard]] std::vector<sync_versions> answersTo(const sync_request &Request);
  [[nodiscard]] std::optional<subject_version> versionHere(std::uint64_t Subject) const;
  [[nodiscard]] std::vector<std::uint64_t> wanted(const sync_versions &Answer) const;
  [[nodiscard]] std::vector<std::uint64_t> offered(const sync_versions &Answer) const;
  [[nodiscard]] std::vector<peer_address> strangers() const;
  void fetch(const std::vector<std::uint64_t> &Subjects, const peer_address &From);
  void sendRecords(const std::vector<std::uint64_t> &Subjects, const peer_address &To);
  bool appendRecord(std::uint64_t Subject, membership_message &Message) const;

  void send(const peer_address &To, membership_message Message);
  [[nodiscard]] membership_message envelope(membership_body Body) const;
  std::vector<peer_address> randomPeers(std::size_t Count, const host_name &Except = {});
  [[nodiscard]] table_time time() const { return {Clock.now(), Clock.listened()}; }
  [[nodiscard]] bool alone() const;
  [[nodiscard]] std::uint32_t spreadRounds() const;

  membership_identity Identity;
  membership_settings Settings;
  random_source Random;
  listening_clock Clock;
  host_table Hosts;
  backend_table Backends;
  failure_detector Detector;
  news_queue News;
  std::vector<std::uint64_t> FreshLoads; ///< Subjects whose report is to be passed on once.
  double LoadBudget{0};                  ///< Bytes of load digests that may go out now.
  mono_time LoadBudgetAt;
  mono_time NextGossip;
  mono_time NextSync;
  mono_time Started;
  mono_time FreshUntil;
  mono_time LastGossip;
  bool Differed{false}; ///< The last exchange found different records.
  bool Resyncing{true}; ///< The views have not been compared since the start or a pause.
  std::map<std::uint64_t, mono_time> ProofNonces; ///< Pings and syncs sent since the last pause.
  mono_time NextContact; ///< Not before is a further host asked for a proof of contact.
  mono_time LastContact; ///< When the latest message that was answered had been sent.
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
  /// Adds an address at which others reach this host.
  fleet_membership_builder &address(peer_address Address) {
    Identity.Addresses.push_back(std::move(Address));
    return *this;
  }
  /// Adds a host to ask at start; this host's own address among them does no harm.
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
  /// @param Now The time at which the process starts to hear.
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
