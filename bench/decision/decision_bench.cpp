/** @file decision_bench.cpp Processor time and memory of the decision code against the numbers of
 * engines, accounts and live requests; JSON lines. The clock of the decisions is virtual, the costs
 * are real. */
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

constexpr mono_time Begin{1h};
constexpr mono_duration Spacing = 125ms; ///< Between two requests: 2,500 a second over 320 entries.
constexpr std::size_t LiveWork = 32;     ///< Attempts of one entry under way at once.
constexpr std::size_t RequestsPerRound = 400;
constexpr std::size_t LoadReportsPerRound = 2'000;
constexpr std::size_t WaitingWork = 512;

process_key ownKey() { return {host_name("entry-1"), incarnation(1)}; }

// ---- scheduler
// ------------------------------------------------------------------------------------

/// One entry's scheduler with a fleet, worked as the entry does.
class worked_scheduler {
public:
  worked_scheduler(std::size_t EngineCount, std::size_t AccountCount)
      : Engines(EngineCount), Accounts(AccountCount) {
    const fleet_declaration Declaration = sampleDeclaration(Accounts);
    const double Before = heapBytes();
    Scheduler =
        std::make_unique<scheduler>(scheduler_builder().seed(1).host(ownKey().Host).build());
    Scheduler->applyDeclaration(Declaration);
    for (std::size_t Place = 0; Place < Engines; ++Place)
      Scheduler->updateBackend(sampleEngine(Place, Now), Now);
    EmptyBytes = heapBytes() - Before;
  }

  /// A request from its arrival to its start; the oldest attempt ends.
  void oneRequest() {
    Now += Spacing;
    const work_item Item = sampleWork(++LastRequest, Accounts, Now);
    if (!succeeded(Scheduler->submit(Item, Now)))
      ++Refused;
    else
      Waiting[Item.Request] = Item;
    poll();
    while (Live.size() > LiveWork)
      endOldest();
  }

  void oneLoadReport() {
    backend_view View = sampleEngine(LastReport++ % Engines, Now);
    View.Load.Sequence = LastReport;
    Scheduler->updateBackend(View, Now);
  }

