/** @file tunnel_peers_base.h Chooses the peer that carries a connection. */
#ifndef POLLENSTALL_PATH_TUNNEL_PEERS_BASE_H
#define POLLENSTALL_PATH_TUNNEL_PEERS_BASE_H

#include "path/path_type.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

/**
 * The other entries, with what this one has seen of them as carriers of connections.
 *
 * Peers of the same failure domain come first, each with the same probability, so that those that
 * reach the servers share the load. A peer that failed is passed over for a time that doubles: when
 * most entries are cut off together, most peers fail.
 *
 * A partition may also cut off a failure domain as a whole. The further peers for a connection are
 * therefore of other domains, and a domain whose peers fail one after the other comes last for a
 * time that doubles. Another domain that carries shares the load among its peers, too.
 */
class tunnel_peers {
public:
  /// @param Self Address of this entry, which is no peer. @param Domain Its failure domain.
  tunnel_peers(std::string Self, failure_domain_name Domain, std::uint64_t Seed,
               const path_tuning &InitialTuning = {})
      : OwnAddress(std::move(Self)), OwnDomain(std::move(Domain)), Random(Seed),
        Tuning(InitialTuning) {}

  /// Sets all entries; this one may be among them.
  void setEntries(const std::vector<tunnel_peer> &Entries);
  [[nodiscard]] const std::string &ownAddress() const { return OwnAddress; }
  /// Returns whether an entry with this IP address is known.
  [[nodiscard]] bool hasEntryAt(const std::string &IpAddress) const {
    return IpAddresses.contains(IpAddress);
  }

  /// Returns whether the peer is known and of this entry's failure domain.
  [[nodiscard]] bool isOfOwnDomain(const std::string &Peer) const {
    const auto Found = Peers.find(Peer);
    return Found != Peers.end() && Found->second.Domain == OwnDomain;
  }

  /// Returns a peer that may carry a connection now; nothing if none may.
  /// @param Tried Peers that are not chosen again.
  std::optional<std::string> choose(const std::vector<std::string> &Tried, mono_time Now);
  /// Returns a peer that opened a tunnel when it was asked last; nothing if none is known.
  std::optional<std::string> knownCarrier();
  /// Records that the peer opened a tunnel for another entry.
  void recordReferral(const std::string &Peer, mono_time Now);
  /// Records that the peer opened a tunnel.
  void recordSuccess(const std::string &Peer);
  void recordFailure(const std::string &Peer, tunnel_failure Failure, mono_time Now);

private:
  /// Pauses after consecutive failures.
  struct pause_state {
    std::uint32_t Failures{0};
    mono_time PausedUntil{mono_time::min()};
  };
  struct peer_state : pause_state {
    failure_domain_name Domain;
    /// It opened a tunnel when it was asked last, here or by a peer that referred to it.
    bool Carries{false};
  };
  struct domain_state : pause_state {
    bool Carries{false};    ///< One of its peers opened a tunnel, and no two have failed since.
    bool FailedOnce{false}; ///< A peer has failed since one opened a tunnel.
  };
  /// Order of the peers for a connection; the lowest comes first.
  struct preference {
    bool IsUnproved;
    std::size_t TriesInDomain; ///< For this connection.
    bool IsDomainPaused;
    bool IsFar; ///< Of another domain than this entry.

    auto operator<=>(const preference &) const = default;
  };

  [[nodiscard]] preference preferenceOf(const peer_state &Peer,
                                        const std::map<failure_domain_name, std::size_t> &Tried,
                                        mono_time Now) const;
  void pause(pause_state &State, mono_time Now) const;

  std::string OwnAddress;
  failure_domain_name OwnDomain;
  random_source Random;
  path_tuning Tuning;
  std::map<std::string, peer_state> Peers; ///< By address.
  std::map<failure_domain_name, domain_state> Domains;
  std::set<std::string> IpAddresses;
};

} // namespace pollenstall

#endif // POLLENSTALL_PATH_TUNNEL_PEERS_BASE_H
