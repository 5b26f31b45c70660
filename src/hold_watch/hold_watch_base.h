/** @file hold_watch_base.h Decides whether the memory of one attempt is still used. */
#ifndef POLLENSTALL_HOLD_WATCH_HOLD_WATCH_BASE_H
#define POLLENSTALL_HOLD_WATCH_HOLD_WATCH_BASE_H

#include "hold_watch/hold_watch_type.h"

#include <cstddef>
#include <optional>

namespace pollenstall {

/**
 * Collects the evidence that a request uses the memory that engines hold for an attempt. That the
 * attempt exists is none: its server may have gone dark, or let the request wait in its queue, and
 * the memory would be missing for other prompts until the caller's deadline.
 *
 * Evidence are bytes of the answer and the reports of the holders. Where holders report nothing, a
 * server that responds is believed to work.
 */
class hold_watch {
public:
  /// @param Begun When the first order was sent.
  hold_watch(const hold_limits &Value, mono_time Begun)
      : Limits(Value), Start(Begun), LastUse(Begun), LastSign(Begun) {}

  /// Records bytes of the answer.
  void recordBytes(mono_time Now);
  /// Records the report of a holder. @return Whether the server that answers must be asked, too.
  bool recordReport(hold_state State, mono_time Now);
  /// Records whether the server that answers has responded to a question.
  void recordServer(bool Responds, mono_time Now);

  [[nodiscard]] hold_verdict judge(mono_time Now) const;
  /// @return Whether the memory may be ordered for another lifetime.
  [[nodiscard]] bool mayRenew(mono_time Now) const { return Now - LastUse < unusedLimit(); }
  /// @return Whether a holder must be asked now: nothing has shown a use for a while.
  [[nodiscard]] bool needsQuestion(mono_time Now) const;

  /// @return Whether the server that answers has not responded to the last question.
  [[nodiscard]] bool missedQuestion() const { return MissedQuestions > 0; }

  /// @return When a request was first known to use the memory.
  [[nodiscard]] std::optional<mono_time> firstUse() const { return FirstUse; }
  /// @return When a request was last known to use the memory; the start if none was.
  [[nodiscard]] mono_time lastUse() const { return LastUse; }
  [[nodiscard]] mono_time start() const { return Start; }

private:
  void recordUse(mono_time Now);
  [[nodiscard]] mono_duration unusedLimit() const;
  [[nodiscard]] mono_duration silenceLimit() const;

  hold_limits Limits;
  mono_time Start;
  std::optional<mono_time> FirstUse;
  mono_time LastUse;
  mono_time LastSign;             ///< Of the server that answers.
  std::size_t MissedQuestions{0}; ///< In a row, of the server that answers.
  hold_state LastReport{hold_state::Unknown};
};

} // namespace pollenstall

#endif // POLLENSTALL_HOLD_WATCH_HOLD_WATCH_BASE_H
