/** @file prefill_tracker_base.h Tracks the pending prefill tokens of one engine. */
#ifndef POLLENSTALL_SCHEDULING_PREFILL_TRACKER_BASE_H
#define POLLENSTALL_SCHEDULING_PREFILL_TRACKER_BASE_H

#include "scheduling/memory_tracker_base.h"
#include "scheduling/scheduling_type.h"

#include <map>

namespace pollenstall {

/**
 * Combines this host's unanswered attempts with the engine's delayed load reports. A report already
 * includes own work that was placed well before it; later own work is added to the reported value.
 */
class prefill_tracker {
public:
  /// Adds an own attempt.
  /// @param Tokens Prompt tokens that are probably not in the engine's prefix cache.
  /// @param Deprioritized Whether the engine runs work of every class before it.
  void add(placement_id Placement, length_class Class, double Tokens, bool Deprioritized,
           mono_time Now);
  /// Removes an own attempt whose first token arrived or which ended.
  void remove(placement_id Placement);
  /// Applies a load report.
  /// @param WaitingTokens Unprocessed prompt tokens of all hosts.
  void applyReport(double WaitingTokens, mono_time ReceivedAt);
  /// Sets the size from which a prompt counts as long, for estimates of other hosts' work.
  void setLongFrom(double Tokens) { LongFrom = Tokens; }

  /**
   * Returns the prompt tokens of every class and host that the engine still has to process.
   * @param Rate Prefill rate of the engine in tokens per second.
   */
  [[nodiscard]] double pendingTokens(mono_time Now, double Rate) const;
  /**
   * Returns the tokens that the engine processes before a new attempt of the class.
   * @param MayOvertake Whether the engine runs the attempt before longer and deprioritized work.
   */
  [[nodiscard]] double tokensAhead(length_class Class, bool MayOvertake, mono_time Now,
                                   double Rate) const;
  /// Returns the number of long prompts in prefill: those of this host, and 1 if the last report
  /// suggests one of another host.
  [[nodiscard]] std::uint32_t longPromptCount(mono_time Now, double Rate) const;
  /// Returns the number of own unanswered attempts.
  [[nodiscard]] std::size_t unansweredCount() const { return OwnPrefills.size(); }

private:
  struct own_prefill {
    length_class Class{length_class::Short};
    double Tokens{0};
    bool Deprioritized{false};
    mono_time Placed;
  };
  struct others_prefill {
    double Long{0};
    double Shorter{0};
  };

  [[nodiscard]] double remainingTokens(const own_prefill &Entry, mono_time Now, double Rate) const;
  [[nodiscard]] double ownPendingTokens(mono_time Now, double Rate) const;
  [[nodiscard]] others_prefill othersPending(mono_time Now, double Rate) const;

  std::map<placement_id, own_prefill> OwnPrefills;
  double Reported{0};
  double OwnTokensInReport{0}; ///< Own tokens that the report includes.
  mono_time ReportReceived;
  bool HasReport{false};
  double LongFrom{100'000};
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_PREFILL_TRACKER_BASE_H
