/** @file notice_relay_base.h Notices that a control host accepts on behalf of the leader. */
#ifndef POLLENSTALL_DIRECTORY_NOTICE_RELAY_BASE_H
#define POLLENSTALL_DIRECTORY_NOTICE_RELAY_BASE_H

#include "directory/directory_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/// Intervals and limits of a notice relay.
struct notice_relay_options {
  mono_duration BatchInterval{std::chrono::milliseconds(100)};
  /// Interval of batches without notices; their receipts show that the leader can be reached.
  mono_duration EmptyBatchInterval{std::chrono::milliseconds(400)};
  /// Notices are refused if the newest batch with a receipt was sent longer ago than this. Notices
  /// accepted meanwhile may be lost, so it must be far below the time after which a backend server
  /// without notices becomes unresponsive.
  mono_duration ReceiptTimeout{std::chrono::milliseconds(1000)};
  std::size_t MaxPending{16'384}; ///< Maximum number of notices that wait for the next batch.
};

/// Notices for the leader, in one message.
struct relayed_batch {
  std::uint64_t Number{0}; ///< The receipt repeats it.
  std::vector<relayed_notice> Notices;
};

/**
 * Accepts the notices that change nothing on a control host that follows, and collects them into
 * batches for the leader. If only the leader accepted notices, each backend server would hold a
 * connection to it, and with some thousand of them it would run out of file descriptors and
 * processor time. A notice that changes the list must go to the leader, which answers it once the
 * log contains the change.
 */
class notice_relay {
public:
  explicit notice_relay(const notice_relay_options &RelayOptions = {}) : Options(RelayOptions) {}

  /// Collects a notice that this host may acknowledge.
  /// @param Recorded The listing of that name in the log; null if there is none.
  /// @return False if the notice must be sent to the leader.
  bool accept(const backend_notice &Notice, const backend_listing *Recorded, mono_time Now);

  /// @return The next batch for the leader, or nothing if none is due.
  std::optional<relayed_batch> takeBatch(mono_time Now);

  /// Handles the leader's receipt of a batch.
  void handleReceipt(std::uint64_t Number);

  /// Forgets receipts, because another host leads now. Collected notices are kept for it.
  void leaderChanged();

private:
  [[nodiscard]] bool reachesLeader(mono_time Now) const;

  notice_relay_options Options;
  std::vector<relayed_notice> Pending;
  std::uint64_t LastNumber{0};
  std::map<std::uint64_t, mono_time> SentAt; ///< Send times of batches without a receipt.
  std::optional<mono_time> ConfirmedSentAt;  ///< Send time of the newest batch with a receipt.
  std::optional<mono_time> LastSentAt;
};

} // namespace pollenstall

#endif // POLLENSTALL_DIRECTORY_NOTICE_RELAY_BASE_H
