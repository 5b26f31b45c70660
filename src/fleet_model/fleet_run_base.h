/** @file fleet_run_base.h One run: entries, engines and callers on a virtual clock. */
#ifndef POLLENSTALL_FLEET_MODEL_FLEET_RUN_BASE_H
#define POLLENSTALL_FLEET_MODEL_FLEET_RUN_BASE_H

#include "fleet_model/engine_model_base.h"
#include "fleet_model/entry_policy_type.h"
#include "work_exchange/work_exchange.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <vector>

namespace pollenstall {

/// What came of one request. Milliseconds since its caller first sent it.
struct request_record {
  std::size_t Kind{0};
  double ArrivedMs{0}; ///< From the start of the run.
  double Prompt{0};    ///< Tokens.
  std::uint32_t Events{1};
  double FirstEventMs{-1}; ///< At the caller; negative where there was none.
  double LongestGapMs{0};
  double EndedMs{-1}; ///< Negative where it has no whole answer.
  std::uint32_t Refusals{0};
  std::uint32_t Attempts{0};
};

/// Work reports of one entry.
struct report_traffic {
  double SentDatagrams{0};
  double SentBytes{0}; ///< Without the heads of UDP and IP.
  double TakenDatagrams{0};
  double TakenBytes{0};
};

/// Plays one load under one policy. The same load and seed make the same requests for each policy.
class fleet_run {
public:
  fleet_run(const model_load &Played, const named_model_policy &Policy, std::uint64_t Seed);
  std::vector<request_record> play();
  /// @return What all engines did, as parts of their time until the last request came.
  [[nodiscard]] engine_time spent() const;
  /// @return Of each entry, a second on the average; of its last life where it was lost.
  [[nodiscard]] std::vector<report_traffic> reportTraffic() const;

private:
  enum class event_kind : std::uint8_t {
    Arrive,      ///< Index: request.
    Turn,        ///< Index: entry. It polls and tells the others what it has under way.
    Exchange,    ///< Index: entry. Its reports to other entries are due.
    Loads,       ///< Index: report. It reaches one entry.
    Reach,       ///< Index: attempt. It reaches its engines.
    PartRead,    ///< Index: attempt. Its first engine hears that a part is read.
    PassEnd,     ///< Index: engine.
    Event,       ///< Index: attempt. An event reaches the entry.
    Ended,       ///< Index: attempt. The last event has reached the entry.
    Broken,      ///< Index: attempt. The entry sees that its engine is gone.
    TimeOut,     ///< Index: request.
    Leave,       ///< Index: request; Life: whether it had come back.
    Lose,        ///< Index: loss.
    Regain,      ///< Index: engine.
    LoseEntry,   ///< Index: loss.
    RegainEntry, ///< Index: entry.
  };
  struct event {
    double Ms{0};
    std::uint64_t Order{0};
    event_kind Kind{event_kind::Arrive};
    std::size_t Index{0};
    std::uint64_t Incarnation{0}; ///< Of the engine of a pass, or of the request that is left.

    bool operator>(const event &Other) const {
      return Ms != Other.Ms ? Ms > Other.Ms : Order > Other.Order;
    }
  };
  struct engine_state {
    engine_model Model;
    backend_listing Listing;
    bool Lost{false};
    std::uint64_t Incarnation{0};
  };
  struct entry_state {
    model_policy Policy;
    double TurnAtMs{-1};
    double ToldAtMs{-1e9};
    std::uint64_t ToldClaims{0};
    std::unique_ptr<work_view> Board;
    double ExchangeAtMs{-1};
    report_traffic Traffic;
    bool Lost{false};
  };
  struct attempt_state {
    std::size_t Request{0};
    std::size_t Entry{0};
    attempt_id Id;
    std::size_t Engine{0};
    std::vector<std::size_t> Helpers;
    std::vector<std::pair<std::size_t, double>> Holds; ///< Engine and tokens.
    std::uint32_t EventsBefore{0}; ///< The caller has so many of earlier attempts.
    std::uint32_t Events{0};       ///< That reached the entry.
    bool Over{false};
  };
  struct request_state {
    request_record Record;
    std::size_t Entry{0};
    double GivenUpMs{0};    ///< When its time is over; from the start of the run.
    double LastEventMs{-1}; ///< From the start of the run.
    std::uint32_t EventsSeen{0};
    std::optional<std::size_t> Attempt;
    std::vector<backend_key> Avoid;
    bool Returned{false};
    bool Over{false};
  };
  struct load_report {
    std::size_t From{0};
    work_datagram Datagram;
    double Bytes{0};
  };

  void push(double Ms, event_kind Kind, std::size_t Index, std::uint64_t Incarnation = 0);
  void drawRequests();
  [[nodiscard]] double rateFactor(const request_kind &Kind, double Seconds) const;
  void noteSpent();
  void handle(const event &Event);
  void arrive(std::size_t Request);
  void submit(std::size_t Request);
  [[nodiscard]] work_item itemOf(std::size_t Request) const;
  void turn(std::size_t Entry);
  void tellLoads(std::size_t Entry);
  void exchange(std::size_t Entry);
  void takeReport(std::size_t Report);
  void wakeLater(std::size_t Entry);
  void refuse(std::size_t Request, const work_refusal &Refusal);
  void startAttempt(std::size_t Entry, const work_placement &Placement);
  void reach(std::size_t Attempt);
  void runEngine(std::size_t Engine);
  void endPass(std::size_t Engine);
  void tell(const pass_outcome &Outcome);
  void takeEvent(std::size_t Attempt);
  void endAttempt(std::size_t Attempt, std::optional<attempt_failure> Failure);
  void giveUp(std::size_t Request);
  void leave(std::size_t Request, bool Returned);
  void drop(std::size_t Request);
  void lose(std::size_t Loss);
  void regain(std::size_t Engine);
  void loseEntries(std::size_t Loss);
  void loseEntry(std::size_t Entry);
  void comeBack(std::size_t Request, double WaitMs);
  std::size_t drawEntry();
  void addEntry(std::size_t Number);
  void introduceEntries();
  void freeEngines(const attempt_state &Attempt);
  [[nodiscard]] mono_time now() const;
  static mono_time momentOf(double Ms);
  static double millisOf(mono_time Moment);
  [[nodiscard]] std::size_t engineOf(const backend_key &Key) const { return EngineNumbers.at(Key); }

  model_load Load;
  named_model_policy Policy;
  std::uint64_t Seed;
  random_source Random;
  double Ms{0};
  engine_time SpentUntilLast; ///< Of all engines.
  std::uint64_t NextOrder{0};
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::vector<request_state> Requests;
  std::vector<engine_state> Engines;
  std::map<backend_key, std::size_t> EngineNumbers;
  std::map<std::string, std::size_t> EntryNumbers; ///< By the address of their reports.
  std::vector<entry_state> Entries;
  std::vector<attempt_state> Attempts;
  std::map<std::size_t, load_report> Reports; ///< On their way.
  std::size_t NextReport{0};
  random_source ReportRandom;
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_FLEET_RUN_BASE_H
