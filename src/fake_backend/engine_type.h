/** @file engine_type.h Jobs of the engine model, its limits and its reports. */
#ifndef POLLENSTALL_FAKE_BACKEND_ENGINE_TYPE_H
#define POLLENSTALL_FAKE_BACKEND_ENGINE_TYPE_H

#include "core/core.h"
#include "fake_backend/answer_text_func.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

enum class job_state : std::uint8_t { Waiting, Prefill, Decode, Finished, Cancelled };

/// One attempt as the engine holds it.
struct engine_job {
  std::string Attempt;
  std::int64_t Priority{0}; ///< Lower runs first.
  std::uint64_t Arrival{0};
  answer_text Answer;
  std::vector<std::uint64_t> BlockHashes;
  job_state State{job_state::Waiting};
  std::int64_t Prefilled{0}; ///< Tokens of the prompt that are in memory.
  std::int64_t Produced{0};  ///< Tokens of the answer.
  std::int64_t OwnBlocks{0}; ///< Blocks that no other job shares.
  std::vector<std::uint64_t> PinnedHashes;
  std::int64_t ImportedTokens{0};       ///< Prompt tokens whose KV cache was imported.
  bool Delivered{false};                ///< Its last event was written.
  std::optional<mono_time> UnreadSince; ///< Nobody has read its stream since then.
  std::optional<mono_time> EndedAt;
  std::function<void()> OnProgress; ///< Of the reader that is attached.
  std::uint64_t Reader{0};          ///< Counts the readers that were attached.

  /// @return How many events of its stream exist so far.
  [[nodiscard]] std::int64_t eventsReady() const;
  [[nodiscard]] bool ended() const {
    return State == job_state::Finished || State == job_state::Cancelled;
  }
  [[nodiscard]] std::int64_t blocks() const {
    return OwnBlocks + static_cast<std::int64_t>(PinnedHashes.size());
  }
};
using job_ptr = std::shared_ptr<engine_job>;

/// Step time and memory of the engine model.
struct engine_limits {
  std::chrono::microseconds StepBase{2000};
  double PrefillTokenUs{20.0};
  std::chrono::microseconds PerSequence{50};
  std::int64_t ChunkTokens{512}; ///< Tokens computed in one step at most.
  std::int64_t MaxRunning{256};
  std::int64_t Blocks{8192};
  std::int64_t BlockTokens{16};
  std::int64_t PrefixCacheBlocks{2048}; ///< Idle blocks kept at most.
  mono_duration ResumeWindow{std::chrono::seconds(30)};
  bool Priorities{true};
  bool Resumes{true};
};

/// What the engine says of its load; it is reported with a lag.
struct engine_load {
  std::uint64_t Sequence{0};
  std::int64_t Running{0};
  std::int64_t Waiting{0};
  std::int64_t WaitingPrefillTokens{0};
  std::int64_t UsedBlocks{0};
  std::int64_t CachedBlocks{0};
};

/// Why a job was not taken; none of these starts work.
enum class submit_error : std::uint8_t { TooLarge, AttemptKnown };

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ENGINE_TYPE_H
