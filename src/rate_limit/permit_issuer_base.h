/** @file permit_issuer_base.h Issues the permits of the servers that are assigned to one entry. */
#ifndef POLLENSTALL_RATE_LIMIT_PERMIT_ISSUER_BASE_H
#define POLLENSTALL_RATE_LIMIT_PERMIT_ISSUER_BASE_H

#include "rate_limit/cold_rate_func.h"
#include "rate_limit/permit_type.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/**
 * Issues permits at the rate of each server's limit. As all permits of a server come from one
 * issuer, their sum keeps the limit whatever the number of entries. What an issuer does not know is
 * covered by waiting: it issues nothing for IssueDelay after it has taken over a server, learned of
 * a limit, or was suspended.
 */
class permit_issuer {
public:
  /// A reply, and the address of its receiver; an empty address stands for all entries.
  struct reply {
    std::string To;
    permit_reply Reply;
  };

  permit_issuer(std::uint64_t IssuerId, const permit_tuning &Values)
      : Id(IssuerId), Tuning(Values) {}

  /// Sets the number of entries that may ask for permits.
  void setEntryCount(std::size_t Count) { EntryCount = Count; }
  /// Forgets the servers for which the condition does not hold, since another entry issues their
  /// permits.
  void keepServers(const std::function<bool(incarnation)> &IsAssigned);
  /// @param AssignedSince Since when this entry has been the only issuer of the server; the
  /// earliest time if that is not known to have been otherwise.
  void handle(const permit_request &Request, const std::string &From, mono_time Now,
              mono_time AssignedSince = mono_time::min());
  void handle(const limit_report &Report, const std::string &From, mono_time Now);
  /// Issues permits to waiting requests. Must be called at least each SuspensionThreshold.
  void advance(mono_time Now);
  [[nodiscard]] std::optional<mono_time> nextWake() const;
  std::vector<reply> takeReplies() { return std::exchange(Replies, {}); }

private:
  struct waiting_request {
    std::string From;
    mono_time Until;
    mono_time ArrivedAt;
    std::optional<cold_statement> Cold; ///< As of the latest request.
  };
  struct server {
    std::optional<requests_per_second> Limit; ///< Empty: the limit has ended, or never was.
    std::optional<cold_rate> Cold;            ///< Set while entries say that the server is cold.
    mono_time ColdHeardAt{mono_time::min()};  ///< When an entry last said so.
    std::deque<mono_time> Issued; ///< Times of the latest permits, up to Cold->PerInterval.
    double Permits{0};            ///< As of FilledAt.
    mono_time FilledAt;
    mono_time IssueFrom;
    std::uint64_t LastStated{0}; ///< Number of the last permit before the limit was last stated.
    std::deque<waiting_request> Waiting;
    std::optional<mono_time> RepeatNoticeAt;
    mono_time HeardAt;
  };

  [[nodiscard]] double rateOf(const server &Server) const;
  [[nodiscard]] double maxSaved(const server &Server) const;
  void recordCold(server &Server, const cold_statement &Cold, bool IsNew, mono_time AssignedSince,
                  mono_time Now) const;
  void holdPermits(server &Server, mono_time Until, double Permits) const;
  void setLimit(incarnation Id, server &Server, std::optional<requests_per_second> Limit,
                mono_time Now);
  void refill(server &Server, mono_time Now) const;
  [[nodiscard]] mono_time nextPermitAt(const server &Server) const;
  void issue(incarnation ServerId, server &Server, const std::string &To,
             std::optional<cold_grant> Cold, mono_time Now);
  void issueToWaiting(incarnation ServerId, server &Server, mono_time Now);
  [[nodiscard]] bool enqueue(server &Server, const permit_request &Request, const std::string &From,
                             mono_time Now) const;
  [[nodiscard]] std::chrono::milliseconds retryAfter(const server &Server, mono_time Now) const;
  void detectSuspension(mono_time Now);

  std::uint64_t Id;
  permit_tuning Tuning;
  std::size_t EntryCount{1};
  std::uint64_t LastPermit{0};
  mono_time ActiveAt{mono_time::min()};
  std::map<incarnation, server> Servers;
  std::vector<reply> Replies;
};

} // namespace pollenstall

#endif // POLLENSTALL_RATE_LIMIT_PERMIT_ISSUER_BASE_H
