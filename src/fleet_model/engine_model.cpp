/** @file engine_model.cpp The passes of a simulated engine. */
#include "fleet_model/engine_model_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr double Thousand = 1e3;
constexpr double Million = 1e6;
/// Fewer remaining tokens count as prefilled: the parts of a prompt add up to its length only up to
/// rounding errors.
constexpr double PrefillTolerance = 0.5;

template <typename JobList, typename JobType>
void insertByUrgency(JobList &Jobs, const JobType &Added) {
  const auto Position = std::find_if(Jobs.begin(), Jobs.end(), [&Added](const auto &Existing) {
    return Existing.Job.Urgency > Added.Job.Urgency;
  });
  Jobs.insert(Position, Added);
}

} // namespace

void engine_model::addJob(const engine_job &Job) {
  active_job Active;
  Active.Job = Job;
  Active.RemainingPrefill = Job.Prompt / static_cast<double>(Job.PrefillEngines);
  Active.PendingParts = Job.PrefillEngines - 1;
  insertByUrgency(Waiting, Active);
}

void engine_model::addRemotePart(std::size_t JobId, double Tokens, double Prompt) {
  // Token pairs of attention are divided evenly among the parts: on average, half of the prompt
  // precedes a token.
  const double PerToken = Thousand / Figures.PrefillTokensPerSecond +
                          Prompt / 2.0 / Million * Figures.MsPerMillionPairs;
  RemoteParts.push_back({JobId, Tokens, 0, PerToken});
}

pass_outcome engine_model::completeRemotePart(std::size_t JobId) {
  pass_outcome Outcome;
  for (auto *JobList : {&Running, &Waiting})
    for (active_job &Active : *JobList) {
      if (Active.Job.JobId != JobId || Active.PendingParts == 0)
        continue;
      --Active.PendingParts;
      // The first event follows the last part at once. Each later event takes a pass.
      if (Active.isDecoding())
        emitEvent(Active, Outcome);
    }
  removeEnded();
  return Outcome;
}

void engine_model::emitEvent(active_job &Active, pass_outcome &Outcome) {
  ++Active.EmittedEvents;
  Outcome.Events.push_back(Active.Job.JobId);
  if (Active.EmittedEvents >= Active.Job.Events)
    Outcome.EndedJobs.push_back(Active.Job.JobId);
}

void engine_model::removeEnded() {
  std::erase_if(Running,
                [](const active_job &Active) { return Active.EmittedEvents >= Active.Job.Events; });
}

void engine_model::cancel(std::size_t JobId) {
  const auto Matches = [JobId](const active_job &Active) { return Active.Job.JobId == JobId; };
  std::erase_if(Running, Matches);
  std::erase_if(Waiting, Matches);
  std::erase_if(RemoteParts, [JobId](const remote_part &Part) { return Part.JobId == JobId; });
  std::erase_if(Reservations, [JobId](const memory_reservation &Reservation) {
    return Reservation.JobId == JobId;
  });
}

std::vector<std::size_t> engine_model::reset() {
  std::vector<std::size_t> JobIds;
  for (const auto *JobList : {&Running, &Waiting})
    for (const active_job &Active : *JobList)
      JobIds.push_back(Active.Job.JobId);
  Running.clear();
  Waiting.clear();
  RemoteParts.clear();
  Reservations.clear();
  InPass = false;
  return JobIds;
}

bool engine_model::canStart() const {
  const bool AnyActive = std::any_of(Running.begin(), Running.end(), [](const active_job &Active) {
    return Active.isPrefilling() || Active.isDecoding();
  });
  return !InPass && (AnyActive || !Waiting.empty() || !RemoteParts.empty());
}

double engine_model::localContext(const active_job &Active) const {
  return Active.Job.Prompt - Active.Job.ReservedElsewhere + Active.EmittedEvents * EventTokens;
}

double engine_model::memoryUsed() const {
  double Used = 0;
  for (const active_job &Active : Running)
    Used += localContext(Active);
  for (const memory_reservation &Reservation : Reservations)
    Used += Reservation.Tokens;
  return Used;
}

