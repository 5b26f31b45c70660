/** @file permit_client_base.h The limits that an entry knows and the permits that it holds. */
#ifndef POLLENSTALL_RATE_LIMIT_PERMIT_CLIENT_BASE_H
#define POLLENSTALL_RATE_LIMIT_PERMIT_CLIENT_BASE_H

#include "rate_limit/permit_type.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pollenstall {

/**
 * Knows which backend servers state a limit or are cold. Each request to such a server needs a
 * permit of the server's issuer; an entry that cannot reach the issuer sends none. The issuer alone
 * decides that a limit has ended; that a server is cold, the entry learns from its listing.
 */
class permit_client {
public:
  explicit permit_client(const permit_tuning &Values = {}) : Tuning(Values) {}

  /// Records what an answer states. @return How the known limit changed.
  rate_limit_change record(const rate_limit_answer &Answer, mono_time Now);
  /// Records a reply of the issuer. @return How the known limit changed.
  rate_limit_change receive(const permit_reply &Reply, mono_time Now);
  /// Sets until when a server is cold. @param PerSecond The rate that a cold server takes, more
  /// than 0. @param WarmUntil Until when this entry may have sent requests without permits; empty:
  /// it never listed the server as warm.
  void setCold(incarnation Server, requests_per_second PerSecond, mono_time Until,
               std::optional<mono_time> WarmUntil);
  /// Ends the cold period of a server, if it has one.
  void setWarm(incarnation Server);
  /// Forgets a server that has ended.
  void remove(incarnation Server) { Servers.erase(Server); }

  /// @return Whether any server may need permits.
  [[nodiscard]] bool anyLimited() const { return !Servers.empty(); }
  /// @return Number of servers that state a limit.
  [[nodiscard]] std::size_t limitedServers() const;
  /// @return Number of servers that are cold.
  [[nodiscard]] std::size_t coldServers(mono_time Now) const;
  /// @return The limit that the server states; empty if it states none.
  [[nodiscard]] std::optional<requests_per_second> limitOf(incarnation Server) const;
  [[nodiscard]] bool isCold(incarnation Server, mono_time Now) const;
  /// @return Until when the server is cold; empty if it is not.
  [[nodiscard]] std::optional<mono_time> coldUntil(incarnation Server, mono_time Now) const;
  /// @return Whether each request to the server needs a permit.
  [[nodiscard]] bool needsPermit(incarnation Server, mono_time Now) const;
  /// @return Permits used at cold servers so far.
  [[nodiscard]] std::uint64_t coldPermitsUsed() const { return ColdPermitsUsed; }
  [[nodiscard]] bool hasPermit(incarnation Server, mono_time Now) const;
  /// @return Whether a request for a permit may be answered with one now, as far as known.
  [[nodiscard]] bool mayAsk(incarnation Server, mono_time Now) const;
  /// @return Until when the issuer has no permit for this entry; empty if it has not said so.
  [[nodiscard]] std::optional<mono_time> deniedUntil(incarnation Server, mono_time Now) const;
  /// Requests a permit, unless mayAsk() is false. @param Wait How long the issuer may keep the
  /// request.
  void ask(incarnation Server, std::chrono::milliseconds Wait, mono_time Now);
  /// Requests a permit for work that waits anyway.
  void askPatiently(incarnation Server, mono_time Now) { ask(Server, Tuning.QueueWait, Now); }
  /// Uses up a permit. @return Not set if there is none.
  permit_stamp take(incarnation Server, mono_time Now);

  /// @return The messages that are due, for the servers' issuers.
  std::vector<permit_message> takeMessages(mono_time Now);
  /// @return When takeMessages() must be called next, at the latest.
  [[nodiscard]] std::optional<mono_time> nextWake() const;

private:
  struct held_permit {
    permit_stamp Stamp;
    mono_time Until;
  };
  struct cold_period {
    requests_per_second PerSecond;
    mono_time Until;
    std::optional<mono_time> WarmUntil;
  };
  struct server {
    std::optional<requests_per_second> Limit; ///< Empty: it states none.
    std::optional<cold_period> Cold;

    [[nodiscard]] bool coldAt(mono_time Now) const { return Cold && Now < Cold->Until; }
    bool Confirmed{false}; ///< The issuer knows of the limit.
    mono_time CheckAt{
        mono_time::max()}; ///< When to report the limit again, or to check whether it still holds.
    mono_time AskedAt{mono_time::min()};
    mono_time AskFrom{mono_time::min()};
    bool Denied{false};              ///< The issuer has set AskFrom.
    std::deque<held_permit> Permits; ///< Oldest first.
  };

  rate_limit_change recordLimit(const rate_limit_answer &Answer, requests_per_second Limit,
                                mono_time Now);

  [[nodiscard]] std::optional<mono_time> permitEnd(const server &Server, const permit_reply &Reply,
                                                   mono_time Now) const;
  void checkAt(server &Server, mono_time Time);

  permit_tuning Tuning;
  std::unordered_map<incarnation, server> Servers; ///< Those with a limit, or cold.
  mono_time NextCheck{mono_time::max()};           ///< Earliest CheckAt, or a time before it.
  std::vector<permit_message> Messages;
  std::uint64_t ColdPermitsUsed{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_RATE_LIMIT_PERMIT_CLIENT_BASE_H
