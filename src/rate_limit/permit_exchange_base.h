/** @file permit_exchange_base.h One entry's part in the exchange of permits. */
#ifndef POLLENSTALL_RATE_LIMIT_PERMIT_EXCHANGE_BASE_H
#define POLLENSTALL_RATE_LIMIT_PERMIT_EXCHANGE_BASE_H

#include "rate_limit/permit_issuer_base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pollenstall {

/**
 * Passes messages between the permit_client of this entry and the issuers. All entries choose the
 * issuer of a server from the same list by rendezvous hashing, so that servers are spread over the
 * entries and a lost entry moves only its own servers. An entry ignores requests for servers that
 * are not assigned to it, and replies of others than the assigned issuer.
 */
class permit_exchange {
public:
  /// @param OwnAddress The work address of this entry.
  permit_exchange(const process_key &Self, std::string OwnAddress, const permit_tuning &Tuning = {})
      : Address(std::move(OwnAddress)), Issuer(Self.Incarnation.value(), Tuning) {}

  /// Sets the work addresses of all entries.
  void setEntries(const std::vector<std::string> &Addresses);
  /// Passes on a message of this entry's client.
  void send(const permit_message &Message, mono_time Now);
  /// Handles a message of another entry.
  void receive(const permit_message &Message, const std::string &From, mono_time Now);
  /// Must be called at nextWake(), and at least each permit_tuning::SuspensionThreshold.
  void advance(mono_time Now);
  [[nodiscard]] std::optional<mono_time> nextWake() const { return Issuer.nextWake(); }
  std::vector<permit_datagram> takeDatagrams() { return std::exchange(Datagrams, {}); }
  /// @return The replies for this entry's client.
  std::vector<permit_reply> takeReplies() { return std::exchange(OwnReplies, {}); }
  /// @return The address of the entry that issues the server's permits; empty if no entry is known.
  const std::string &issuerOf(incarnation Server);

private:
  struct known_entry {
    std::string Address;
    std::uint64_t Hash;
  };

  void handleAsIssuer(const permit_message &Message, const std::string &From, mono_time Now);
  void deliverReplies();

  std::string Address;
  std::vector<known_entry> Entries;
  std::unordered_map<incarnation, std::size_t> IssuerIndexes; ///< Into Entries; a cache.
  permit_issuer Issuer;
  std::vector<permit_datagram> Datagrams;
  std::vector<permit_reply> OwnReplies;
};

} // namespace pollenstall

#endif // POLLENSTALL_RATE_LIMIT_PERMIT_EXCHANGE_BASE_H
