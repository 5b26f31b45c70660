/** @file engine_model.cpp Passes of one engine. */
#include "fleet_model/engine_model_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr double Thousand = 1e3;
constexpr double Million = 1e6;
/// Less than this is read: sums of parts of a prompt miss its length by rounding.
constexpr double ReadOver = 0.5;

template <typename List, typename Entry> void insertByUrgency(List &Into, const Entry &New) {
  const auto Place = std::find_if(Into.begin(), Into.end(), [&New](const auto &Other) {
    return Other.Job.Urgency > New.Job.Urgency;
  });
  Into.insert(Place, New);
}

} // namespace

void engine_model::take(const engine_job &Job) {
  active_job Entry;
  Entry.Job = Job;
  Entry.ToRead = Job.Prompt / static_cast<double>(Job.Readers);
  Entry.PartsOpen = Job.Readers - 1;
  insertByUrgency(Waiting, Entry);
}

void engine_model::takePart(std::size_t Number, double Tokens, double Prompt) {
  // A part has its share of the pairs of the whole prompt: on average half of it lies before.
  const double PerToken = Thousand / Figures.PrefillTokensPerSecond +
                          Prompt / 2.0 / Million * Figures.MsPerMillionPairs;
  Parts.push_back({Number, Tokens, 0, PerToken});
}

pass_outcome engine_model::partRead(std::size_t Number) {
  pass_outcome Outcome;
  for (auto *List : {&Running, &Waiting})
    for (active_job &Entry : *List) {
      if (Entry.Job.Number != Number || Entry.PartsOpen == 0)
        continue;
      --Entry.PartsOpen;
      // The first token follows the last part at once; each later event takes a pass.
      if (Entry.writes())
        writeEvent(Entry, Outcome);
    }
  dropEnded();
  return Outcome;
}

void engine_model::writeEvent(active_job &Entry, pass_outcome &Outcome) {
  ++Entry.Written;
  Outcome.Events.push_back(Entry.Job.Number);
  if (Entry.Written >= Entry.Job.Events)
    Outcome.Ended.push_back(Entry.Job.Number);
}

void engine_model::dropEnded() {
  std::erase_if(Running, [](const active_job &Entry) { return Entry.Written >= Entry.Job.Events; });
}

void engine_model::cancel(std::size_t Number) {
  const auto Is = [Number](const active_job &Entry) { return Entry.Job.Number == Number; };
  std::erase_if(Running, Is);
  std::erase_if(Waiting, Is);
  std::erase_if(Parts, [Number](const foreign_part &Part) { return Part.Number == Number; });
  std::erase_if(Held, [Number](const held_memory &Hold) { return Hold.Number == Number; });
}

std::vector<std::size_t> engine_model::lose() {
  std::vector<std::size_t> Numbers;
  for (const auto *List : {&Running, &Waiting})
    for (const active_job &Entry : *List)
      Numbers.push_back(Entry.Job.Number);
  Running.clear();
  Waiting.clear();
  Parts.clear();
  Held.clear();
  InPass = false;
  return Numbers;
}

bool engine_model::canStart() const {
  const bool Reads = std::any_of(Running.begin(), Running.end(), [](const active_job &Entry) {
    return Entry.reads() || Entry.writes();
  });
  return !InPass && (Reads || !Waiting.empty() || !Parts.empty());
}

double engine_model::contextHere(const active_job &Entry) const {
  return Entry.Job.Prompt - Entry.Job.HeldElsewhere + Entry.Written * EventTokens;
}

double engine_model::memoryUsed() const {
  double Used = 0;
  for (const active_job &Entry : Running)
    Used += contextHere(Entry);
  for (const held_memory &Hold : Held)
    Used += Hold.Tokens;
  return Used;
}

void engine_model::admit() {
  const auto Memory = static_cast<double>(Figures.Memory.value());
  while (!Waiting.empty() && Running.size() < Figures.BatchSlots) {
    active_job &Entry = Waiting.front();
    if (memoryUsed() + Entry.Job.Prompt - Entry.Job.HeldElsewhere + Entry.Job.Answer > Memory)
      return;
    insertByUrgency(Running, Entry);
    Waiting.pop_front();
  }
}

double engine_model::readCost(const active_job &Entry, double Tokens) const {
  const double Own = Entry.Job.Prompt / static_cast<double>(Entry.Job.Readers);
  // Alone, a token meets those before it; one of several readers has its share of all pairs.
  const double Before =
      Entry.Job.Readers > 1 ? Entry.Job.Prompt / 2.0 : Own - Entry.ToRead + Tokens / 2.0;
  return Tokens / Figures.PrefillTokensPerSecond * Thousand +
         Tokens * Before / Million * Figures.MsPerMillionPairs;
}

double engine_model::readParts(double &Budget) {
  double Ms = 0;
  for (foreign_part &Part : Parts) {
    Part.ThisPass = std::min(Budget, Part.ToRead);
    Budget -= Part.ThisPass;
    Ms += Part.ThisPass * Part.MsPerToken;
  }
  return Ms;
}

double engine_model::readJobs(double &Budget) {
  double Ms = 0;
  for (active_job &Entry : Running) {
    Entry.ThisPass = std::min(Budget, Entry.ToRead);
    Budget -= Entry.ThisPass;
    Ms += readCost(Entry, Entry.ThisPass);
  }
  return Ms;
}

double engine_model::start() {
  InPass = true;
  admit();
  double StepMs = Figures.StepMs;
  bool Writes = false;
  for (active_job &Entry : Running) {
    Entry.WritesThisPass = Entry.writes();
    if (!Entry.WritesThisPass)
      continue;
    Writes = true;
    StepMs += Figures.PerSequenceMs + contextHere(Entry) / Thousand * Figures.PerContextMs;
  }
  const double Steps = Writes ? static_cast<double>(Figures.StepsPerPass) : 1.0;
  double Budget = Steps * static_cast<double>(Figures.PrefillChunk.value());
  const double PrefillMs = readParts(Budget) + readJobs(Budget);
  Spent.Read += PrefillMs;
  Spent.Write += Writes ? Steps * StepMs : 0;
  return Steps * StepMs + PrefillMs;
}

pass_outcome engine_model::finish() {
  InPass = false;
  pass_outcome Outcome;
  for (foreign_part &Part : Parts) {
    Part.ToRead -= Part.ThisPass;
    if (Part.ToRead < ReadOver)
      Outcome.ReadParts.push_back(Part.Number);
  }
  std::erase_if(Parts, [](const foreign_part &Part) { return Part.ToRead < ReadOver; });
  for (active_job &Entry : Running) {
    const bool Read = Entry.ThisPass > 0;
    Entry.ToRead -= Entry.ThisPass;
    Entry.ThisPass = 0;
    if (Entry.ToRead < ReadOver)
      Entry.ToRead = 0;
    const bool First = Read && Entry.Written == 0 && Entry.writes();
    if (First || Entry.WritesThisPass)
      writeEvent(Entry, Outcome);
    Entry.WritesThisPass = false;
  }
  dropEnded();
  return Outcome;
}

} // namespace pollenstall
