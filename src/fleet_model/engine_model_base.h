/** @file engine_model_base.h One engine by its declared figures: passes, reading, helpers. */
#ifndef POLLENSTALL_FLEET_MODEL_ENGINE_MODEL_BASE_H
#define POLLENSTALL_FLEET_MODEL_ENGINE_MODEL_BASE_H

#include "declaration/declaration_type.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace pollenstall {

/// A request as the engine that answers it sees it.
struct engine_job {
  std::size_t Number{0}; ///< Unique in the run.
  double Prompt{0};      ///< Tokens.
  double Answer{0};      ///< Tokens that it is expected to write, for memory.
  std::uint32_t Events{1};
  std::size_t Readers{1};   ///< Engines that read the prompt, this one included.
  double HeldElsewhere{0};  ///< Tokens of it that helpers keep.
  std::uint32_t Urgency{5}; ///< 0 goes first.
};

/// How an engine has spent its time, in milliseconds.
struct engine_time {
  double Read{0};  ///< Prompts, own ones and parts.
  double Write{0}; ///< The rest of passes with writers.
};

/// What one pass brought.
struct pass_outcome {
  std::vector<std::size_t> Events;    ///< Jobs that wrote an event.
  std::vector<std::size_t> Ended;     ///< Of these, jobs whose last one it was.
  std::vector<std::size_t> ReadParts; ///< Jobs of other engines whose part is read.
};

/**
 * Reading and writing in passes. A pass with writers has all steps of a pass, and each of them
 * writes one event; a pass without has one. In each step at most a chunk is read: parts for other
 * engines first, then prompts by urgency and age. Driven from outside: start() tells how long a
 * pass lasts, finish() what it brought.
 */
class engine_model {
public:
  /// @param TokensPerEvent Written by a stream in one pass.
  engine_model(const engine_profile &Declared, double TokensPerEvent)
      : Figures(Declared), EventTokens(TokensPerEvent) {}

  void take(const engine_job &Job);
  /// Reads one part of another engine's prompt. @param Tokens Of the part. @param Prompt The whole.
  void takePart(std::size_t Number, double Tokens, double Prompt);
  /// One more part of the job's prompt is read at a helper. @return Its first event, where that was
  /// the last part.
  pass_outcome partRead(std::size_t Number);
  /// Memory of this engine is set aside for a job of another one.
  void hold(std::size_t Number, double Tokens) { Held.push_back({Number, Tokens}); }
  /// Ends a job, a part or a hold, whichever it has.
  void cancel(std::size_t Number);
  /// @return Every job that it had; it holds nothing afterwards.
  std::vector<std::size_t> lose();

  /// @return Whether there is anything to do and no pass is under way.
  [[nodiscard]] bool canStart() const;
  /// Begins a pass. @return Its length in milliseconds.
  double start();
  pass_outcome finish();
  [[nodiscard]] const engine_time &spent() const { return Spent; }

private:
  struct active_job {
    engine_job Job;
    double ToRead{0};           ///< Tokens of its own part.
    double ThisPass{0};         ///< Of these, in the pass that runs.
    std::size_t PartsOpen{0};   ///< At helpers.
    std::uint32_t Written{0};   ///< Events.
    bool WritesThisPass{false}; ///< Takes part in the pass as a writer.

    [[nodiscard]] bool reads() const { return ToRead > 0; }
    [[nodiscard]] bool writes() const { return ToRead <= 0 && PartsOpen == 0; }
  };
  struct foreign_part {
    std::size_t Number{0};
    double ToRead{0};
    double ThisPass{0};
    double MsPerToken{0};
  };
  struct held_memory {
    std::size_t Number{0};
    double Tokens{0};
  };

  void admit();
  static void writeEvent(active_job &Entry, pass_outcome &Outcome);
  void dropEnded();
  [[nodiscard]] double memoryUsed() const;
  [[nodiscard]] double contextHere(const active_job &Entry) const;
  [[nodiscard]] double readCost(const active_job &Entry, double Tokens) const;
  double readParts(double &Budget);
  double readJobs(double &Budget);

  engine_profile Figures;
  double EventTokens;
  bool InPass{false};
  std::list<active_job> Running; ///< By urgency and age.
  std::list<active_job> Waiting; ///< The same.
  std::list<foreign_part> Parts; ///< In the order in which they came.
  std::vector<held_memory> Held;
  engine_time Spent;
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_ENGINE_MODEL_BASE_H
