/** @file sim_engine.cpp Implements the steps of the simulated engine. */
#include "sim_engine_base.h"

#include <algorithm>

namespace pollenstall::bench {

bool sim_engine::runsBefore(const active_job &Left, const active_job &Right) const {
  if (Settings.Priorities && Left.Job.Priority != Right.Job.Priority)
    return Left.Job.Priority < Right.Job.Priority;
  return Left.ArrivalNumber < Right.ArrivalNumber;
}

void sim_engine::enqueue(const sim_job &Job) {
  active_job Entry;
  Entry.Job = Job;
  Entry.ArrivalNumber = NextArrivalNumber++;
  Entry.RemainingPrompt = Job.Prompt;
  const auto Position = std::find_if(Waiting.begin(), Waiting.end(), [&](const active_job &Other) {
    return runsBefore(Entry, Other);
  });
  Waiting.insert(Position, Entry);
}

void sim_engine::cancel(std::size_t Number) {
  const auto HasNumber = [Number](const active_job &Entry) { return Entry.Job.Number == Number; };
  std::erase_if(Waiting, HasNumber);
  const auto Found = std::find_if(Running.begin(), Running.end(), HasNumber);
  if (Found == Running.end())
    return;
  ReservedTokens -= requiredTokens(Found->Job);
  Running.erase(Found);
}

std::vector<std::size_t> sim_engine::removeAllJobs() {
  std::vector<std::size_t> Attempts;
  for (const auto *List : {&Running, &Waiting})
    for (const active_job &Entry : *List)
      Attempts.push_back(Entry.Job.Number);
  Running.clear();
  Waiting.clear();
  ReservedTokens = 0;
  Stepping = false;
  return Attempts;
}

std::int64_t sim_engine::lookUpPrefix(const sim_job &Job) {
  if (Job.PrefixTokens == 0)
    return 0;
  const auto Found = std::find_if(PrefixCache.begin(), PrefixCache.end(),
                                  [&Job](const auto &Entry) { return Entry.first == Job.Prefix; });
  if (Found != PrefixCache.end()) {
    PrefixCache.splice(PrefixCache.begin(), PrefixCache, Found);
    return Job.PrefixTokens;
  }
  PrefixCache.emplace_front(Job.Prefix, Job.PrefixTokens);
  CachedPrefixTokens += Job.PrefixTokens;
  while (CachedPrefixTokens > Settings.CacheTokens) {
    CachedPrefixTokens -= PrefixCache.back().second;
    PrefixCache.pop_back();
  }
  return 0;
}

void sim_engine::admit() {
  while (!Waiting.empty() && Running.size() < Settings.MaxRunning) {
    active_job &Entry = Waiting.front();
    if (ReservedTokens + requiredTokens(Entry.Job) > Settings.MemoryTokens)
      return;
    ReservedTokens += requiredTokens(Entry.Job);
    Entry.CachedTokens = lookUpPrefix(Entry.Job);
    Entry.RemainingPrompt = std::max<std::int64_t>(1, Entry.RemainingPrompt - Entry.CachedTokens);
    const auto Position =
        std::find_if(Running.begin(), Running.end(),
                     [&](const active_job &Other) { return runsBefore(Entry, Other); });
    Running.splice(Position, Waiting, Waiting.begin());
  }
}

double sim_engine::beginStep() {
  Stepping = true;
  admit();
  std::int64_t Budget = Settings.ChunkTokens;
  double Seconds = Settings.BaseSeconds;
  for (active_job &Entry : Running) {
    Entry.Decoding = Entry.RemainingPrompt == 0;
    Entry.StepTokens = std::min(Budget, Entry.RemainingPrompt);
    Budget -= Entry.StepTokens;
    Seconds += static_cast<double>(Entry.StepTokens) * Settings.PrefillSeconds;
    Seconds += Entry.Decoding ? Settings.DecodeSeconds : 0.0;
  }
  return Seconds * Slowdown;
}

step_outcome sim_engine::endStep() {
  Stepping = false;
  step_outcome Outcome;
  for (auto Entry = Running.begin(); Entry != Running.end();) {
    const bool PrefillEnds =
        Entry->RemainingPrompt > 0 && Entry->RemainingPrompt == Entry->StepTokens;
    Entry->RemainingPrompt -= Entry->StepTokens;
    Entry->StepTokens = 0;
    if (PrefillEnds)
      Outcome.FirstTokens.push_back(Entry->Job.Number);
    else if (Entry->Decoding)
      Outcome.FurtherTokens.push_back(Entry->Job.Number);
    if (PrefillEnds || Entry->Decoding)
      ++Entry->ProducedTokens;
    Entry->Decoding = false;
    const bool IsComplete =
        Entry->RemainingPrompt == 0 && Entry->ProducedTokens >= Entry->Job.Answer;
    if (IsComplete) {
      Outcome.Completed.push_back(Entry->Job.Number);
      ReservedTokens -= requiredTokens(Entry->Job);
      Entry = Running.erase(Entry);
    } else {
      ++Entry;
    }
  }
  return Outcome;
}

std::int64_t sim_engine::cachedTokens(std::size_t Number) const {
  for (const active_job &Entry : Running)
    if (Entry.Job.Number == Number)
      return Entry.CachedTokens;
  return 0;
}

backend_load sim_engine::load() const {
  backend_load Load;
  Load.Running = static_cast<std::uint32_t>(Running.size());
  Load.Waiting = static_cast<std::uint32_t>(Waiting.size());
  std::int64_t PendingPrefill = 0;
  std::int64_t UsedTokens = 0;
  for (const active_job &Entry : Running) {
    PendingPrefill += Entry.RemainingPrompt;
    UsedTokens += Entry.Job.Prompt - Entry.RemainingPrompt + Entry.ProducedTokens;
  }
  for (const active_job &Entry : Waiting)
    PendingPrefill += Entry.RemainingPrompt;
  Load.WaitingPrefill = tokens(PendingPrefill);
  Load.UsedBlocks = memory_blocks(UsedTokens / Settings.BlockTokens);
  Load.CachedBlocks = memory_blocks(CachedPrefixTokens / Settings.BlockTokens);
  return Load;
}

} // namespace pollenstall::bench
