/** @file link_ledger_base.h Claims and their ends that no leader has answered yet. */
#ifndef POLLENSTALL_CONTROL_LINK_LINK_LEDGER_BASE_H
#define POLLENSTALL_CONTROL_LINK_LINK_LEDGER_BASE_H

#include "control_link/control_link_message_type.h"
#include "control_link/control_link_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/**
 * What must be asked again on the next connection.
 * A claim that is given up is released afterwards: it may have been granted although the answer was
 * lost, and nobody else could use the key until it expires.
 */
class link_ledger {
public:
  explicit link_ledger(process_key Self) : Owner(std::move(Self)) {}

  /// @param Now Wall-clock time, for the claim's expiry.
  link_claim_acquire acquire(const claim_wanted &Wanted, unix_millis Now);
  link_claim_settle settle(const claim_ended &Ended, unix_millis Now);

  /// @return What the entry is told, or nothing where the call is not open.
  std::optional<claim_answered> answered(const link_claim_answer &Answer);
  void settled(const link_settle_answer &Answer) { Ends.erase(Answer.Call); }

  /// Gives up claims whose time is over. @return One Unavailable for each; releaseAll() follows.
  std::vector<claim_answered> expire(mono_time Now);

  /// @return Releases that expire() made and that were not sent yet.
  std::vector<link_claim_settle> takeReleases();

  /// @return All that has no answer, for a new connection.
  [[nodiscard]] std::vector<link_request> unanswered() const;

  [[nodiscard]] std::size_t openEnds() const { return Ends.size(); }

private:
  struct open_claim {
    link_claim_acquire Message;
    request_number Request;
    mono_time AnswerBy;
  };

  process_key Owner;
  std::uint64_t NextCall{1};
  std::map<std::uint64_t, open_claim> Claims;
  std::map<std::uint64_t, link_claim_settle> Ends;
  std::vector<link_claim_settle> Releases;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_LINK_LEDGER_BASE_H
