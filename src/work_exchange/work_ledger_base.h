/** @file work_ledger_base.h What each sender told of its work at each backend server. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_LEDGER_BASE_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_LEDGER_BASE_H

#include "work_exchange/work_exchange_type.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/// A sender of reports, by a number of the ledger's user.
using work_source = std::uint32_t;

/// @return Whether the receiver of Told, at that time, thinks of another work than Load now.
bool differs(const work_load &Told, mono_time At, const work_load &Load, mono_time Now,
             const work_share_tuning &Tuning);

/// The newest of each source at each backend server; what is older than the silence is dropped.
class work_ledger {
public:
  explicit work_ledger(const work_share_tuning &Values) : Tuning(Values) {}

  /// Replaces what the source told of that backend server. @return Whether that changed anything.
  bool put(work_source Source, const work_load &Load, mono_time Now);
  /// Drops all that the source told. @return Whether that changed anything.
  bool drop(work_source Source, mono_time Now);
  /// Drops what is too old, which counts as a change.
  void expire(mono_time Now);
  void clear() { Engines.clear(); }

  /// What is known of one backend server.
  struct engine_work {
    struct told {
      work_source Source{0};
      work_load Load;
      mono_time Heard;
    };
    std::vector<told> Parts; ///< Only sources that have something there.
    mono_time Changed;       ///< When a part last changed other than by going on.
  };
  [[nodiscard]] const std::unordered_map<incarnation, engine_work> &engines() const {
    return Engines;
  }

  /// @return The sum over the sources that Counts() takes, as of now.
  template <typename Filter>
  [[nodiscard]] work_load sum(incarnation Incarnation, const engine_work &Engine, mono_time Now,
                              const Filter &Counts) const {
    work_load Sum;
    for (const engine_work::told &Part : Engine.Parts)
      if (Now - Part.Heard <= Tuning.Silence && Counts(Part.Source))
        Sum = Sum + loadAfter(Part.Load, Now - Part.Heard);
    Sum.Incarnation = Incarnation;
    return Sum;
  }

private:
  work_share_tuning Tuning;
  std::unordered_map<incarnation, engine_work> Engines;
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_LEDGER_BASE_H
