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
 * A claim that times out is released afterwards: it may have been granted although the answer was
 * lost, and no other request could use the key until the claim expires.
 */
class claim_call_tracker {
public:
  explicit claim_call_tracker(process_key Self) : Owner(std::move(Self)) {}

  /// @param Now Wall-clock time, for the claim's expiry.
  link_claim_acquire acquire(const claim_requested &Requested, unix_millis Now);
  link_claim_settle settle(const claim_settled &Ended, unix_millis Now);

  /// @return The event for the entry, or nothing if the call is not pending.
  std::optional<claim_answered> answered(const link_claim_answer &Answer);
  void settled(const link_settle_answer &Answer) { PendingSettles.erase(Answer.Call); }

  /// Removes claims that have timed out, and creates a release for each.
  /// @return An Unavailable answer for each removed claim.
  std::vector<claim_answered> expire(mono_time Now);

  /// Removes and returns the releases that expire() created and that have not been sent yet.
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
