/** @file path_table_base.h Decides whether connections to backend servers need a tunnel. */
#ifndef POLLENSTALL_PATH_PATH_TABLE_BASE_H
#define POLLENSTALL_PATH_PATH_TABLE_BASE_H

#include "path/path_type.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace pollenstall {

/**
 * What this entry has seen of its direct paths to backend servers.
 *
 * A partition may separate an entry from all backend servers, or from some, while its peers reach
 * them. It shows in connections that fail or hang although a peer connects to the same server. A
 * server that has ended is refused to the peer, too, and needs no tunnel.
 */
class path_table {
public:
  explicit path_table(const path_tuning &InitialTuning = {}) : Tuning(InitialTuning) {}

  void addServer(const path_server &Server);
  void removeServer(const backend_key &Server);
  /// Returns whether a server is known at the address.
  [[nodiscard]] bool hasServerAt(const backend_address &Address) const {
    return Addresses.contains(Address);
  }
  /// Returns the key of a server at the address, which must be known.
  [[nodiscard]] backend_key serverAt(const backend_address &Address) const {
    return {Address, Addresses.find(Address)->second};
  }

  /// Returns how to make the next connection; Direct for an unknown server.
  [[nodiscard]] path_plan planFor(const backend_key &Server, mono_time Now) const;
  /// Returns whether an open direct connection to the server may be reused; true if it is unknown.
  [[nodiscard]] bool mayReuse(const backend_key &Server, mono_time Now) const;
  /// Returns whether a server of the same service was heard of directly a short time ago.
  [[nodiscard]] bool hearsService(const backend_key &Server, mono_time Now) const;
  /// Returns where the time of bytes received directly from the server is written; nullptr if it is
  /// unknown. Valid for the lifetime of this object.
  [[nodiscard]] mono_time *lastHeard(const backend_key &Server);

  /// Records a direct connection. @return Whether it ends a detour.
  bool recordDirect(const backend_key &Server, mono_time Now);
  /// Records that a peer connected to the server while the direct path failed or was too slow.
  /// @return Whether a detour begins.
  bool recordTunnel(const backend_key &Server, mono_time Now);
  /// Returns whether a connection to the server can be carried for another entry: this one does not
  /// need a tunnel itself, as far as it knows.
  [[nodiscard]] bool mayCarry(const backend_key &Server, mono_time Now) const;
  /// Returns whether the direct path is to be tried for another entry: a connection can be carried,
  /// or the server's recheck is due and its group was reached directly meanwhile.
  [[nodiscard]] bool mayTryForPeer(const backend_key &Server, mono_time Now) const {
    return mayCarry(Server, Now) || isRecheckDue(Server, Now);
  }
  /// Records a direct connection for another entry. @return Whether it ends a detour.
  bool recordMadeForPeer(const backend_key &Server, mono_time Now) {
    return isRecheckDue(Server, Now) && recordDirect(Server, Now);
  }
  /// Records that the direct path was tried for another entry in vain. @return What it is told.
  tunnel_failure recordFailedForPeer(const backend_key &Server, mono_time Now);
  /// Returns the number of servers whose connections need a tunnel.
  [[nodiscard]] std::size_t detours() const { return DetourCount; }
  /// Returns the servers whose connections need a tunnel.
  [[nodiscard]] std::vector<backend_key> detouredServers() const;

private:
  using group_key = std::pair<service_name, failure_domain_name>;
  struct group_path {
    mono_time LastHeard{
        mono_time::min()}; ///< When a server of the group was last heard of directly.
    /// The last connection to a server of the group needed a tunnel.
    bool CutOff{false};
  };
  struct server_path {
    service_name Service;
    group_path *Group{nullptr};
    std::optional<mono_time> RecheckAt; ///< Set while tunnels carry its connections.
  };

  [[nodiscard]] bool isRecheckDue(const backend_key &Server, mono_time Now) const;

  path_tuning Tuning;
  std::map<backend_key, server_path> Servers;
  std::multimap<backend_address, incarnation> Addresses;
  std::map<group_key, group_path> Groups;
  mono_time LastTunnel{mono_time::min()};
  std::size_t DetourCount{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_PATH_PATH_TABLE_BASE_H
