/** @file engine.cpp Admission by blocks, chunked prefill, one token a step for each sequence. */
#include "fake_backend/engine_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

std::int64_t engine_job::eventsReady() const {
  if (State == job_state::Finished)
    return eventCount(Answer);
  return Produced == 0 ? 0 : Produced + 1;
}

engine::queue_key engine::keyOf(const engine_job &Job) const {
  return {Limits.Priorities ? Job.Priority : 0, Job.Arrival};
}

std::int64_t engine::blocksFor(const engine_job &Job) const {
  const std::int64_t Tokens = Job.Answer.PromptTokens + Job.Answer.AnswerTokens;
  return (Tokens + Limits.BlockTokens - 1) / Limits.BlockTokens;
}

std::int64_t engine::usedBlocks() const { return OwnBlocks + ImportedBlocks + Cache.pinned(); }

result<done, submit_error> engine::submit(const job_ptr &Job) {
  if (blocksFor(*Job) > Limits.Blocks)
    return submit_error::TooLarge;
  if (!Jobs.try_emplace(Job->Attempt, Job).second)
    return submit_error::AttemptKnown;
  Job->Arrival = ++Arrivals;
  Waiting.emplace(keyOf(*Job), Job);
  return done{};
}

bool engine::makeRoom(std::int64_t Blocks) {
  if (usedBlocks() + Blocks > Limits.Blocks)
    return false;
  while (usedBlocks() + Cache.idle() + Blocks > Limits.Blocks)
    Cache.evictOne();
  return true;
}

bool engine::admit(engine_job &Job) {
  takeImport(Job);
  const std::int64_t Matching = Cache.matching(Job.BlockHashes);
  for (std::int64_t Index = 0; Index < Matching; ++Index) {
    Cache.pin(Job.BlockHashes[Index]);
    Job.PinnedHashes.push_back(Job.BlockHashes[Index]);
  }
  const std::int64_t Own = blocksFor(Job) - Matching;
  if (!makeRoom(Own)) {
    release(Job);
    return false;
  }
  Job.OwnBlocks = Own;
  OwnBlocks += Own;
  // The last token of a prompt is always computed: the first answer token comes out of it.
  const std::int64_t Known = std::max(Matching * Limits.BlockTokens, Job.ImportedTokens);
  Job.Prefilled = std::min(Known, Job.Answer.PromptTokens - 1);
  Job.Answer.CachedTokens = Job.Prefilled;
  Job.State = job_state::Prefill;
  return true;
}

void engine::takeImport(engine_job &Job) {
  const auto Found = Imports.find(Job.Attempt);
  if (Found == Imports.end())
    return;
  Job.ImportedTokens = Found->second.Blocks * Limits.BlockTokens;
  ImportedBlocks -= Found->second.Blocks;
  Imports.erase(Found);
}

