/** @file engine_type.h Jobs, limits and load reports of the engine model. */
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

/// State of one attempt in the engine.
struct engine_job {
  std::string Attempt;
  std::int64_t Priority{0}; ///< Lower values run first.
  std::uint64_t Arrival{0};
  answer_parameters Answer;
  std::vector<std::uint64_t> BlockHashes;
  job_state State{job_state::Waiting};
  std::int64_t PrefilledTokens{0}; ///< Prompt tokens whose KV entries are in memory.
  std::int64_t ProducedTokens{0};  ///< Answer tokens generated.
  std::int64_t PrivateBlocks{0};   ///< Blocks that are not in the shared prefix cache.
  std::vector<std::uint64_t> PinnedHashes;
  std::int64_t ImportedTokens{0};       ///< Prompt tokens whose KV cache was imported.
  bool Delivered{false};                ///< The complete answer was written to the client.
  std::optional<mono_time> UnreadSince; ///< Time when the last reader detached.
  std::optional<mono_time> EndedAt;
  std::function<void()> OnProgress; ///< Callback of the attached reader.
  std::uint64_t ReaderId{0};        ///< Id of the last attached reader, counted from 1.

  /// Returns the number of stream events available.
  [[nodiscard]] std::int64_t eventsReady() const;
  [[nodiscard]] bool ended() const {
    return State == job_state::Finished || State == job_state::Cancelled;
  }
  [[nodiscard]] std::int64_t blocks() const {
    return PrivateBlocks + static_cast<std::int64_t>(PinnedHashes.size());
  }
};
using job_ptr = std::shared_ptr<engine_job>;

/// Step time, memory and capabilities of the engine model.
struct engine_limits {
  std::chrono::microseconds StepBase{2000};
  double PrefillTokenUs{20.0};
  std::chrono::microseconds PerSequence{50};
  std::int64_t ChunkTokens{512}; ///< Maximum number of prompt tokens computed in one step.
  std::int64_t MaxRunning{256};
  std::int64_t Blocks{8192};
  std::int64_t BlockTokens{16};
  std::int64_t PrefixCacheBlocks{2048}; ///< Maximum number of idle blocks kept.
  mono_duration ResumeWindow{std::chrono::seconds(30)};
  bool Priorities{true};
  bool Resumes{true};
};

/// Load of the engine; the server reports it with a delay.
struct engine_load {
  std::uint64_t Sequence{0};
  std::int64_t Running{0};
  std::int64_t Waiting{0};
  std::int64_t WaitingPrefillTokens{0};
  std::int64_t UsedBlocks{0};
  std::int64_t CachedBlocks{0};
};

/// The reason why a job was rejected; a rejected job starts no work.
enum class submit_error : std::uint8_t { TooLarge, DuplicateAttempt };

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ENGINE_TYPE_H
