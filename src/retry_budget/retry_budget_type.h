/** @file retry_budget_type.h Allowance of retries, and the messages by which entries lend it. */
#ifndef POLLENSTALL_RETRY_BUDGET_RETRY_BUDGET_TYPE_H
#define POLLENSTALL_RETRY_BUDGET_RETRY_BUDGET_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

/// How many retries all entries together may start for each service in any time window, beside a
/// share of the requests for the service.
struct retry_allowance {
  double Reserve{0};
  mono_duration Window{std::chrono::seconds(10)};
};

/// The entries that share an allowance, as one of them sees them.
struct retry_sharers {
  std::size_t Count{1}; ///< With this entry.
  std::size_t Rank{0};  ///< Number of entries before this one, in an order on which all agree.
  std::vector<std::string> Others{}; ///< Work addresses of those that may lend retries.
};

/// Retries; fractions are lent and added up.
using retry_amount = double;

/// Loans are made and sent in thousandths of a retry.
constexpr double RetryUnits = 1'000;

/// One service's budget at one entry.
struct retry_budget_status {
  service_name Service;
  retry_amount Available{0}; ///< Retries that may start now.
  retry_amount Lent{0};      ///< Since the start of the process.
  retry_amount Borrowed{0};  ///< Used of loans, since the start of the process.
};

/// An entry asks another one for a part of its retries for a service.
struct retry_loan_request {
  std::uint64_t Service{0}; ///< Hash of the service's name.
  std::uint64_t Number{0};  ///< Identifies the request at the entry that sends it.
  retry_amount Amount{0};   ///< At most this much.
};

/// The answer to a retry_loan_request. The lender regards the amount as used.
struct retry_loan {
  std::uint64_t Service{0};
  std::uint64_t Number{0}; ///< Of the request.
  retry_amount Amount{0};  ///< 0: the lender has nothing to spare.
};

using retry_message = std::variant<retry_loan_request, retry_loan>;

/// A message and the work address of the entry that receives it.
struct retry_datagram {
  std::string To;
  retry_message Message;
};

/// A message and the work address of the entry that sent it.
struct received_retry_message {
  std::string From;
  retry_message Message;
};

/// Parameters of a budget that all entries share.
struct retry_budget_tuning {
  /// Part of the allowance that is used. The rest covers requests that callers sent before a window
  /// and that an entry counts within it.
  double UsableShare{0.98};
  /// Longest time from the decision on a retry to its arrival at the backend server, as a part of
  /// the window. It includes LoanLifetime.
  double LatenessShare{0.05};
  /// A loan that is not used within this time after it was asked for expires, as a part of the
  /// window.
  double LoanLifetimeShare{0.025};
  /// An entry may use its part of the reserve for this long after its lease has ended.
  mono_duration ContactGrace{std::chrono::seconds(5)};
  /// An entry that is missing from the list of entries uses its part for less than this: for the
  /// longest lease and ContactGrace.
  mono_duration MaxUnlisted{std::chrono::seconds(10)};
  /// A process that was inactive for longer than this was suspended.
  mono_duration SuspensionThreshold{std::chrono::milliseconds(700)};
  /// Longest time in which a process reads the requests that waited during a suspension.
  mono_duration BacklogTime{std::chrono::milliseconds(200)};
  /// Time between two rounds of requests for loans.
  mono_duration RequestInterval{std::chrono::milliseconds(10)};
  /// Longest time between two rounds while nobody has anything to lend.
  mono_duration MaxRequestInterval{std::chrono::seconds(1)};
  std::size_t MaxRequestsPerRound{24};
  /// Requests for loans that one entry sends in a second, on average.
  double RequestsPerSecond{50};
  /// Most requests that an entry sends at once after a time without any.
  double MaxSavedRequests{64};
};

} // namespace pollenstall

#endif // POLLENSTALL_RETRY_BUDGET_RETRY_BUDGET_TYPE_H
