/** @file control_state_sl.cpp Converts the control state to and from a snapshot of plain values.
 * The protocol layer encodes the snapshot and adds its format version. */
#include "control_state/control_state_base.h"

namespace pollenstall {

namespace {

bool isValidSnapshot(const control_snapshot &Snapshot, const control_limits &StateLimits) {
  if (Snapshot.Answers.size() > StateLimits.MaxAnswers ||
      Snapshot.History.size() > StateLimits.MaxHistory)
    return false;
  if (Snapshot.Drains.size() > StateLimits.MaxDrains ||
      Snapshot.Backends.size() > StateLimits.MaxBackends)
    return false;
  return Snapshot.History.empty() || Snapshot.History.back().Revision == Snapshot.Declared.Revision;
}

} // namespace

control_snapshot control_state::snapshot() const {
  control_snapshot Snapshot;
  Snapshot.Declared = Declared;
  Snapshot.History.assign(History.begin(), History.end());
  Snapshot.Answers.reserve(AnswerOrder.size());
  for (const change_id &Id : AnswerOrder)
    Snapshot.Answers.push_back(Answers.at(Id));
  Snapshot.Drains.assign(Drains.begin(), Drains.end());
  Snapshot.DrainsVersion = DrainsVersion;
  Snapshot.LastFence = LastFence;
  Snapshot.LatestCommandTime = LatestCommandTime;
  Snapshot.Claims = Claims.snapshot();
  Snapshot.Backends = backends();
  Snapshot.Suspects = Suspects.records();
  Snapshot.SuspectsVersion = Suspects.version();
  Snapshot.Evacuations = Evacuations.records();
  Snapshot.EvacuationsVersion = Evacuations.version();
  return Snapshot;
}

result<control_state, control_state_error>
control_state::restore(const control_snapshot &Snapshot, const control_limits &StateLimits) {
  if (!isValidSnapshot(Snapshot, StateLimits))
    return control_state_error::InvalidSnapshot;
  auto Claims = claim_table::restore(Snapshot.Claims, StateLimits.MaxClaims);
  if (!succeeded(Claims))
    return control_state_error::InvalidSnapshot;
  control_state State(StateLimits);
  State.Claims = valueOf(std::move(Claims));
  State.Declared = Snapshot.Declared;
  State.History.assign(Snapshot.History.begin(), Snapshot.History.end());
  for (const answer_record &Answer : Snapshot.Answers) {
    if (!State.Answers.emplace(Answer.Id, Answer).second)
      return control_state_error::InvalidSnapshot;
    State.AnswerOrder.push_back(Answer.Id);
  }
  State.Drains.insert(Snapshot.Drains.begin(), Snapshot.Drains.end());
  State.DrainsVersion = Snapshot.DrainsVersion;
  State.LastFence = Snapshot.LastFence;
  State.LatestCommandTime = Snapshot.LatestCommandTime;
  for (const backend_listing &Listing : Snapshot.Backends)
    if (!State.Backends.emplace(Listing.Instance, Listing).second)
      return control_state_error::InvalidSnapshot;
  if (!State.Suspects.restore(Snapshot.Suspects, Snapshot.SuspectsVersion) ||
      !State.Evacuations.restore(Snapshot.Evacuations, Snapshot.EvacuationsVersion))
    return control_state_error::InvalidSnapshot;
  return State;
}

} // namespace pollenstall
