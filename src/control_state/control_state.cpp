/** @file control_state.cpp Answers to change ids and their bounds. */
#include "control_state/control_state_base.h"

#include <utility>

namespace pollenstall {

control_state::control_state(const control_limits &StateLimits)
    : Limits(StateLimits), Claims(StateLimits.MaxClaims), Evacuations(StateLimits.MaxEvacuations) {}

const answer_record *control_state::findAnswer(const change_id &Id) const {
  const auto Found = Answers.find(Id);
  return Found == Answers.end() ? nullptr : &Found->second;
}

void control_state::recordAnswer(answer_record Answer) {
  LatestCommandTime = std::max(LatestCommandTime, Answer.Time);
  Answer.Time = LatestCommandTime;
  AnswerOrder.push_back(Answer.Id);
  const bool Inserted = Answers.emplace(Answer.Id, std::move(Answer)).second;
  requireInvariant(Inserted, "a change id is answered once");
  evictOldAnswers();
}

void control_state::evictOldAnswers() {
  const unix_millis MinTime = LatestCommandTime - Limits.AnswerLifetime;
  while (!AnswerOrder.empty()) {
    const auto Oldest = Answers.find(AnswerOrder.front());
    const bool Expired = Oldest->second.Time < MinTime;
    if (!Expired && AnswerOrder.size() <= Limits.MaxAnswers)
      return;
    Answers.erase(Oldest);
    AnswerOrder.pop_front();
  }
}

void control_state::requireConsistent() const {
  requireInvariant(Answers.size() == AnswerOrder.size(),
                   "every answer is listed in the order of answers");
  requireInvariant(History.empty() || History.back().Revision == Declared.Revision,
                   "the history ends with the current declaration");
}

} // namespace pollenstall
