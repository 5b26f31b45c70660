/** @file prompt_part_history.cpp The parts that were used last, with their runs and crashes. */
#include "suspect/prompt_part_history_base.h"

#include <cmath>

namespace pollenstall {

prompt_part_history::part_state &prompt_part_history::stateOf(const request_fingerprint &Part,
                                                              mono_time Now) {
  if (const auto Found = ByPart.find(Part.HeadHash); Found != ByPart.end()) {
    States.splice(States.begin(), States, Found->second);
    part_state &State = States.front();
    const std::chrono::duration<double> Elapsed = Now - State.UpdatedAt;
    const double Factor = std::exp2(-Elapsed / std::chrono::duration<double>(HalfLife));
    State.Runs *= Factor;
    State.Crashes *= Factor;
    State.UpdatedAt = Now;
    return State;
  }
  if (States.size() >= MaxParts) {
    ByPart.erase(States.back().Part);
    States.pop_back();
  }
  States.push_front({Part.HeadHash, Now, 0, 0, 0});
  ByPart.emplace(Part.HeadHash, States.begin());
  return States.front();
}

void prompt_part_history::recordRunBegun(const request_fingerprint &Part, mono_time Now) {
  part_state &State = stateOf(Part, Now);
  ++State.Runs;
  State.CrashesInARow = 0;
}

bool prompt_part_history::recordCrash(const request_fingerprint &Part, mono_time Now) {
  part_state &State = stateOf(Part, Now);
  ++State.Crashes;
  ++State.CrashesInARow;
  return State.CrashesInARow >= MinCrashesInARow || State.Runs < State.Crashes * RunsPerCrash;
}

} // namespace pollenstall
