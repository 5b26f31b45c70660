/** @file work_bench.cpp Measures the CPU time of receiving work reports and of placing requests
 * for several numbers of entries and engines. Prints JSON lines; decisions use a virtual clock. */
#include "measure_func.h"
#include "work_bench_func.h"

#include "placement/placement.h"
#include "work_exchange/work_exchange.h"

#include <cmath>
#include <cstdio>
#include <memory>
#include <string>

namespace pollenstall::bench {
namespace {

using namespace std::chrono_literals;

constexpr mono_time StartTime{1h};
constexpr std::size_t ReportCount = 2'000;
constexpr std::size_t DecisionCount = 400;
/// Polls of a millisecond each, so that the reported loads and most targets don't expire.
constexpr std::size_t BusyPollCount = 100;
constexpr std::size_t LoadsPerReport = 4;
constexpr std::size_t OtherDomainCount = 5;

std::string entryAddress(std::size_t Entry) { return "10.0.0." + std::to_string(Entry) + ":1"; }

backend_listing makeListing(std::size_t Engine) {
  backend_listing Listing;
  Listing.Instance = instance_name("engine-" + std::to_string(Engine));
  Listing.Key =
      keyOf(backend_address("10.1.0.1:" + std::to_string(10'000 + Engine)), {Listing.Instance, {}});
  Listing.Service = service_name("model");
  Listing.Slots = 16;
  return Listing;
}

fleet_declaration makeDeclaration() {
  fleet_declaration Declaration;
  service_declaration Service;
  Service.Name = service_name("model");
  engine_profile Figures;
  Figures.BatchSlots = 16;
  Figures.Memory = tokens(315'000);
  Figures.StepsPerPass = 51;
  Figures.StepMs = 0.85;
  Figures.PerSequenceMs = 0.00425;
  Figures.PerContextMs = 0.00285;
  Figures.PrefillTokensPerSecond = 177'000;
  Figures.MsPerMillionPairs = 0.184;
  Service.Engine = Figures;
  Declaration.Services.push_back(Service);
  return Declaration;
}

/// An entry that receives work reports from the other entries.
class entry_driver {
public:
  entry_driver(std::size_t EntryCount, std::size_t EngineCount)
      : Entries(EntryCount), Engines(EngineCount),
        View({host_name("entry-0"), incarnation(1)}, entryAddress(0)),
        Placer(host_name("entry-0"), 1) {
    std::vector<work_entry> EntryList;
    for (std::size_t Entry = 0; Entry < Entries; ++Entry)
      EntryList.push_back(
          {entryAddress(Entry),
           failure_domain_name("d" + std::to_string(Entry % (OtherDomainCount + 1)))});
    View.setEntries(EntryList, Now);
    Placer.applyDeclaration(makeDeclaration());
    Placer.updateExchange(View.exchangeStats());
    for (std::size_t Engine = 0; Engine < Engines; ++Engine)
      Placer.updateBackend(makeListing(Engine));
    for (std::size_t Report = 0; Report < 4 * Engines; ++Report)
      receiveReport();
  }

  /// Receives one report from another entry and measures the time.
  void receiveReport() {
    Now += 100us;
    work_report Report;
    Report.Sender = {host_name("entry-1"), incarnation(1)};
    Report.Sequence = ++Sequence;
    Report.Scope =
        Entries > work_share_tuning().MaxDirectEntries ? report_scope::Others : report_scope::Group;
    for (std::size_t Load = 0; Load < LoadsPerReport; ++Load) {
      work_load EngineLoad;
      EngineLoad.Incarnation = makeListing(Random.below(Engines)).Key.Incarnation;
      EngineLoad.Requests = static_cast<std::uint32_t>(Random.below(6));
      EngineLoad.DecodingRequests = EngineLoad.Requests;
      EngineLoad.Tokens = EngineLoad.Requests * 5'000;
      EngineLoad.GapMs = 250;
      Report.Loads.push_back(EngineLoad);
    }
    const double Before = cpuMicroseconds();
    View.receive(Report, entryAddress(1), Now);
    ReceiveUs += cpuMicroseconds() - Before;
  }

  void updatePlacer() { Placer.updateOthersLoads(View.changedPeerLoads(Now), Now); }

  void placeRequest() {
    Now += 10ms;
    const work_item Item = makeItem();
    if (!succeeded(Placer.submit(Item, Now)))
      return;
    for (const work_placement &Placement : Placer.poll(Now).Placements) {
      const attempt_id Attempt{{host_name("entry-0"), incarnation(1)}, Placement.Request, 1};
      Placer.attemptStarted(Attempt, Item, Placement.Backend, Now);
      Placer.attemptAnswering(Attempt, Now);
      Placer.attemptEnded(Attempt, {}, Now);
    }
  }

  void printReport() {
    ReceiveUs = 0;
    for (std::size_t Index = 0; Index < ReportCount; ++Index)
      receiveReport();
    const double ReceiveCost = ReceiveUs / static_cast<double>(ReportCount);
    const double UpdateCost = cpuPerCall(DecisionCount, [this] {
      receiveReport();
      updatePlacer();
    });
    const double PlacementCost = cpuPerCall(DecisionCount, [this] { placeRequest(); });
    std::printf("{\"bench\":\"work\",\"entries\":%zu,\"engines\":%zu,\"ns_per_report\":%.0f,"
                "\"cpu_us_to_placement\":%.2f,\"cpu_us_per_decision\":%.1f}\n",
                Entries, Engines, ReceiveCost * 1e3, UpdateCost, PlacementCost);
    std::fflush(stdout);
  }

  /// Measures a poll with waiting requests at engines without a free slot.
  void printBusyPoll(std::size_t WaitingCount) {
    fillEngines();
    for (std::size_t Index = 0; Index < WaitingCount; ++Index)
      static_cast<void>(Placer.submit(makeItem(), Now));
    const double PollCost = cpuPerCall(BusyPollCount, [this] {
      Now += 1ms;
      Placer.poll(Now);
    });
    std::printf("{\"bench\":\"busy_poll\",\"entries\":%zu,\"engines\":%zu,\"waiting\":%zu,"
                "\"cpu_us_per_poll\":%.1f}\n",
                Entries, Engines, Placer.queued(), PollCost);
    std::fflush(stdout);
  }

private:
  void fillEngines() {
    std::vector<work_load> Loads;
    for (std::size_t Engine = 0; Engine < Engines; ++Engine) {
      work_load Load;
      Load.Incarnation = makeListing(Engine).Key.Incarnation;
      Load.Requests = Load.DecodingRequests = 16;
      Load.Tokens = 80'000;
      Load.GapMs = 250;
      Loads.push_back(Load);
    }
    Placer.updateOthersLoads(Loads, Now);
  }

  work_item makeItem() {
    work_item Item;
    Item.Request = request_number(++Request);
    Item.Service = service_name("route");
    Item.Groups = {{group_name("model"), 1}};
    Item.Prompt = tokens(4'000);
    Item.AnswerLimit = tokens(1'000);
    Item.Arrived = Now;
    Item.Deadline = Now + 10s;
    Item.Target = 300ms;
    Item.LongestGap = 250ms;
    return Item;
  }

  std::size_t Entries;
  std::size_t Engines;
  work_view View;
  placer Placer;
  random_source Random{1};
  mono_time Now{StartTime};
  std::uint64_t Sequence{0};
  std::uint64_t Request{0};
  double ReceiveUs{0};
};

} // namespace

void measureWorkExchange() {
  for (const std::size_t Entries : {8UL, 59UL, 195UL, 320UL})
    for (const std::size_t Engines : {24UL, 155UL, 650UL})
      entry_driver(Entries, Engines).printReport();
  entry_driver(76, 69).printBusyPoll(200);
}

} // namespace pollenstall::bench
