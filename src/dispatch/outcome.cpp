/** @file outcome.cpp Classification of attempt failures by the attempt's state. */
#include "dispatch/outcome_func.h"

namespace pollenstall {

attempt_failure failureInState(attempt_failure Reported, attempt_state State) {
  if (isMidAnswer(State))
    return Reported == attempt_failure::BadAnswer ? Reported : attempt_failure::BrokenMidway;
  const bool BytesMayBeOut = State != attempt_state::Connecting;
  return BytesMayBeOut && wasNeverSent(Reported) ? attempt_failure::BrokenSent : Reported;
}

bool mayHoldMemory(attempt_failure Failure) {
  return !provesNotRun(Failure) && Failure != attempt_failure::ErrorAnswer;
}

bool mayResume(attempt_failure Failure) { return Failure == attempt_failure::BrokenMidway; }

} // namespace pollenstall
