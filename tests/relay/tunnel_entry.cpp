/** @file tunnel_entry.cpp Builds a relay with tunnels and runs single requests through it. */
#include "tunnel_entry_base.h"

namespace pollenstall {

tunnel_entry::tunnel_entry(const tunnel_peer &SelfAsPeer, const relay_limits &Limits,
                           retry_mode Repeat)
    : Address(SelfAsPeer.Address),
      Relay(Repeat, Limits, [this, SelfAsPeer](relay_builder &Builder) {
        Builder.tunnels(TunnelFleet, SelfAsPeer);
        Builder.simulatePartition([this] { return Effect.load(); });
        Builder.onPathChange([this](const path_change &Change) {
          const std::lock_guard<std::mutex> Lock(Guard);
          Changes.push_back(Change);
        });
      }) {
  Relay.listenForTunnels(Address);
}

void tunnel_entry::know(const std::vector<tunnel_peer> &Entries,
                        const std::vector<path_server> &Servers) {
  Relay.order(tunnel_entries_update{Entries});
  Relay.order(path_servers_update{Servers, {}});
  Relay.settle();
}

void tunnel_entry::know(const std::vector<std::string> &Entries,
                        const std::vector<backend_key> &Servers) {
  const failure_domain_name Domain("a");
  std::vector<tunnel_peer> Peers;
  Peers.reserve(Entries.size());
  for (const std::string &Entry : Entries)
    Peers.push_back({Entry, Domain});
  std::vector<path_server> Listed;
  Listed.reserve(Servers.size());
  for (const backend_key &Server : Servers)
    Listed.push_back({Server, service_name("svc"), Domain});
  know(Peers, Listed);
}

std::vector<std::string> tunnel_entry::pathChanges() {
  const std::lock_guard<std::mutex> Lock(Guard);
  std::vector<std::string> Peers;
  for (const path_change &Change : Changes)
    Peers.push_back(Change.Peer);
  return Peers;
}

bool tunnel_entry::serves(const backend_key &Server) {
  Relay.call("p");
  Relay.start(Server);
  const bool Completed = Relay.finishAfterAttempt();
  const std::string Answer = Relay.answer();
  return Completed && Answer.find("HTTP/1.1 200") != std::string::npos;
}

} // namespace pollenstall
