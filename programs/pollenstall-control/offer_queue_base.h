/** @file offer_queue_base.h Offered declarations whose senders wait for an acknowledgement. */
#ifndef POLLENSTALL_CONTROL_OFFER_QUEUE_BASE_H
#define POLLENSTALL_CONTROL_OFFER_QUEUE_BASE_H

#include "core/core.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace pollenstall {

/**
 * At the leader: which offers go into the log, and who is told that one was accepted.
 * Whoever hears nothing within a second sends the same text again, to any host. A text that stands
 * in the log or is on its way there is not put into it once more: the copies for the followers
 * would fill the link that made the answer late.
 */
class offer_queue {
public:
  /// @param Accepted Whether the log has this revision or a higher one.
  using answer_hook = std::function<void(bool Accepted)>;

  /// @return Whether the offer must go into the log; otherwise it stands there or is on its way.
  [[nodiscard]] bool isNews(revision Offered, revision Declared) const {
    return Offered > Declared && Offered > Proposed;
  }
  /// The offer is on its way into the log.
  void proposed(revision Offered) { Proposed = std::max(Proposed, Offered); }

  /// Answered is called once, by answerDue() or by giveUp().
  void wait(revision Offered, answer_hook Answered, mono_time GiveUp) {
    Waiting.push_back({Offered, std::move(Answered), GiveUp});
  }

  /// @param MayAcknowledge Of a revision that the log has.
  void answerDue(revision Declared, mono_time Now,
                 const std::function<bool(revision)> &MayAcknowledge) {
    std::vector<std::pair<answer_hook, bool>> Answers;
    std::erase_if(Waiting, [&](waiting_offer &Offer) {
      const bool Accepted = Offer.Offered <= Declared && MayAcknowledge(Offer.Offered);
      if (!Accepted && Now < Offer.GiveUp)
        return false;
      Answers.emplace_back(std::move(Offer.Answered), Accepted);
      return true;
    });
    for (const auto &[Answer, Accepted] : Answers)
      Answer(Accepted);
  }

  /// This host leads no more: what becomes of the offers is not known here.
  void giveUp() {
    Proposed = revision();
    for (const waiting_offer &Offer : std::exchange(Waiting, {}))
      Offer.Answered(false);
  }

  /// The log did not take an offer: a resend may go into it.
  void lost() { Proposed = revision(); }

private:
  struct waiting_offer {
    revision Offered;
    answer_hook Answered;
    mono_time GiveUp;
  };

  revision Proposed; ///< The highest one that was proposed in this office.
  std::vector<waiting_offer> Waiting;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_OFFER_QUEUE_BASE_H
