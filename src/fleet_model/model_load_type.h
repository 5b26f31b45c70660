/** @file model_load_type.h What a run of the fleet model is made of. */
#ifndef POLLENSTALL_FLEET_MODEL_MODEL_LOAD_TYPE_H
#define POLLENSTALL_FLEET_MODEL_MODEL_LOAD_TYPE_H

#include "declaration/declaration_type.h"
#include "placement/placement_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// Sizes that are drawn from a log-normal distribution and cut at a bound.
struct size_spread {
  double Mean{1};
  double Spread{0}; ///< Standard deviation of the logarithm.
  double Most{1e9};
};

/// One kind of request. Milliseconds where a name says so.
struct request_kind {
  std::string Name;
  double PerSecond{1};
  size_spread Prompt; ///< Tokens.
  size_spread Events; ///< Of the answer.
  double TargetMs{1'000};
  double GapMs{1'000};
  double TimeoutMs{10'000};
  /// A caller leaves where no event came for so long, and comes back once; 0: at its timeout.
  double PatienceMs{0};
  std::uint32_t Urgency{0};
  double Worth{1};     ///< Of a request of mean size that is answered on time.
  double LateWorth{0}; ///< Of one that is answered late.
};

/// For some seconds a kind comes more or less often.
struct load_phase {
  std::string Kind; ///< Empty: all of them.
  double From{0};   ///< Seconds.
  double Until{0};  ///< Seconds.
  double Factor{1};
};

/// Engines that are gone for some seconds; what they ran is broken off.
struct engine_loss {
  double At{0};    ///< Seconds.
  double For{0};   ///< Seconds.
  double Share{0}; ///< Of all engines.
};

/// Entries that are gone for some seconds; their callers come back to others at once.
struct entry_loss {
  double At{0};         ///< Seconds.
  double For{0};        ///< Seconds.
  std::size_t Count{1}; ///< Of entries.
};

/// Entries, engines and callers of one run.
struct model_load {
  std::string Name;
  double Seconds{60};
  std::size_t Entries{8};
  std::size_t Engines{18};
  std::size_t Domains{3};    ///< Failure domains of the entries.
  double ReportDelayMs{0};   ///< Of work reports, beside HostDelayMs: until they are looked at.
  double ReportLoss{0};      ///< Part of the work reports.
  double HostDelayMs{0.5};   ///< One way, between hosts, and from an entry to an engine.
  double CallerDelayMs{1.0}; ///< One way, between callers and entries.
  double ReturnChance{1.0};  ///< Of a caller that was refused; it comes once, when it was told to.
  engine_profile Engine;
  double TokensPerEvent{51};
  std::vector<request_kind> Kinds;
  std::vector<load_phase> Phases;
  std::vector<engine_loss> Losses;
  std::vector<entry_loss> EntryLosses;
  placement_tuning Tuning;
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_MODEL_LOAD_TYPE_H
