/** @file engine.cpp Block-based admission, chunked prefill, and one token per step and sequence. */
#include "fake_backend/engine_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

std::int64_t engine_job::eventsReady() const {
  if (State == job_state::Finished)
    return eventCount(Answer);
  return ProducedTokens == 0 ? 0 : ProducedTokens + 1;
}

engine::queue_key engine::queueKey(const engine_job &Job) const {
  return {EngineLimits.Priorities ? Job.Priority : 0, Job.Arrival};
}

std::int64_t engine::requiredBlocks(const engine_job &Job) const {
  const std::int64_t Tokens = Job.Answer.PromptTokens + Job.Answer.AnswerTokens;
  return (Tokens + EngineLimits.BlockTokens - 1) / EngineLimits.BlockTokens;
}

std::int64_t engine::usedBlocks() const { return PrivateBlocks + ImportedBlocks + Cache.pinned(); }

result<done, submit_error> engine::submit(const job_ptr &Job) {
  if (requiredBlocks(*Job) > EngineLimits.Blocks)
    return submit_error::TooLarge;
  if (!Jobs.try_emplace(Job->Attempt, Job).second)
    return submit_error::DuplicateAttempt;
  Job->Arrival = ++LastArrival;
  Waiting.emplace(queueKey(*Job), Job);
  return done{};
}

bool engine::makeRoom(std::int64_t Blocks) {
  if (usedBlocks() + Blocks > EngineLimits.Blocks)
    return false;
  while (usedBlocks() + Cache.idle() + Blocks > EngineLimits.Blocks)
    Cache.evictLeastRecentlyUsed();
  return true;
}

bool engine::admit(engine_job &Job) {
  consumeImport(Job);
  const std::int64_t Matching = Cache.countCachedPrefix(Job.BlockHashes);
  for (std::int64_t Index = 0; Index < Matching; ++Index) {
    Cache.pin(Job.BlockHashes[Index]);
    Job.PinnedHashes.push_back(Job.BlockHashes[Index]);
  }
  const std::int64_t NewBlocks = requiredBlocks(Job) - Matching;
  if (!makeRoom(NewBlocks)) {
    release(Job);
    return false;
  }
  Job.PrivateBlocks = NewBlocks;
  PrivateBlocks += NewBlocks;
  // The last prompt token is always computed because its result is the first answer token.
  const std::int64_t ReusableTokens =
      std::max(Matching * EngineLimits.BlockTokens, Job.ImportedTokens);
  Job.PrefilledTokens = std::min(ReusableTokens, Job.Answer.PromptTokens - 1);
  Job.Answer.CachedTokens = Job.PrefilledTokens;
  Job.State = job_state::Prefill;
  return true;
}

void engine::consumeImport(engine_job &Job) {
  const auto Found = Imports.find(Job.Attempt);
  if (Found == Imports.end())
    return;
  Job.ImportedTokens = Found->second.Blocks * EngineLimits.BlockTokens;
  ImportedBlocks -= Found->second.Blocks;
  Imports.erase(Found);
}

void engine::admitWaiting() {
  while (!Waiting.empty() && std::cmp_less(Running.size(), EngineLimits.MaxRunning)) {
    const auto First = Waiting.begin();
    if (!admit(*First->second))
      return;
    Running.insert(*First);
    Waiting.erase(First);
  }
}

std::optional<std::chrono::microseconds> engine::beginStep() {
  admitWaiting();
  if (Running.empty())
    return std::nullopt;
  StepPrefill.clear();
  StepDecode.clear();
  for (const auto &[Key, Job] : Running)
    if (Job->State == job_state::Decode)
      StepDecode.push_back(Job);
  std::int64_t Budget = EngineLimits.ChunkTokens;
  std::int64_t PrefillTokens = 0;
  for (const auto &[Key, Job] : Running) {
    if (Job->State != job_state::Prefill || Budget == 0)
      continue;
    const std::int64_t StepTokens =
        std::min(Budget, Job->Answer.PromptTokens - Job->PrefilledTokens);
    StepPrefill.emplace_back(Job, StepTokens);
    Budget -= StepTokens;
    PrefillTokens += StepTokens;
  }
  const auto PrefillUs =
      static_cast<std::int64_t>(EngineLimits.PrefillTokenUs * static_cast<double>(PrefillTokens));
  return EngineLimits.StepBase + std::chrono::microseconds(PrefillUs) +
         EngineLimits.PerSequence * static_cast<std::int64_t>(StepDecode.size());
}

void engine::endStep(mono_time Now) {
  const auto Prefill = std::exchange(StepPrefill, {});
  const auto Decode = std::exchange(StepDecode, {});
  std::vector<job_ptr> Progressed;
  for (const auto &[Job, StepTokens] : Prefill) {
    if (Job->ended())
      continue;
    Job->PrefilledTokens += StepTokens;
    if (Job->PrefilledTokens < Job->Answer.PromptTokens)
      continue;
    cachePrefix(*Job);
    Job->State = job_state::Decode;
    Progressed.push_back(Job);
  }
  for (const job_ptr &Job : Decode)
    if (!Job->ended())
      Progressed.push_back(Job);
  for (const job_ptr &Job : Progressed)
    if (++Job->ProducedTokens == Job->Answer.AnswerTokens)
      finishJob(Job, job_state::Finished, Now);
  for (const job_ptr &Job : Progressed)
    if (Job->OnProgress)
      Job->OnProgress();
}