double engine_model::fill() const {
  return std::max(static_cast<double>(Running.size()) / Figures.BatchSlots,
                  memoryUsed() / static_cast<double>(Figures.Memory.value()));
}

void engine_model::admit() {
  const auto Memory = static_cast<double>(Figures.Memory.value());
  while (!Waiting.empty() && Running.size() < Figures.BatchSlots) {
    active_job &Active = Waiting.front();
    if (memoryUsed() + Active.Job.Prompt - Active.Job.ReservedElsewhere + Active.Job.Answer >
        Memory)
      return;
    insertByUrgency(Running, Active);
    Waiting.pop_front();
  }
}

double engine_model::prefillCostMs(const active_job &Active, double Tokens) const {
  const double OwnPart = Active.Job.Prompt / static_cast<double>(Active.Job.PrefillEngines);
  // A single engine pairs each token with those before it. Each of several engines processes an
  // even share of all pairs.
  const double PrecedingTokens = Active.Job.PrefillEngines > 1
                                     ? Active.Job.Prompt / 2.0
                                     : OwnPart - Active.RemainingPrefill + Tokens / 2.0;
  return Tokens / Figures.PrefillTokensPerSecond * Thousand +
         Tokens * PrecedingTokens / Million * Figures.MsPerMillionPairs;
}

double engine_model::prefillParts(double &Budget) {
  double Ms = 0;
  for (remote_part &Part : RemoteParts) {
    Part.PrefillThisPass = std::min(Budget, Part.RemainingPrefill);
    Budget -= Part.PrefillThisPass;
    Ms += Part.PrefillThisPass * Part.MsPerToken;
  }
  return Ms;
}

double engine_model::prefillJobs(double &Budget) {
  double Ms = 0;
  for (active_job &Active : Running) {
    Active.PrefillThisPass = std::min(Budget, Active.RemainingPrefill);
    Budget -= Active.PrefillThisPass;
    Ms += prefillCostMs(Active, Active.PrefillThisPass);
  }
  return Ms;
}

double engine_model::startPass() {
  InPass = true;
  admit();
  double StepMs = Figures.StepMs;
  bool AnyDecoding = false;
  for (active_job &Active : Running) {
    Active.DecodesThisPass = Active.isDecoding();
    if (!Active.DecodesThisPass)
      continue;
    AnyDecoding = true;
    StepMs += Figures.PerSequenceMs + localContext(Active) / Thousand * Figures.PerContextMs;
  }
  const double Steps = AnyDecoding ? static_cast<double>(Figures.StepsPerPass) : 1.0;
  double Budget = Steps * static_cast<double>(Figures.PrefillChunk.value());
  const double PrefillMs = prefillParts(Budget) + prefillJobs(Budget);
  TimeSpent.Prefill += PrefillMs;
  TimeSpent.Decode += AnyDecoding ? Steps * StepMs : 0;
  return Steps * StepMs + PrefillMs;
}

pass_outcome engine_model::finishPass() {
  InPass = false;
  pass_outcome Outcome;
  for (remote_part &Part : RemoteParts) {
    Part.RemainingPrefill -= Part.PrefillThisPass;
    if (Part.RemainingPrefill < PrefillTolerance)
      Outcome.PrefilledParts.push_back(Part.JobId);
  }
  std::erase_if(RemoteParts,
                [](const remote_part &Part) { return Part.RemainingPrefill < PrefillTolerance; });
  for (active_job &Active : Running) {
    const bool Prefilled = Active.PrefillThisPass > 0;
    Active.RemainingPrefill -= Active.PrefillThisPass;
    Active.PrefillThisPass = 0;
    if (Active.RemainingPrefill < PrefillTolerance)
      Active.RemainingPrefill = 0;
    const bool First = Prefilled && Active.EmittedEvents == 0 && Active.isDecoding();
    if (First || Active.DecodesThisPass)
      emitEvent(Active, Outcome);
    Active.DecodesThisPass = false;
  }
  removeEnded();
  return Outcome;
}

} // namespace pollenstall
