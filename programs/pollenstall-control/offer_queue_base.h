/** @file offer_queue_base.h Proposed declarations whose senders wait for an acknowledgement. */
#ifndef POLLENSTALL_CONTROL_OFFER_QUEUE_BASE_H
#define POLLENSTALL_CONTROL_OFFER_QUEUE_BASE_H

#include "core/core.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace pollenstall {

/**
 * Decides at the leader which offers are proposed to the log, and acknowledges accepted ones.
 * A sender without an answer within a second resends the same text to any host. A text that is
 * already in the log or proposed is not proposed again: the copies for the followers would fill the
 * link that delayed the answer.
 */
class offer_queue {
public:
  /// @param Accepted Whether the log contains this revision or a higher one.
  using answer_hook = std::function<void(bool Accepted)>;

  /// @return Whether the offer must be proposed; otherwise it is in the log or already proposed.
  [[nodiscard]] bool mustPropose(revision Offered, revision Declared) const {
    return Offered > Declared && Offered > Proposed;
  }
  /// Records that the offer was proposed.
  void proposed(revision Offered) { Proposed = std::max(Proposed, Offered); }

  /// Adds a waiter. Answered is called once, by answerReady() or by abandonAll().
  void wait(revision Offered, answer_hook Answered, mono_time Deadline) {
    Waiting.push_back({Offered, std::move(Answered), Deadline});
  }

  /// Answers the offers that may be acknowledged, and those whose deadline has passed.
  /// @param MayAcknowledge Called for a revision that the log contains.
  void answerReady(revision Declared, mono_time Now,
                   const std::function<bool(revision)> &MayAcknowledge) {
    std::vector<std::pair<answer_hook, bool>> Answers;
    std::erase_if(Waiting, [&](waiting_offer &Offer) {
      const bool Accepted = Offer.Offered <= Declared && MayAcknowledge(Offer.Offered);
      if (!Accepted && Now < Offer.Deadline)
        return false;
      Answers.emplace_back(std::move(Offer.Answered), Accepted);
      return true;
    });
    for (const auto &[Answer, Accepted] : Answers)
      Answer(Accepted);
  }

  /// Answers all waiters, since this host no longer leads and does not know the offers' outcomes.
  void abandonAll() {
    Proposed = revision();
    for (const waiting_offer &Offer : std::exchange(Waiting, {}))
      Offer.Answered(false);
  }

  /// Records that a proposal may not be in the log, so that a resend is proposed again.
  void proposalLost() { Proposed = revision(); }

private:
  struct waiting_offer {
    revision Offered;
    answer_hook Answered;
    mono_time Deadline;
  };

  revision Proposed; ///< The highest revision proposed during this leadership.
  std::vector<waiting_offer> Waiting;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_OFFER_QUEUE_BASE_H