void engine::cachePrefix(engine_job &Job) {
  for (std::size_t Index = Job.PinnedHashes.size(); Index < Job.BlockHashes.size(); ++Index) {
    const std::uint64_t Hash = Job.BlockHashes[Index];
    if (!Cache.insertPinned(Hash))
      break; // another job has cached the same prefix; this copy stays private
    Job.PinnedHashes.push_back(Hash);
    --Job.PrivateBlocks;
    --PrivateBlocks;
  }
}

void engine::release(engine_job &Job) {
  PrivateBlocks -= std::exchange(Job.PrivateBlocks, 0);
  // Unpins the longest prefix first, so that eviction removes the ends of prefixes before their
  // beginnings.
  for (auto Hash = Job.PinnedHashes.rbegin(); Hash != Job.PinnedHashes.rend(); ++Hash)
    Cache.unpin(*Hash);
  Job.PinnedHashes.clear();
  evictExcessBlocks();
}

void engine::evictExcessBlocks() {
  while (Cache.idle() > EngineLimits.PrefixCacheBlocks)
    Cache.evictLeastRecentlyUsed();
}

void engine::finishJob(const job_ptr &Job, job_state State, mono_time Now) {
  release(*Job);
  Waiting.erase(queueKey(*Job));
  Running.erase(queueKey(*Job));
  Job->State = State;
  Job->EndedAt = Now;
  Job->BlockHashes = {};
}

job_ptr engine::find(const std::string &Attempt) const {
  const auto Found = Jobs.find(Attempt);
  return Found == Jobs.end() ? nullptr : Found->second;
}

std::optional<job_state> engine::cancel(const std::string &Attempt, mono_time Now) {
  if (const auto Import = Imports.find(Attempt); Import != Imports.end()) {
    ImportedBlocks -= Import->second.Blocks;
    Imports.erase(Import);
    if (!find(Attempt))
      return job_state::Waiting;
  }
  const job_ptr Job = find(Attempt);
  if (!Job)
    return std::nullopt;
  const job_state PreviousState = Job->State;
  if (Job->ended())
    return PreviousState;
  ++Cancels;
  finishJob(Job, job_state::Cancelled, Now);
  if (Job->OnProgress)
    Job->OnProgress();
  return PreviousState;
}

std::uint64_t engine::attachReader(engine_job &Job, std::function<void()> OnProgress) {
  Job.OnProgress = std::move(OnProgress);
  Job.UnreadSince.reset();
  return ++Job.ReaderId;
}

void engine::detachReader(const job_ptr &Job, std::uint64_t ReaderId, mono_time Now) {
  if (Job->ReaderId != ReaderId)
    return;
  Job->OnProgress = nullptr;
  Job->UnreadSince = Now;
  if (!EngineLimits.Resumes)
    cancel(Job->Attempt, Now);
}

void engine::removeExpired(mono_time Now) {
  const auto Expired = [this, Now](const std::optional<mono_time> &Since) {
    return Since && Now - *Since > EngineLimits.ResumeWindow;
  };
  std::vector<std::string> UnresumedAttempts;
  for (const auto &[Attempt, Job] : Jobs)
    if (!Job->ended() && Expired(Job->UnreadSince))
      UnresumedAttempts.push_back(Attempt);
  for (const std::string &Attempt : UnresumedAttempts)
    cancel(Attempt, Now);
  std::erase_if(Jobs, [&Expired](const auto &Entry) { return Expired(Entry.second->EndedAt); });
  std::erase_if(Imports, [this, Now](const auto &Entry) {
    const bool ImportExpired = Now - Entry.second.ReservedAt > EngineLimits.ResumeWindow;
    ImportedBlocks -= ImportExpired ? Entry.second.Blocks : 0;
    return ImportExpired;
  });
}

bool engine::importBlocks(const std::string &Attempt, std::int64_t Blocks, mono_time Now) {
  if (Blocks < 0 || Imports.contains(Attempt) || !makeRoom(Blocks))
    return false;
  ImportedBlocks += Blocks;
  Imports[Attempt] = {Blocks, Now};
  return true;
}

std::vector<job_ptr> engine::undeliveredJobs() const {
  std::vector<job_ptr> List;
  for (const auto &[Attempt, Job] : Jobs)
    if (!Job->ended() || (Job->State == job_state::Finished && !Job->Delivered))
      List.push_back(Job);
  return List;
}

engine_load engine::load() const {
  engine_load Load;
  Load.Running = static_cast<std::int64_t>(Running.size());
  Load.Waiting = static_cast<std::int64_t>(Waiting.size());
  for (const auto &[Key, Job] : Waiting)
    Load.WaitingPrefillTokens += Job->Answer.PromptTokens;
  for (const auto &[Key, Job] : Running)
    Load.WaitingPrefillTokens += Job->Answer.PromptTokens - Job->PrefilledTokens;
  Load.UsedBlocks = usedBlocks();
  Load.CachedBlocks = Cache.idle();
  return Load;
}

} // namespace pollenstall
