/** @file decision_bench.cpp Measures CPU time and memory of the decision code for several numbers
 * of engines, accounts and live requests. Prints JSON lines. Decisions use a virtual clock; costs
 * are measured in real CPU time. */
#include "dispatch/dispatch.h"
#include "measure_func.h"
#include "sample_fleet_func.h"
#include "suspect_bench_func.h"
#include "work_bench_func.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <memory>
#include <string>

namespace pollenstall::bench {
namespace {

using namespace std::chrono_literals;

constexpr mono_time StartTime{1h};
/// Time between two requests of one entry: 2,500 per second over 320 entries.
constexpr mono_duration RequestInterval = 125ms;
constexpr std::size_t MaxLiveAttempts = 32; ///< Concurrent attempts of one entry.
constexpr std::size_t RequestsPerRound = 400;
constexpr std::size_t LoadReportsPerRound = 2'000;
constexpr std::size_t QueuedRequests = 512;

process_key ownKey() { return {host_name("entry-1"), incarnation(1)}; }

// Scheduler

/// Drives one entry's scheduler with a fleet in the way the entry does.
class scheduler_driver {
public:
  scheduler_driver(std::size_t EngineCount, std::size_t AccountCount)
      : Engines(EngineCount), Accounts(AccountCount) {
    const fleet_declaration Declaration = sampleDeclaration(Accounts);
    const double Before = heapBytes();
    Scheduler =
        std::make_unique<scheduler>(scheduler_builder().seed(1).host(ownKey().Host).build());
    Scheduler->applyDeclaration(Declaration);
    for (std::size_t Index = 0; Index < Engines; ++Index)
      Scheduler->updateBackend(makeEngineView(Index, Now), Now);
    InitialBytes = heapBytes() - Before;
  }

  /// Runs a request from its arrival to its start and ends the oldest attempts above the limit.
  void runRequest() {
    Now += RequestInterval;
    const work_item Item = makeWorkItem(++LastRequest, Accounts, Now);
    if (!succeeded(Scheduler->submit(Item, Now)))
      ++Refused;
    else
      Waiting[Item.Request] = Item;
    poll();
    while (LiveAttempts.size() > MaxLiveAttempts)
      endOldestAttempt();
  }

  void receiveLoadReport() {
    backend_view View = makeEngineView(LastLoadSequence++ % Engines, Now);
    View.Load.Sequence = LastLoadSequence;
    Scheduler->updateBackend(View, Now);
  }

