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
 * Keeps the calls that must be resent on the next connection.
 * A claim call without an answer by AnswerBy is followed by a release: the claim may have been
 * granted although the answer was lost, and no other request could use the key until ExpiresAt.
 */
class claim_call_tracker {
public:
  explicit claim_call_tracker(process_key Self) : Owner(std::move(Self)) {}

  /// @param Now Wall-clock time, for the claim's expiry.
  link_claim_acquire acquire(const request_claim &Requested, unix_millis Now);
  link_claim_settle settle(const report_claim_outcome &Ended, unix_millis Now);

  /// Removes the answered call. @return The event for the entry, or nothing if the call is not
  /// pending.
  std::optional<claim_answered> handleClaimAnswer(const link_claim_answer &Answer);
  void handleSettleAnswer(const link_settle_answer &Answer) { PendingSettles.erase(Answer.Call); }

  /// Removes claims without an answer by their AnswerBy, and creates a release for each.
  /// @return An Unavailable answer for each removed claim.
  std::vector<claim_answered> timeOut(mono_time Now);

  /// Removes and returns the releases that timeOut() created and that have not been sent yet.
  std::vector<link_claim_settle> takeReleases();

  /// @return All calls without an answer, to be sent on a new connection.
  [[nodiscard]] std::vector<link_request> unanswered() const;

  [[nodiscard]] std::size_t unrecordedOutcomes() const { return PendingSettles.size(); }

private:
  struct pending_claim {
    link_claim_acquire Message;
    request_number Request;
    mono_time AnswerBy;
  };

  process_key Owner;
  std::uint64_t NextCall{1};
  std::map<std::uint64_t, pending_claim> Claims;
  std::map<std::uint64_t, link_claim_settle> PendingSettles;
  std::vector<link_claim_settle> Releases;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CLAIM_CALL_TRACKER_BASE_H
