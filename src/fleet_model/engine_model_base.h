/** @file engine_model_base.h Simulates an engine from its declared figures: passes, prefill and
 * helpers. */
#ifndef POLLENSTALL_FLEET_MODEL_ENGINE_MODEL_BASE_H
#define POLLENSTALL_FLEET_MODEL_ENGINE_MODEL_BASE_H

#include "declaration/declaration_type.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace pollenstall {

/// A request on the engine that answers it.
struct engine_job {
  std::size_t JobId{0}; ///< Unique in the run.
  double Prompt{0};     ///< Tokens.
  double Answer{0};     ///< Expected answer tokens, for the memory check.
  std::uint32_t Events{1};
  std::size_t PrefillEngines{1}; ///< Engines that prefill the prompt, including this one.
  double ReservedElsewhere{0};   ///< Prompt tokens that helpers keep in their memory.
  std::uint32_t Urgency{5};      ///< 0 is the most urgent.
};

/// Time that an engine has spent, in milliseconds.
struct engine_time {
  double Prefill{0}; ///< Prefill of its own prompts and of remote parts.
  double Decode{0};  ///< The rest of each pass that has decoding jobs.
};

/// Results of a pass.
struct pass_outcome {
  std::vector<std::size_t> Events;         ///< Jobs that emitted an event.
  std::vector<std::size_t> EndedJobs;      ///< Jobs that emitted their last event.
  std::vector<std::size_t> PrefilledParts; ///< Jobs of other engines whose part has been prefilled.
};

/**
 * Simulates prefill and decoding in passes. A pass with decoding jobs has StepsPerPass steps, and
 * each of those jobs emits one event; a pass without them has one step. Each step prefills at most
 * one chunk: parts for other engines first, then prompts by urgency and age. The caller drives the
 * passes: startPass() returns the duration of a pass and finishPass() its results.
 */
class engine_model {
public:
  /// @param TokensPerEvent Tokens that a job emits per pass.
  engine_model(const engine_profile &Declared, double TokensPerEvent)
      : Figures(Declared), EventTokens(TokensPerEvent) {}

  /// Queues a job.
  void addJob(const engine_job &Job);
  /// Queues a part of another engine's prompt. @param Tokens Length of the part. @param Prompt
  /// Length of the whole prompt.
  void addRemotePart(std::size_t JobId, double Tokens, double Prompt);
  /// Records that a helper has prefilled a part of the job's prompt. @return The job's first event
  /// if this was the last part.
  pass_outcome completeRemotePart(std::size_t JobId);
  /// Reserves memory of this engine for another engine's job.
  void reserveMemory(std::size_t JobId, double Tokens) { Reservations.push_back({JobId, Tokens}); }
  /// Removes the job, remote part and memory reservation with this id, if any.
  void cancel(std::size_t JobId);
  /// Removes all jobs, parts and reservations, as in a failure. @return The ids of its own jobs.
  std::vector<std::size_t> reset();

  /// @return Whether there is work and no pass is running.
  [[nodiscard]] bool canStart() const;
  /// Starts a pass. @return Its duration in milliseconds.
  double startPass();
  /// Ends the running pass.
  pass_outcome finishPass();
  /// @return Used part of its slots or memory, whichever is higher.
  [[nodiscard]] double fill() const;
  [[nodiscard]] const engine_time &timeSpent() const { return TimeSpent; }

private:
  struct active_job {
    engine_job Job;
    double RemainingPrefill{0};     ///< Tokens of its own part that are not prefilled yet.
    double PrefillThisPass{0};      ///< Tokens prefilled in the running pass.
    std::size_t PendingParts{0};    ///< Parts that helpers have not prefilled yet.
    std::uint32_t EmittedEvents{0}; ///< Number of events.
    bool DecodesThisPass{false};    ///< Whether it emits an event in the running pass.

    [[nodiscard]] bool isPrefilling() const { return RemainingPrefill > 0; }
    [[nodiscard]] bool isDecoding() const { return RemainingPrefill <= 0 && PendingParts == 0; }
  };
  struct remote_part {
    std::size_t JobId{0};
    double RemainingPrefill{0};
    double PrefillThisPass{0};
    double MsPerToken{0};
  };
  struct memory_reservation {
    std::size_t JobId{0};
    double Tokens{0};
  };

  void admit();
  static void emitEvent(active_job &Active, pass_outcome &Outcome);
  void removeEnded();
  [[nodiscard]] double memoryUsed() const;
  [[nodiscard]] double localContext(const active_job &Active) const;
  [[nodiscard]] double prefillCostMs(const active_job &Active, double Tokens) const;
  double prefillParts(double &Budget);
  double prefillJobs(double &Budget);

  engine_profile Figures;
  double EventTokens;
  bool InPass{false};
  std::list<active_job> Running;      ///< Ordered by urgency and age.
  std::list<active_job> Waiting;      ///< Ordered by urgency and age.
  std::list<remote_part> RemoteParts; ///< In order of arrival.
  std::vector<memory_reservation> Reservations;
  engine_time TimeSpent;
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_ENGINE_MODEL_BASE_H
