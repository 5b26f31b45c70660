/** @file sim_engine.cpp Steps of the engine model. */
#include "sim_engine_base.h"

#include <algorithm>

namespace pollenstall::bench {

bool sim_engine::before(const active_job &Left, const active_job &Right) const {
  if (Settings.Priorities && Left.Job.Priority != Right.Job.Priority)
    return Left.Job.Priority < Right.Job.Priority;
  return Left.Order < Right.Order;
}

void sim_engine::enqueue(const sim_job &Job) {
  active_job Entry;
  Entry.Job = Job;
  Entry.Order = NextOrder++;
  Entry.Left = Job.Prompt;
  const auto Place = std::find_if(Waiting.begin(), Waiting.end(),
                                  [&](const active_job &Other) { return before(Entry, Other); });
  Waiting.insert(Place, Entry);
}

void sim_engine::cancel(std::size_t Number) {
  const auto Is = [Number](const active_job &Entry) { return Entry.Job.Number == Number; };
  std::erase_if(Waiting, Is);
  const auto Found = std::find_if(Running.begin(), Running.end(), Is);
  if (Found == Running.end())
    return;
  Promised -= needOf(Found->Job);
  Running.erase(Found);
}

std::vector<std::size_t> sim_engine::lose() {
  std::vector<std::size_t> Numbers;
  for (const auto *List : {&Running, &Waiting})
    for (const active_job &Entry : *List)
      Numbers.push_back(Entry.Job.Number);
  Running.clear();
  Waiting.clear();
  Promised = 0;
  Stepping = false;
  return Numbers;
}

std::int64_t sim_engine::lookUpPrefix(const sim_job &Job) {
  if (Job.PrefixTokens == 0)
    return 0;
  const auto Found = std::find_if(Cache.begin(), Cache.end(),
                                  [&Job](const auto &Entry) { return Entry.first == Job.Prefix; });
  if (Found != Cache.end()) {
    Cache.splice(Cache.begin(), Cache, Found);
    return Job.PrefixTokens;
  }
  Cache.emplace_front(Job.Prefix, Job.PrefixTokens);
  CachedTotal += Job.PrefixTokens;
  while (CachedTotal > Settings.CacheTokens) {
    CachedTotal -= Cache.back().second;
    Cache.pop_back();
  }
  return 0;
}

void sim_engine::admit() {
  while (!Waiting.empty() && Running.size() < Settings.MostRunning) {
    active_job &Entry = Waiting.front();
    if (Promised + needOf(Entry.Job) > Settings.MemoryTokens)
      return;
    Promised += needOf(Entry.Job);
    Entry.Cached = lookUpPrefix(Entry.Job);
    Entry.Left = std::max<std::int64_t>(1, Entry.Left - Entry.Cached);
    const auto Place = std::find_if(Running.begin(), Running.end(),
                                    [&](const active_job &Other) { return before(Entry, Other); });
    Running.splice(Place, Waiting, Waiting.begin());
  }
}

double sim_engine::start() {
  Stepping = true;
  admit();
  std::int64_t Budget = Settings.ChunkTokens;
  double Seconds = Settings.BaseSeconds;
  for (active_job &Entry : Running) {
    Entry.Decoding = Entry.Left == 0;
    Entry.ThisStep = std::min(Budget, Entry.Left);
    Budget -= Entry.ThisStep;
    Seconds += static_cast<double>(Entry.ThisStep) * Settings.PrefillSeconds;
    Seconds += Entry.Decoding ? Settings.DecodeSeconds : 0.0;
  }
  return Seconds * Slowdown;
}

step_outcome sim_engine::finish() {
  Stepping = false;
  step_outcome Outcome;
  for (auto Entry = Running.begin(); Entry != Running.end();) {
    const bool Ends = Entry->Left > 0 && Entry->Left == Entry->ThisStep;
    Entry->Left -= Entry->ThisStep;
    Entry->ThisStep = 0;
    if (Ends)
      Outcome.FirstTokens.push_back(Entry->Job.Number);
    else if (Entry->Decoding)
      Outcome.FurtherTokens.push_back(Entry->Job.Number);
    if (Ends || Entry->Decoding)
      ++Entry->Produced;
    Entry->Decoding = false;
    const bool Over = Entry->Left == 0 && Entry->Produced >= Entry->Job.Answer;
    if (Over) {
      Outcome.Completed.push_back(Entry->Job.Number);
      Promised -= needOf(Entry->Job);
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
      return Entry.Cached;
  return 0;
}

backend_load sim_engine::load() const {
  backend_load Load;
  Load.Running = static_cast<std::uint32_t>(Running.size());
  Load.Waiting = static_cast<std::uint32_t>(Waiting.size());
  std::int64_t Pending = 0;
  std::int64_t Used = 0;
  for (const active_job &Entry : Running) {
    Pending += Entry.Left;
    Used += Entry.Job.Prompt - Entry.Left + Entry.Produced;
  }
  for (const active_job &Entry : Waiting)
    Pending += Entry.Left;
  Load.WaitingPrefill = tokens(Pending);
  Load.UsedBlocks = memory_blocks(Used / Settings.BlockTokens);
  Load.CachedBlocks = memory_blocks(CachedTotal / Settings.BlockTokens);
  return Load;
}

} // namespace pollenstall::bench