  /// Lets work wait: every engine reports that its memory is full.
  void fill() {
    for (std::size_t Place = 0; Place < Engines; ++Place) {
      backend_view View = sampleEngine(Place, Now);
      View.Load.Sequence = ++LastReport;
      View.Load.UsedBlocks = View.Announcement.Memory;
      View.Load.WaitingPrefill = tokens(200'000);
      Scheduler->updateBackend(View, Now);
    }
    for (std::size_t Place = 0; Place < WaitingWork; ++Place) {
      const work_item Item = sampleWork(++LastRequest, Accounts, Now);
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
      Live.push_back(Attempt);
    }
  }

  void report() {
    const double Request = cpuOfCall(RequestsPerRound, [this] { oneRequest(); });
    const double Report = cpuOfCall(LoadReportsPerRound, [this] { oneLoadReport(); });
    const double Idle = cpuOfCall(RequestsPerRound, [this] { poll(); });
    fill();
    const double Busy = cpuOfCall(20, [this] {
      Now += 20ms;
      poll();
    });
    std::printf(
        "{\"bench\":\"scheduler\",\"engines\":%zu,\"accounts\":%zu,\"cpu_us_per_request\":%.1f,"
        "\"cpu_us_per_load_report\":%.2f,\"cpu_us_per_idle_poll\":%.2f,"
        "\"cpu_us_per_busy_poll\":%.1f,\"waiting\":%zu,\"memory_kb\":%.0f,\"refused\":%zu}\n",
        Engines, Accounts, Request, Report, Idle, Busy, Scheduler->queued(), EmptyBytes / 1024,
        Refused);
    std::fflush(stdout);
  }

private:
  void endOldest() {
    attempt_report End;
    End.Completed = true;
    End.PromptTokens = tokens(4'000);
    End.AnswerTokens = tokens(200);
    Scheduler->attemptEnded(Live.front(), End, Now);
    Live.pop_front();
  }

  std::size_t Engines;
  std::size_t Accounts;
  std::unique_ptr<scheduler> Scheduler;
  mono_time Now{Begin};
  std::map<request_number, work_item> Waiting;
  std::deque<attempt_id> Live;
  std::uint64_t LastRequest{0};
  std::uint64_t LastReport{0};
  std::size_t Refused{0};
  double EmptyBytes{0};
};

void measureScheduler() {
  for (const std::size_t Engines : {24UL, 130UL, 650UL})
    for (const std::size_t Accounts : {10UL, 110UL, 1'100UL})
      worked_scheduler(Engines, Accounts).report();
}

// ---- dispatcher
// -----------------------------------------------------------------------------------

/// A dispatcher whose queue takes everything.
class worked_dispatcher {
public:
  worked_dispatcher() {
    dispatcher_callbacks Seam;
    Seam.Submit = [](const work_item &, mono_time) -> result<done, work_refusal> { return done{}; };
    Seam.GroupsFor = [](const request_facts &) {
      return std::vector<candidate_group>{{group_name("model-0-stable"), 1}};
    };
    auto Built = dispatcher_builder().process(ownKey()).callbacks(std::move(Seam)).build();
    requireInvariant(succeeded(Built), "the bench's dispatcher is built");
    Dispatcher = std::make_unique<dispatcher>(std::move(valueOf(Built)));
    Dispatcher->setReady(true);
  }

  /// Brings a request to where its answer runs.
  void begin() {
    const request_facts Facts = sampleFacts(++Last, 1'100, Now);
    Dispatcher->handle(request_arrived{Facts}, Now);
    Dispatcher->place({Facts.Id, sampleEngine(Last % 650, Now).Announcement.Key, 0, {}}, Now);
    Dispatcher->handle(attempt_sending{attemptOf(Last)}, Now);
    Dispatcher->handle(attempt_answering{attemptOf(Last)}, Now);
    Dispatcher->takeActions();
  }

  void end(std::uint64_t Request) {
    Dispatcher->handle(
        attempt_completed{attemptOf(Request), std::nullopt, std::nullopt, std::nullopt}, Now);
    Dispatcher->takeActions();
  }

  [[nodiscard]] std::uint64_t last() const { return Last; }
  [[nodiscard]] std::size_t live() const { return Dispatcher->liveRequests(); }

private:
  static attempt_id attemptOf(std::uint64_t Request) {
    return {ownKey(), request_number(Request), 1};
  }

  std::unique_ptr<dispatcher> Dispatcher;
  mono_time Now{Begin};
  std::uint64_t Last{0};
};

void measureDispatcher() {
  for (const std::size_t Live : {1'000UL, 4'000UL, 16'000UL}) {
    worked_dispatcher Work;
    const double Before = heapBytes();
    for (std::size_t Place = 0; Place < Live; ++Place)
      Work.begin();
    const double Bytes = heapBytes() - Before;
    requireInvariant(Work.live() == Live, "every request of the bench is under way");
    std::uint64_t Oldest = 0;
    const double Cost = cpuOfCall(RequestsPerRound, [&Work, &Oldest] {
      Work.begin();
      Work.end(++Oldest);
    });
    std::printf("{\"bench\":\"dispatcher\",\"live_requests\":%zu,\"memory_bytes_per_request\":%.0f,"
                "\"cpu_us_per_request\":%.2f}\n",
                Live, Bytes / static_cast<double>(Live), Cost);
    std::fflush(stdout);
  }
}

// ---- declaration
// ----------------------------------------------------------------------------------

void measureDeclaration(std::size_t Accounts) {
  const std::string Text = toCanonicalText(sampleDeclaration(Accounts));
  std::size_t Wrong = 0;
  const double Parse = cpuOfCall(
      3, [&Text, &Wrong] { Wrong += succeeded(parseDeclaration(Text, "bench.toml")) ? 0 : 1; });
  requireInvariant(Wrong == 0, "the bench's declaration is valid");
  const fleet_declaration Declaration = valueOf(parseDeclaration(Text, "bench.toml"));
  const double Before = heapBytes();
  const auto Index = std::make_unique<declaration_index>(Declaration);
  const double Bytes = heapBytes() - Before;
  const double Build =
      cpuOfCall(10, [&Declaration] { const declaration_index Other(Declaration); });
  std::size_t Place = 0;
  std::size_t Found = 0;
  const double Lookup = cpuOfCall(2'000, [&] {
    const account_declaration *Account = Index->findAccount(keyHash(++Place % Accounts));
    const selector_input Input{
        service_name("llm"), model_name("model-0"), Account->Name, {}, tokens(4'000)};
    Found += Index->select(Input) != nullptr ? 1 : 0;
  });
  requireInvariant(Found == Place, "every request of the bench finds a selector");
  std::printf("{\"bench\":\"declaration\",\"accounts\":%zu,\"selectors\":%zu,\"text_bytes\":%zu,"
              "\"cpu_us_parse\":%.0f,\"cpu_us_index\":%.0f,\"cpu_us_account_and_select\":%.2f,"
              "\"index_memory_kb\":%.0f}\n",
              Accounts, Declaration.Selectors.size(), Text.size(), Parse, Build, Lookup,
              Bytes / 1024);
  std::fflush(stdout);
}

} // namespace
} // namespace pollenstall::bench

int main() {
  using namespace pollenstall::bench;
  measureScheduler();
  measureWork();
  measureSuspects();
  measureDispatcher();
  for (const std::size_t Accounts : {10UL, 110UL, 1'100UL})
    measureDeclaration(Accounts);
  return 0;
}
