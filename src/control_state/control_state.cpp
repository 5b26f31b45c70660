/** @file control_state.cpp The table of first answers and its bounds. */
#include "control_state/control_state_base.h"

#include <utility>

namespace pollenstall {

control_state::control_state(const control_limits &Bounds)
    : Limits(Bounds), Claims(Bounds.MaxClaims) {}

const answer_record *control_state::findAnswer(const change_id &Id) const {
  const auto Found = Answers.find(Id);
  return Found == Answers.end() ? nullptr : &Found->second;
}

void control_state::record(answer_record Answer) {
  LatestTime = std::max(LatestTime, Answer.Time);
  Answer.Time = LatestTime;
  AnswerOrder.push_back(Answer.Id);
  const bool New = Answers.emplace(Answer.Id, std::move(Answer)).second;
  requireInvariant(New, "a change id is answered once");
  forgetOldAnswers();
}

void control_state::forgetOldAnswers() {
  const unix_millis Oldest = LatestTime - Limits.AnswerLifetime;
  while (!AnswerOrder.empty()) {
    const auto First = Answers.find(AnswerOrder.front());
    const bool Expired = First->second.Time < Oldest;
    if (!Expired && AnswerOrder.size() <= Limits.MaxAnswers)
      return;
    Answers.erase(First);
    AnswerOrder.pop_front();
  }
}

void control_state::requireConsistent() const {
  requireInvariant(Answers.size() == AnswerOrder.size(), "every answer is in the order of answers");
  requireInvariant(History.empty() || History.back().Revision == Declared.Revision,
                   "the history ends with the declaration in force");
}

} // namespace pollenstall
