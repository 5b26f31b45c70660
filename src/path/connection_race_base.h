/** @file connection_race_base.h Decides which ways to a backend server are tried for one
 * connection.
 */
#ifndef POLLENSTALL_PATH_CONNECTION_RACE_BASE_H
#define POLLENSTALL_PATH_CONNECTION_RACE_BASE_H

#include "path/path_table_base.h"
#include "path/path_type.h"
#include "path/tunnel_peers_base.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

/// Connect to the server directly.
struct start_direct {};
/// Ask a peer to connect.
struct start_tunnel {
  std::string Peer;
};
/// Nothing is to be done until a try ends, or until this time.
struct wait_for_tries {
  mono_time Until;
};
/// A connection was made, or none can be made any more.
struct race_over {};

using race_step = std::variant<start_direct, start_tunnel, wait_for_tries, race_over>;

/**
 * The tries for one connection, direct and through peers, of which the first that connects wins.
 *
 * The next peer is asked when all tries have failed or have been silent for the hedge delay. The
 * tries end later than the race: what they show is still recorded.
 */
class connection_race {
public:
  /// @param SharedPaths Valid for as long as tries go on, as are the peers.
  /// @param SharedPeers nullptr: all connections are direct.
  /// @param ConnectTimeout Of a direct connection.
  connection_race(path_table &SharedPaths, tunnel_peers *SharedPeers,
                  const path_tuning &InitialTuning, backend_key Target,
                  mono_duration ConnectTimeout, mono_time Now);

  [[nodiscard]] const backend_key &server() const { return Server; }
  /// Returns the time by which peers must have connected.
  [[nodiscard]] mono_time deadline() const { return Deadline; }

  /// Returns the next step, to be carried out before the next call.
  race_step next(mono_time Now);
  /// Records the end of the direct try. @return Whether its connection is to be used.
  bool recordDirect(bool Opened, mono_time Now);
  /// Records a peer's answer. @param Failure Empty: it opened a tunnel.
  /// @return Whether its tunnel is to be used.
  bool recordTunnel(const std::string &Peer, std::optional<tunnel_failure> Failure, mono_time Now);
  /// Ends the race: later tries can't win, and what its outcome shows of the peers is recorded.
  void finish(mono_time Now);
  /// Returns what was tried in vain; nothing if a connection was made.
  [[nodiscard]] std::optional<connect_failure> failure(mono_time Now) const;
  /// Returns whether the path to the server changed since the last call, and to what.
  std::optional<path_change> takeChange();

private:
  race_step startDirect(mono_time Now);
  [[nodiscard]] bool mayAskPeer(mono_time Now) const;
  std::optional<std::string> choosePeer(mono_time Now);

  path_table &Paths;
  tunnel_peers *Peers;
  path_tuning Tuning;
  backend_key Server;
  path_plan Plan;
  mono_time Started;
  mono_time Deadline;
  mono_time HedgeAt; ///< When silent tries have had their time.
  mono_time DirectStarted{mono_time::min()};
  bool Decided{false};
  bool TriedDirectly{false};
  bool DirectFailed{false};
  bool DirectWorks{false}; ///< A direct connection was made in time, though it may not have won.
  bool Connected{false};
  std::uint32_t SeenDown{0}; ///< Peers that could not connect, though they hear other servers.
  std::uint32_t Pending{0};
  std::string WinningPeer;          ///< Empty: none has won.
  std::vector<std::string> Tried;   ///< Peers that were asked.
  std::set<std::string> Unanswered; ///< Those that are still connecting.
  std::set<std::string> Silent;     ///< Those that got no answer from the server.
  std::optional<path_change> Change;
};

} // namespace pollenstall

#endif // POLLENSTALL_PATH_CONNECTION_RACE_BASE_H
