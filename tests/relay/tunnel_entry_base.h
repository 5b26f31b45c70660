/** @file tunnel_entry_base.h An entry that reaches servers through others when a partition cuts it
 * off. */
#ifndef POLLENSTALL_TESTS_RELAY_TUNNEL_ENTRY_BASE_H
#define POLLENSTALL_TESTS_RELAY_TUNNEL_ENTRY_BASE_H

#include "relay_harness_base.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace pollenstall {

inline const std::string TunnelFleet = "fleet";
inline const std::string PlainAnswer =
    "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 9\r\n\r\nall of it";

/// An entry with its own tunnel address.
class tunnel_entry {
public:
  explicit tunnel_entry(const tunnel_peer &SelfAsPeer, const relay_limits &Limits = {},
                        retry_mode Repeat = retry_mode::Always);
  /// An entry of the failure domain "a".
  explicit tunnel_entry(const std::string &TunnelAddress, const relay_limits &Limits = {},
                        retry_mode Repeat = retry_mode::Always)
      : tunnel_entry(tunnel_peer{TunnelAddress, failure_domain_name("a")}, Limits, Repeat) {}

  void know(const std::vector<tunnel_peer> &Entries, const std::vector<path_server> &Servers);
  /// As above, with everything in the failure domain "a".
  void know(const std::vector<std::string> &Entries, const std::vector<backend_key> &Servers);

  /// Returns the peers through which servers began to be reached, and "" where one was direct
  /// again.
  std::vector<std::string> pathChanges();

  /// Sends a request and returns whether its only attempt completes, and its answer is whole.
  bool serves(const backend_key &Server);
  bool serves(const scripted_server &Server) { return serves(Server.key()); }

  const std::string Address;
  std::atomic<partition_effect> Effect{partition_effect::None};

private:
  std::mutex Guard;
  std::vector<path_change> Changes;

public:
  relay_harness Relay;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_RELAY_TUNNEL_ENTRY_BASE_H
