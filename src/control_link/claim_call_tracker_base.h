/** @file claim_call_tracker_base.h Claim calls that no leader has answered yet. */
#ifndef POLLENSTALL_CONTROL_LINK_CLAIM_CALL_TRACKER_BASE_H
#define POLLENSTALL_CONTROL_LINK_CLAIM_CALL_TRACKER_BASE_H

#include "control_link/control_link_message_type.h"
#include "control_link/control_link_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/**
 * Keeps the calls that must be resent until a leader answers them, on the same connection or on the
 * next. A leader drops calls while it holds no lease, and does not answer those whose proposals are
 * lost; a release that got lost would leave its key claimed until ExpiresAt.
 * A claim call without an answer by AnswerBy is followed by a release: the claim may have been
 * granted although the answer was lost, and no other request could use the key until ExpiresAt.
 */
class claim_call_tracker {
public:
  explicit claim_call_tracker(process_key Self) : Owner(std::move(Self)) {}

  /// @param Wall Wall-clock time, for the claim's expiry.
  link_claim_acquire acquire(const request_claim &Requested, unix_millis Wall, mono_time Now);
  link_claim_settle settle(const report_claim_outcome &Ended, unix_millis Wall, mono_time Now);

  /// Removes the answered call. @return The event for the entry, or nothing if the call is not
  /// pending.
  std::optional<claim_answered> handleClaimAnswer(const link_claim_answer &Answer);
  void handleSettleAnswer(const link_settle_answer &Answer) { PendingSettles.erase(Answer.Call); }

  /// Removes claims without an answer by their AnswerBy, and creates a release for each, which is
  /// overdue at once.
  /// @return An Unavailable answer for each removed claim.
  std::vector<claim_answered> timeOut(mono_time Now);

  /// @return The calls that were sent ResendInterval ago or earlier and have no answer; they count
  /// as sent now.
  std::vector<link_request> takeOverdue(mono_time Now);

  /// @return All calls without an answer, for a new connection; they count as sent now.
  std::vector<link_request> takeUnanswered(mono_time Now);

  [[nodiscard]] std::size_t unrecordedOutcomes() const { return PendingSettles.size(); }

private:
  struct pending_claim {
    link_claim_acquire Message;
    request_number Request;
    mono_time AnswerBy;
    mono_time SentAt;
  };
  struct pending_settle {
    link_claim_settle Message;
    mono_time SentAt;
  };

  /// Claims come first: a claim and its release must arrive in the order in which they were made.
  std::vector<link_request> takeSentBefore(mono_time Limit, mono_time Now);

  process_key Owner;
  std::uint64_t NextCall{1};
  std::map<std::uint64_t, pending_claim> Claims;
  std::map<std::uint64_t, pending_settle> PendingSettles;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CLAIM_CALL_TRACKER_BASE_H
