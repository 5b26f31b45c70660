/** @file prompt_part_history_base.h Parts of prompts with which answers have begun at this entry.
 */
#ifndef POLLENSTALL_SUSPECT_PROMPT_PART_HISTORY_BASE_H
#define POLLENSTALL_SUSPECT_PROMPT_PART_HISTORY_BASE_H

#include "suspect/suspect_type.h"

#include <list>
#include <unordered_map>

namespace pollenstall {

/**
 * Tells parts of prompts that are known to be harmless from those that may crash a server. A part
 * that many requests share is on most servers that crash; reported each time, it would be
 * suspected.
 */
class prompt_part_history {
public:
  /// Records that an answer to a request with this part has begun.
  void recordRunBegun(const request_fingerprint &Part, mono_time Now);
  /// Records that a server crashed before it had begun the answer to a request with this part.
  /// @return Whether the part may be the cause.
  bool recordCrash(const request_fingerprint &Part, mono_time Now);

private:
  /// Runs and crashes count half after this time.
  static constexpr mono_duration HalfLife = std::chrono::seconds(10);
  /// A harmless part has runs that begin between two crashes.
  static constexpr std::uint32_t MinCrashesInARow = 2;
  /// A harmless part has more runs that begin than this for each crash.
  static constexpr double RunsPerCrash = 4;
  static constexpr std::size_t MaxParts = 4096;

  struct part_state {
    std::uint64_t Part{0}; ///< Its HeadHash.
    mono_time UpdatedAt;
    double Runs{0};                 ///< That have begun; decays.
    double Crashes{0};              ///< Decays.
    std::uint32_t CrashesInARow{0}; ///< Since the last run that has begun.
  };
  /// Returns the part's state with its counts decayed until now.
  part_state &stateOf(const request_fingerprint &Part, mono_time Now);

  std::list<part_state> States; ///< Those used last come first.
  std::unordered_map<std::uint64_t, std::list<part_state>::iterator> ByPart;
};

} // namespace pollenstall

#endif // POLLENSTALL_SUSPECT_PROMPT_PART_HISTORY_BASE_H
