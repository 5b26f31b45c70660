/** @file permit_type.h Permits to send to a backend server with a rate limit, and the messages
 * about them. */
#ifndef POLLENSTALL_RATE_LIMIT_PERMIT_TYPE_H
#define POLLENSTALL_RATE_LIMIT_PERMIT_TYPE_H

#include "rate_limit/rate_limit_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace pollenstall {

/// What an entry tells the issuer about a cold server when it asks for a permit.
struct cold_statement {
  requests_per_second PerSecond; ///< The declared rate of a cold server; more than 0.
  /// Time since the entry may last have sent a request without a permit; empty: it never listed the
  /// server as warm.
  std::optional<std::chrono::milliseconds> WarmAgo;
  std::uint32_t AskedAt{0}; ///< The entry's clock in milliseconds; the reply repeats it.
};

/// Belongs to the reply to a request with a cold_statement.
struct cold_grant {
  std::uint32_t AskedAt{0};            ///< Copied from the request.
  std::chrono::milliseconds Waited{0}; ///< From the request's arrival until the permit was issued.
};

/// An entry asks the issuer of a server for one permit.
struct permit_request {
  incarnation Server;
  std::optional<requests_per_second> Limit; ///< As the entry knows it; empty: none is stated.
  bool Wanted{true};                 ///< False: the entry only asks whether the limit still holds.
  std::chrono::milliseconds Wait{0}; ///< How long the issuer may keep the request if it has none.
  std::optional<cold_statement> Cold{};
};

/// An entry reports to the issuer what an answer of the server stated.
struct limit_report {
  incarnation Server;
  std::optional<requests_per_second> Limit; ///< Empty: the answer stated none.
  permit_stamp Permit;                      ///< Under which the request was sent, if any.
};

/// The issuer tells entries the limit of a server, and issues a permit to one of them.
struct permit_reply {
  incarnation Server;
  std::optional<requests_per_second> Limit; ///< Empty: the server has none any more.
  permit_stamp Permit;                      ///< Not set: no permit.
  std::chrono::milliseconds RetryAfter{0};  ///< Without a permit: when to ask again.
  bool Queued{false}; ///< The request waits at the issuer; a permit may come before RetryAfter.
  std::optional<cold_grant> Cold{};
};

using permit_message = std::variant<permit_request, limit_report, permit_reply>;

/// A message and the work address of the entry that receives it.
struct permit_datagram {
  std::string To;
  permit_message Message;
};

/// Parameters of the exchange of permits.
struct permit_tuning {
  /// An issuer waits for this long before it issues the first permit of a limit. Requests that were
  /// sent before, without permits or under those of an earlier issuer, count in the server's window
  /// too.
  mono_duration IssueDelay{std::chrono::seconds(2)};
  /// Permits that an issuer saves up while nobody asks.
  double MaxSaved{2};
  /// Lowest rate of permits. A server that accepts fewer requests, or none, still gets these, since
  /// only an answer can tell that its limit has ended.
  requests_per_second MinRate{0.25};
  /// An unused permit expires after this time at the entry that got it.
  mono_duration PermitLifetime{std::chrono::milliseconds(250)};
  /// A permit that arrives later than this after its request is not used: the entry was suspended,
  /// or the datagram delayed.
  mono_duration ReplyLifetime{std::chrono::seconds(1)};
  /// Time between two requests of an entry for the same server without a reply.
  mono_duration RequestInterval{std::chrono::milliseconds(200)};
  /// How long waiting work lets its request wait at the issuer.
  std::chrono::milliseconds QueueWait{500};
  /// Time between two checks of an entry whether a limit still holds.
  mono_duration RefreshInterval{std::chrono::seconds(10)};
  /// A changed limit is sent to all entries again after this time, for datagrams that were lost.
  mono_duration NoticeRepeat{std::chrono::milliseconds(150)};
  /// The issuer lets about this many entries ask again for each permit that it will have. The
  /// others are told to stay away for longer.
  double RequestsPerPermit{8};
  std::chrono::milliseconds MinRetryAfter{250};
  std::chrono::milliseconds MaxRetryAfter{4'000};
  /// A process that was inactive for longer than this was suspended, and another entry may have
  /// issued permits meanwhile.
  mono_duration SuspensionThreshold{std::chrono::milliseconds(700)};
  /// Each second, a cold server receives at most its declared rate times ColdOvershoot, plus
  /// ColdTolerance requests.
  double ColdOvershoot{1};
  double ColdTolerance{0};
  /// A permit for a cold server expires this long after it was issued, at the latest.
  mono_duration ColdPermitAge{std::chrono::milliseconds(80)};
  /// Longest time from the use of a permit until its request arrives at the server: publishing a
  /// claim and the network delay.
  mono_duration ColdSendDelay{std::chrono::milliseconds(15)};
  /// The server's window. After a server has turned cold, the issuer waits for this long, since the
  /// requests that were sent before without permits count in the window.
  mono_duration ColdWindow{std::chrono::seconds(1)};
  /// An issuer that takes over waits for this long before it issues permits for a cold server. An
  /// earlier issuer that is cut off serves itself until its lease ends (3.5 s), and the entries
  /// learn of the change up to 2 s apart.
  mono_duration ColdTakeoverDelay{std::chrono::milliseconds(3500)};
  /// An issuer forgets a server of which it has not heard for this time.
  mono_duration ServerLifetime{std::chrono::minutes(10)};
};

} // namespace pollenstall

#endif // POLLENSTALL_RATE_LIMIT_PERMIT_TYPE_H
