/** @file fleet_run_base.h Simulates entries, engines and callers on a virtual clock. */
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

/// The result of a request. Times are in milliseconds since its caller first sent it.
struct request_record {
  std::size_t Kind{0};
  std::size_t FirstEntry{0}; ///< At which its caller sent it first.
  bool Retried{false};       ///< The caller sent it again.
  double ArrivedMs{0};       ///< Since the start of the run.
  double Prompt{0};          ///< Tokens.
  std::uint32_t Events{1};
  double FirstEventMs{-1}; ///< At the caller; negative if there was none.
  double LongestGapMs{0};
  double EndedMs{-1}; ///< Negative if the answer is incomplete.
  std::uint32_t Refusals{0};
  std::uint32_t Attempts{0};
};

/// Returns whether the connections of the entry run through other entries.
[[nodiscard]] inline bool isCarried(const model_load &Load, std::size_t Entry) {
  return static_cast<double>(Entry) < Load.Carried.Share * static_cast<double>(Load.Entries);
}

/// Traffic of the work reports of an entry.
struct report_traffic {
  double SentDatagrams{0};
  double SentBytes{0}; ///< Without UDP and IP headers.
  double ReceivedDatagrams{0};
  double ReceivedBytes{0};
};

/// Simulates a load with a policy. The same load and seed create the same requests for each policy.
class fleet_run {
public:
  fleet_run(const model_load &ModelLoad, const named_model_policy &Policy, std::uint64_t Seed);
  /// Runs the simulation until the timeout of every request has passed. @return A record per
  /// request.
  std::vector<request_record> simulate();
  /// @return The time of all engines as fractions of their total time, until the end of arrivals.
  [[nodiscard]] engine_time engineTime() const;
  /// @return The average traffic per second of each entry. After an outage, it counts only the
  /// traffic of the last incarnation.
  [[nodiscard]] std::vector<report_traffic> reportTraffic() const;

private:
  enum class event_kind : std::uint8_t {
    RequestArrival,   ///< Index: request. It reaches its entry.
    EntryPoll,        ///< Index: entry. It polls its policy and publishes its loads.
    ReportsDue,       ///< Index: entry. Work reports to other entries are due.
    ReportArrival,    ///< Index: report. It reaches its receiver.
    AttemptArrival,   ///< Index: attempt. It reaches its engines.
    PartPrefilled,    ///< Index: attempt. Its main engine learns that a part is prefilled.
    PassEnd,          ///< Index: engine.
    Event,            ///< Index: attempt. An event reaches the entry.
    AttemptEnd,       ///< Index: attempt. The entry has received the last event.
    ConnectionBroken, ///< Index: attempt. The entry detects that an engine has failed.
    RequestTimeout,   ///< Index: request.
    CallerDeparture,  ///< Index: request. Incarnation: 1 if it is a retry.
    EngineFailure,    ///< Index: outage.
    EngineRestart,    ///< Index: engine.
    EntryFailure,     ///< Index: outage.
    EntryRestart,     ///< Index: entry.
  };
  struct event {
    double Ms{0};
    std::uint64_t Order{0};
    event_kind Kind{event_kind::RequestArrival};
    std::size_t Index{0};
    std::uint64_t Incarnation{0}; ///< Of the engine of a pass; for CallerDeparture, see there.

