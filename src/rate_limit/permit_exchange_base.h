/** @file permit_exchange_base.h One entry's part in the exchange of permits. */
#ifndef POLLENSTALL_RATE_LIMIT_PERMIT_EXCHANGE_BASE_H
#define POLLENSTALL_RATE_LIMIT_PERMIT_EXCHANGE_BASE_H

#include "rate_limit/permit_issuer_base.h"

#include <cstdint>
#include <deque>
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
      : Address(std::move(OwnAddress)), HistoryLength(Tuning.ColdTakeoverDelay),
        Issuer(Self.Incarnation.value(), Tuning) {}

  /// Sets the work addresses of all entries; none if this entry's lease has ended. Without a lease,
  /// this entry does not know whether others have taken over its servers.
  void setEntries(const std::vector<std::string> &Addresses, mono_time Now);
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

  /// Entries that were listed before.
  struct past_list {
    std::vector<known_entry> Entries;
    mono_time From;
    mono_time Until;
  };

  [[nodiscard]] static std::size_t issuerIndex(const std::vector<known_entry> &Entries,
                                               incarnation Server);
  /// @return Since when every list has assigned the server to this entry.
  [[nodiscard]] mono_time assignedSince(incarnation Server) const;
  void handleAsIssuer(const permit_message &Message, const std::string &From, mono_time Now);
  void deliverReplies();

  std::string Address;
  mono_duration HistoryLength;
  std::vector<known_entry> Entries;
  mono_time EntriesFrom;           ///< When this entry received Entries.
  std::deque<past_list> PastLists; ///< Oldest first; those in force within HistoryLength.
  std::unordered_map<incarnation, std::size_t> IssuerIndexes; ///< Into Entries; a cache.
  permit_issuer Issuer;
  std::vector<permit_datagram> Datagrams;
  std::vector<permit_reply> OwnReplies;
};

} // namespace pollenstall

#endif // POLLENSTALL_RATE_LIMIT_PERMIT_EXCHANGE_BASE_H
