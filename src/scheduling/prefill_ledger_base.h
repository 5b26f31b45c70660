/** @file prefill_ledger_base.h Prompt tokens that one engine still has to process. */
#ifndef POLLENSTALL_SCHEDULING_PREFILL_LEDGER_BASE_H
#define POLLENSTALL_SCHEDULING_PREFILL_LEDGER_BASE_H

#include "scheduling/memory_ledger_base.h"
#include "scheduling/scheduling_type.h"

#include <map>

namespace pollenstall {

/**
 * Joins this host's own unanswered attempts with the engine's lagging report. A report already
 * counts own work that was placed well before it; the rest is added on top.
 */
class prefill_ledger {
public:
  /// @param Tokens Prompt tokens believed not to be in the engine's prefix cache.
  /// @param Yields Whether the engine lets work of every class pass it.
  void add(ticket_number Ticket, length_class Class, double Tokens, bool Yields, mono_time Now);
  /// The first token came, or the attempt ended.
  void remove(ticket_number Ticket);
  /// @param Waiting Prompt tokens of every host's work that are not processed yet.
  void report(double Waiting, mono_time SeenAt);
  /// Prompts from here count as long when the work of other hosts is guessed at.
  void setLongFrom(double Tokens) { LongFrom = Tokens; }

  /**
   * @param Rate Tokens per second of the engine.
   * @return Tokens that the engine still has to process, of every class and host.
   */
  [[nodiscard]] double pending(mono_time Now, double Rate) const;
  /**
   * @param Passes Whether the engine lets it pass longer and yielding work.
   * @return Tokens that run before a new attempt of the class.
   */
  [[nodiscard]] double ahead(length_class Class, bool Passes, mono_time Now, double Rate) const;
  /// @return Long prompts being processed, of this host and as the report suggests of others.
  [[nodiscard]] std::uint32_t longs(mono_time Now, double Rate) const;
  /// @return Own unanswered attempts.
  [[nodiscard]] std::size_t unanswered() const { return Own.size(); }

private:
  struct own_prefill {
    length_class Class{length_class::Short};
    double Tokens{0};
    bool Yields{false};
    mono_time Placed;
  };
  struct others_prefill {
    double Long{0};
    double Other{0};
  };

  [[nodiscard]] double ownRemaining(const own_prefill &Entry, mono_time Now, double Rate) const;
  [[nodiscard]] double ownPending(mono_time Now, double Rate) const;
  [[nodiscard]] others_prefill others(mono_time Now, double Rate) const;

  std::map<ticket_number, own_prefill> Own;
  double Reported{0};
  double OwnInReport{0}; ///< Own tokens that the report counts.
  mono_time ReportSeen;
  bool HasReport{false};
  double LongFrom{100'000};
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_PREFILL_LEDGER_BASE_H