    bool operator>(const event &Other) const {
      return Ms != Other.Ms ? Ms > Other.Ms : Order > Other.Order;
    }
  };
  struct engine_state {
    engine_model Model;
    backend_listing Listing;
    bool Down{false};
    std::uint64_t Incarnation{0};
  };
  struct entry_state {
    model_policy Policy;
    double NextPollMs{-1};
    double PublishedAtMs{-1e9};
    std::uint64_t PublishedClaims{0};
    std::unique_ptr<work_view> View;
    double NextExchangeMs{-1};
    report_traffic Traffic;
    bool Down{false};
  };
  struct attempt_state {
    std::size_t Request{0};
    std::size_t Entry{0};
    attempt_id Id;
    std::size_t Engine{0};
    std::vector<std::size_t> Helpers;
    std::vector<std::pair<std::size_t, double>> Holds; ///< Engine and reserved tokens.
    std::uint32_t EarlierEvents{0};  ///< Events that the caller received from earlier attempts.
    std::uint32_t Events{0};         ///< Events that reached the entry.
    std::uint32_t ReportedEvents{0}; ///< Events that its policy was told of.
    mono_duration VisibleAfter{};    ///< Time until the other entries know of the attempt.
    bool Finished{false};
  };
  struct request_state {
    request_record Record;
    std::size_t Entry{0};
    double DeadlineMs{0};   ///< Deadline, since the start of the run.
    double LastEventMs{-1}; ///< Since the start of the run.
    std::uint32_t DeliveredEvents{0};
    std::optional<std::size_t> Attempt;
    std::vector<backend_key> Avoid;
    bool Retried{false};
    bool Finished{false};
  };
  struct report_in_transit {
    std::size_t SenderEntry{0};
    work_datagram Datagram;
    double Bytes{0};
  };

  void schedule(double EventMs, event_kind Kind, std::size_t Index, std::uint64_t Incarnation = 0);
  void drawRequests();
  [[nodiscard]] double rateFactor(const request_kind &Kind, double Seconds) const;
  void recordEngineTime();
  void handle(const event &Event);
  void handleArrival(std::size_t Request);
  void submit(std::size_t Request);
  [[nodiscard]] work_item makeWorkItem(std::size_t Request) const;
  void pollEntry(std::size_t Entry);
  void publishLoads(std::size_t Entry);
  void sendReports(std::size_t Entry);
  void receiveReport(std::size_t Report);
  void scheduleNextPoll(std::size_t Entry);
  void handleRefusal(std::size_t Request, const work_refusal &Refusal);
  void startAttempt(std::size_t Entry, const work_placement &Placement);
  [[nodiscard]] double connectMs(std::size_t Entry) const;
  void deliverAttempt(std::size_t Attempt);
  void startEnginePass(std::size_t Engine);
  void finishEnginePass(std::size_t Engine);
  void scheduleEvents(const pass_outcome &Outcome);
  void receiveEvent(std::size_t Attempt);
  void endAttempt(std::size_t Attempt, std::optional<attempt_failure> Failure);
  void handleTimeout(std::size_t Request);
  void handleDeparture(std::size_t Request, bool Retried);
  void cancelRequest(std::size_t Request);
  void failEngines(std::size_t Outage);
  void restartEngine(std::size_t Engine);
  void failEntries(std::size_t Outage);
  void disconnectCallers(std::size_t Entry);
  void scheduleRetry(std::size_t Request, double WaitMs);
  std::size_t pickEntry();
  void startEntry(std::size_t Entry);
  void updateEntryLists();
  /// Returns the factor by which a pass that starts now takes longer than declared.
  [[nodiscard]] double slownessOf(std::size_t Engine) const;
  void reportEvents(attempt_state &Attempt);
  void releaseEngines(const attempt_state &Attempt);
  [[nodiscard]] mono_time now() const;
  static mono_time toMonoTime(double VirtualMs);
  static double toMs(mono_time Moment);
  [[nodiscard]] std::size_t engineIndex(const backend_key &Key) const {
    return EngineIndexes.at(Key);
  }

  model_load Load;
  named_model_policy Policy;
  std::uint64_t Seed;
  random_source Random;
  double Ms{0};
  engine_time TimeUntilLastArrival; ///< Sum over all engines.
  std::uint64_t NextOrder{0};
  std::priority_queue<event, std::vector<event>, std::greater<>> EventQueue;
  std::vector<request_state> Requests;
  std::vector<engine_state> Engines;
  std::map<backend_key, std::size_t> EngineIndexes;
  std::map<std::string, std::size_t> EntryIndexes; ///< By report address.
  std::vector<entry_state> Entries;
  std::vector<attempt_state> Attempts;
  std::map<std::size_t, report_in_transit> ReportsInTransit; ///< By report number.
  std::size_t NextReport{0};
  random_source ReportRandom;
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_FLEET_RUN_BASE_H
