/** @file work_share_type.h Messages between the work report thread and the decision thread. */
#ifndef POLLENSTALL_WORK_SHARE_WORK_SHARE_TYPE_H
#define POLLENSTALL_WORK_SHARE_WORK_SHARE_TYPE_H

#include "rate_limit/permit_type.h"
#include "retry_budget/retry_budget_type.h"
#include "work_exchange/work_exchange_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

constexpr std::size_t MaxReportBytes = 1400;

/// Why a work_share could not be created.
struct work_share_error {
  std::string Text;
};

/// From the decision thread: the loads that this entry has in flight.
struct own_work_update {
  std::vector<work_load> Loads;
  std::vector<waiting_load> Waiting; ///< Requests that wait for slots, by service.
  bool Urgent{false};                ///< Some of the work is about to start.
};

/// From the decision thread: all entries that place work.
struct entries_update {
  std::vector<work_entry> Entries;
};

/// From the decision thread: messages to the issuers of permits.
struct permit_messages {
  std::vector<permit_message> Messages;
};

/// From the decision thread: messages to other entries about loans of retries.
struct retry_datagrams {
  std::vector<retry_datagram> Datagrams;
};

/// From the decision thread: the lease has ended, so other entries may issue the permits of this
/// entry's servers. The next entries_update ends this state.
struct lease_ended {};

using share_command =
    std::variant<own_work_update, entries_update, permit_messages, retry_datagrams, lease_ended>;

/// Counters since the work_share was created.
struct work_share_counts {
  std::uint64_t SentDatagrams{0};
  std::uint64_t SentBytes{0};
  std::uint64_t ReceivedDatagrams{0};
  std::uint64_t PermitDatagrams{0}; ///< Sent, about permits; not contained in the others.
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_SHARE_WORK_SHARE_TYPE_H