  /// Fills the queue: all engines report that their memory is full, so new work waits.
  void fillQueue() {
    for (std::size_t Index = 0; Index < Engines; ++Index) {
      backend_view View = makeEngineView(Index, Now);
      View.Load.Sequence = ++LastLoadSequence;
      View.Load.UsedBlocks = View.Announcement.Memory;
      View.Load.WaitingPrefill = tokens(200'000);
      Scheduler->updateBackend(View, Now);
    }
    for (std::size_t Index = 0; Index < QueuedRequests; ++Index) {
      const work_item Item = makeWorkItem(++LastRequest, Accounts, Now);
      if (succeeded(Scheduler->submit(Item, Now)))
        Waiting[Item.Request] = Item;
    }
  }

  void poll() {
    for (const work_placement &Placement : Scheduler->poll(Now).Placements) {
      const work_item Item = Waiting.extract(Placement.Request).mapped();
      const attempt_id Attempt{ownKey(), Placement.Request, 1};
      Scheduler->attemptStarted(Attempt, Item, Placement.Backend, Now);
      Scheduler->attemptAnswering(Attempt, Now);
      LiveAttempts.push_back(Attempt);
    }
  }

  void printReport() {
    const double RequestCost = cpuPerCall(RequestsPerRound, [this] { runRequest(); });
    const double LoadReportCost = cpuPerCall(LoadReportsPerRound, [this] { receiveLoadReport(); });
    const double IdlePollCost = cpuPerCall(RequestsPerRound, [this] { poll(); });
    fillQueue();
    const double BusyPollCost = cpuPerCall(20, [this] {
      Now += 20ms;
      poll();
    });
    std::printf(
        "{\"bench\":\"scheduler\",\"engines\":%zu,\"accounts\":%zu,\"cpu_us_per_request\":%.1f,"
        "\"cpu_us_per_load_report\":%.2f,\"cpu_us_per_idle_poll\":%.2f,"
        "\"cpu_us_per_busy_poll\":%.1f,\"waiting\":%zu,\"memory_kb\":%.0f,\"refused\":%zu}\n",
        Engines, Accounts, RequestCost, LoadReportCost, IdlePollCost, BusyPollCost,
        Scheduler->queued(), InitialBytes / 1024, Refused);
    std::fflush(stdout);
  }

private:
  void endOldestAttempt() {
    attempt_report End;
    End.Completed = true;
    End.PromptTokens = tokens(4'000);
    End.AnswerTokens = tokens(200);
    Scheduler->attemptEnded(LiveAttempts.front(), End, Now);
    LiveAttempts.pop_front();
  }

  std::size_t Engines;
  std::size_t Accounts;
  std::unique_ptr<scheduler> Scheduler;
  mono_time Now{StartTime};
  std::map<request_number, work_item> Waiting;
  std::deque<attempt_id> LiveAttempts;
  std::uint64_t LastRequest{0};
  std::uint64_t LastLoadSequence{0};
  std::size_t Refused{0};
  double InitialBytes{0};
};

void measureScheduler() {
  for (const std::size_t Engines : {24UL, 130UL, 650UL})
    for (const std::size_t Accounts : {10UL, 110UL, 1'100UL})
      scheduler_driver(Engines, Accounts).printReport();
}

// Dispatcher

/// Drives a dispatcher whose queue accepts all work.
class dispatcher_driver {
public:
  dispatcher_driver() {
    dispatcher_callbacks Callbacks;
    Callbacks.Submit = [](const work_item &, mono_time) -> result<done, work_refusal> {
      return done{};
    };
    Callbacks.GroupsFor = [](const request_facts &) {
      return std::vector<candidate_group>{{group_name("model-0-stable"), 1}};
    };
    auto Built = dispatcher_builder().process(ownKey()).callbacks(std::move(Callbacks)).build();
    requireInvariant(succeeded(Built), "the benchmark's dispatcher is built");
    Dispatcher = std::make_unique<dispatcher>(std::move(valueOf(Built)));
    Dispatcher->setReady(true);
  }

  /// Runs a request from its arrival to the start of its answer.
  void startAnswer() {
    const request_facts Facts = makeRequestFacts(++LastStarted, 1'100, Now);
    Dispatcher->handle(request_arrived{Facts}, Now);
    Dispatcher->place({Facts.Id, makeEngineView(LastStarted % 650, Now).Announcement.Key, 0, {}},
                      Now);
    Dispatcher->handle(attempt_sending{attemptOf(LastStarted)}, Now);
    Dispatcher->handle(attempt_answering{attemptOf(LastStarted)}, Now);
    Dispatcher->takeActions();
  }

  void completeRequest(std::uint64_t Request) {
    Dispatcher->handle(
        attempt_completed{attemptOf(Request), std::nullopt, std::nullopt, std::nullopt}, Now);
    Dispatcher->takeActions();
  }

  [[nodiscard]] std::uint64_t lastStarted() const { return LastStarted; }
  [[nodiscard]] std::size_t liveRequestCount() const { return Dispatcher->liveRequests(); }

private:
  static attempt_id attemptOf(std::uint64_t Request) {
    return {ownKey(), request_number(Request), 1};
  }

  std::unique_ptr<dispatcher> Dispatcher;
  mono_time Now{StartTime};
  std::uint64_t LastStarted{0};
};

void measureDispatcher() {
  for (const std::size_t LiveRequests : {1'000UL, 4'000UL, 16'000UL}) {
    dispatcher_driver Driver;
    const double Before = heapBytes();
    for (std::size_t Index = 0; Index < LiveRequests; ++Index)
      Driver.startAnswer();
    const double Bytes = heapBytes() - Before;
    requireInvariant(Driver.liveRequestCount() == LiveRequests,
                     "all requests of the benchmark are in progress");
    std::uint64_t Oldest = 0;
    const double Cost = cpuPerCall(RequestsPerRound, [&Driver, &Oldest] {
      Driver.startAnswer();
      Driver.completeRequest(++Oldest);
    });
    std::printf("{\"bench\":\"dispatcher\",\"live_requests\":%zu,\"memory_bytes_per_request\":%.0f,"
                "\"cpu_us_per_request\":%.2f}\n",
                LiveRequests, Bytes / static_cast<double>(LiveRequests), Cost);
    std::fflush(stdout);
  }
}

// Declaration

void measureDeclaration(std::size_t Accounts) {
  const std::string Text = toCanonicalText(sampleDeclaration(Accounts));
  std::size_t ParseFailures = 0;
  const double ParseCost = cpuPerCall(3, [&Text, &ParseFailures] {
    ParseFailures += succeeded(parseDeclaration(Text, "bench.toml")) ? 0 : 1;
  });
  requireInvariant(ParseFailures == 0, "the benchmark's declaration is valid");
  const fleet_declaration Declaration = valueOf(parseDeclaration(Text, "bench.toml"));
  const double Before = heapBytes();
  const auto LookupTable = std::make_unique<declaration_index>(Declaration);
  const double Bytes = heapBytes() - Before;
  const double BuildCost =
      cpuPerCall(10, [&Declaration] { const declaration_index NewTable(Declaration); });
  std::size_t LookupCount = 0;
  std::size_t Found = 0;
  const double LookupCost = cpuPerCall(2'000, [&] {
    const account_declaration *Account =
        LookupTable->findAccount(makeKeyHash(++LookupCount % Accounts));
    const selector_input Input{
        service_name("llm"), model_name("model-0"), Account->Name, {}, tokens(4'000)};
    Found += LookupTable->select(Input) != nullptr ? 1 : 0;
  });
  requireInvariant(Found == LookupCount, "every request of the benchmark matches a selector");
  std::printf("{\"bench\":\"declaration\",\"accounts\":%zu,\"selectors\":%zu,\"text_bytes\":%zu,"
              "\"cpu_us_parse\":%.0f,\"cpu_us_index\":%.0f,\"cpu_us_account_and_select\":%.2f,"
              "\"index_memory_kb\":%.0f}\n",
              Accounts, Declaration.Selectors.size(), Text.size(), ParseCost, BuildCost, LookupCost,
              Bytes / 1024);
  std::fflush(stdout);
}

} // namespace
} // namespace pollenstall::bench

int main() {
  using namespace pollenstall::bench;
  measureScheduler();
  measureWorkExchange();
  measureSuspects();
  measureDispatcher();
  for (const std::size_t Accounts : {10UL, 110UL, 1'100UL})
    measureDeclaration(Accounts);
  return 0;
}