void engine::admitWaiting() {
  while (!Waiting.empty() && std::cmp_less(Running.size(), Limits.MaxRunning)) {
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
  std::int64_t Budget = Limits.ChunkTokens;
  std::int64_t PrefillTokens = 0;
  for (const auto &[Key, Job] : Running) {
    if (Job->State != job_state::Prefill || Budget == 0)
      continue;
    const std::int64_t Part = std::min(Budget, Job->Answer.PromptTokens - Job->Prefilled);
    StepPrefill.emplace_back(Job, Part);
    Budget -= Part;
    PrefillTokens += Part;
  }
  const auto PrefillUs =
      static_cast<std::int64_t>(Limits.PrefillTokenUs * static_cast<double>(PrefillTokens));
  return Limits.StepBase + std::chrono::microseconds(PrefillUs) +
         Limits.PerSequence * static_cast<std::int64_t>(StepDecode.size());
}

void engine::endStep(mono_time Now) {
  const auto Prefill = std::exchange(StepPrefill, {});
  const auto Decode = std::exchange(StepDecode, {});
  std::vector<job_ptr> Further;
  for (const auto &[Job, Part] : Prefill) {
    if (Job->ended())
      continue;
    Job->Prefilled += Part;
    if (Job->Prefilled < Job->Answer.PromptTokens)
      continue;
    storePrefix(*Job);
    Job->State = job_state::Decode;
    Further.push_back(Job);
  }
  for (const job_ptr &Job : Decode)
    if (!Job->ended())
      Further.push_back(Job);
  for (const job_ptr &Job : Further)
    if (++Job->Produced == Job->Answer.AnswerTokens)
      end(Job, job_state::Finished, Now);
  for (const job_ptr &Job : Further)
    if (Job->OnProgress)
      Job->OnProgress();
}

void engine::storePrefix(engine_job &Job) {
  for (std::size_t Index = Job.PinnedHashes.size(); Index < Job.BlockHashes.size(); ++Index) {
    const std::uint64_t Hash = Job.BlockHashes[Index];
    if (!Cache.adopt(Hash))
      break; // another job stored the same prefix meanwhile; this copy stays its own
    Job.PinnedHashes.push_back(Hash);
    --Job.OwnBlocks;
    --OwnBlocks;
  }
}

void engine::release(engine_job &Job) {
  OwnBlocks -= std::exchange(Job.OwnBlocks, 0);
  // Longest prefix first, so that eviction takes the ends of prefixes before their beginnings.
  for (auto Hash = Job.PinnedHashes.rbegin(); Hash != Job.PinnedHashes.rend(); ++Hash)
    Cache.unpin(*Hash);
  Job.PinnedHashes.clear();
  trimCache();
}

void engine::trimCache() {
  while (Cache.idle() > Limits.PrefixCacheBlocks)
    Cache.evictOne();
}

void engine::end(const job_ptr &Job, job_state State, mono_time Now) {
  release(*Job);
  Waiting.erase(keyOf(*Job));
  Running.erase(keyOf(*Job));
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
  const job_state Before = Job->State;
  if (Job->ended())
    return Before;
  ++Cancels;
  end(Job, job_state::Cancelled, Now);
  if (Job->OnProgress)
    Job->OnProgress();
  return Before;
}

std::uint64_t engine::attach(engine_job &Job, std::function<void()> OnProgress) {
  Job.OnProgress = std::move(OnProgress);
  Job.UnreadSince.reset();
  return ++Job.Reader;
}

void engine::detach(const job_ptr &Job, std::uint64_t Reader, mono_time Now) {
  if (Job->Reader != Reader)
    return;
  Job->OnProgress = nullptr;
  Job->UnreadSince = Now;
  if (!Limits.Resumes)
    cancel(Job->Attempt, Now);
}

void engine::sweep(mono_time Now) {
  const auto Expired = [this, Now](const std::optional<mono_time> &Since) {
    return Since && Now - *Since > Limits.ResumeWindow;
  };
  std::vector<std::string> Unresumed;
  for (const auto &[Attempt, Job] : Jobs)
    if (!Job->ended() && Expired(Job->UnreadSince))
      Unresumed.push_back(Attempt);
  for (const std::string &Attempt : Unresumed)
    cancel(Attempt, Now);
  std::erase_if(Jobs, [&Expired](const auto &Item) { return Expired(Item.second->EndedAt); });
  std::erase_if(Imports, [this, Now](const auto &Item) {
    const bool Over = Now - Item.second.At > Limits.ResumeWindow;
    ImportedBlocks -= Over ? Item.second.Blocks : 0;
    return Over;
  });
}

bool engine::importBlocks(const std::string &Attempt, std::int64_t Blocks, mono_time Now) {
  if (Blocks < 0 || Imports.contains(Attempt) || !makeRoom(Blocks))
    return false;
  ImportedBlocks += Blocks;
  Imports[Attempt] = {Blocks, Now};
  return true;
}

std::vector<job_ptr> engine::listed() const {
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
    Load.WaitingPrefillTokens += Job->Answer.PromptTokens - Job->Prefilled;
  Load.UsedBlocks = usedBlocks();
  Load.CachedBlocks = Cache.idle();
  return Load;
}

} // namespace pollenstall
