/** @file work_bench.cpp Processor time of what entries tell each other, and of placing by it,
 * against the numbers of entries and engines; JSON lines. The clock of the decisions is virtual. */
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

constexpr mono_time Begin{1h};
constexpr std::size_t Reports = 2'000;
constexpr std::size_t Decisions = 400;
constexpr std::size_t LoadsOfReport = 4;
constexpr std::size_t OtherDomains = 5;

std::string addressOf(std::size_t Entry) { return "10.0.0." + std::to_string(Entry) + ":1"; }

backend_listing listingOf(std::size_t Engine) {
  backend_listing Listing;
  Listing.Instance = instance_name("engine-" + std::to_string(Engine));
  Listing.Key =
      keyOf(backend_address("10.1.0.1:" + std::to_string(10'000 + Engine)), {Listing.Instance, {}});
  Listing.Service = service_name("model");
  Listing.Slots = 16;
  return Listing;
}

fleet_declaration declarationOf() {
  fleet_declaration Declared;
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
  Declared.Services.push_back(Service);
  return Declared;
}

/// One entry that hears of the others' work.
class worked_entry {
public:
  worked_entry(std::size_t EntryCount, std::size_t EngineCount)
      : Entries(EntryCount), Engines(EngineCount),
        Board({host_name("entry-0"), incarnation(1)}, addressOf(0)),
        Placer(host_name("entry-0"), 1) {
    std::vector<work_entry> All;
    for (std::size_t Entry = 0; Entry < Entries; ++Entry)
      All.push_back({addressOf(Entry),
                     failure_domain_name("d" + std::to_string(Entry % (OtherDomains + 1)))});
    Board.setEntries(All, Now);
    Placer.applyDeclaration(declarationOf());
    Placer.updateExchange(Board.facts());
    for (std::size_t Engine = 0; Engine < Engines; ++Engine)
      Placer.updateBackend(listingOf(Engine));
    for (std::size_t Report = 0; Report < 4 * Engines; ++Report)
      oneReport();
  }

  /// A relay's report reaches the board, and what follows from it reaches placement.
  void oneReport() {
    Now += 100us;
    work_report Report;
    Report.Sender = {host_name("entry-1"), incarnation(1)};
    Report.Sequence = ++Sequence;
    Report.Scope =
        Entries > work_share_tuning().MaxDirectEntries ? report_scope::Others : report_scope::Group;
    for (std::size_t Load = 0; Load < LoadsOfReport; ++Load) {
      work_load Told;
      Told.Incarnation = listingOf(Random.below(Engines)).Key.Incarnation;
      Told.Requests = static_cast<std::uint32_t>(Random.below(6));
      Told.DecodingRequests = Told.Requests;
      Told.Tokens = Told.Requests * 5'000;
      Told.GapMs = 250;
      Report.Loads.push_back(Told);
    }
    const double Before = cpuMicroseconds();
    Board.receive(Report, addressOf(1), Now);
    TakeUs += cpuMicroseconds() - Before;
  }

  void tellPlacement() { Placer.updateOthersLoads(Board.changedPeerLoads(Now), Now); }

  void oneDecision() {
    Now += 10ms;
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
    if (!succeeded(Placer.submit(Item, Now)))
      return;
    for (const work_placement &Placement : Placer.poll(Now).Placements) {
      const attempt_id Attempt{{host_name("entry-0"), incarnation(1)}, Placement.Request, 1};
      Placer.attemptStarted(Attempt, Item, Placement.Backend, Now);
      Placer.attemptAnswering(Attempt, Now);
      Placer.attemptEnded(Attempt, {}, Now);
    }
  }

  void report() {
    TakeUs = 0;
    for (std::size_t Place = 0; Place < Reports; ++Place)
      oneReport();
    const double Take = TakeUs / static_cast<double>(Reports);
    const double Tell = cpuOfCall(Decisions, [this] {
      oneReport();
      tellPlacement();
    });
    const double Decide = cpuOfCall(Decisions, [this] { oneDecision(); });
    std::printf("{\"bench\":\"work\",\"entries\":%zu,\"engines\":%zu,\"ns_per_report\":%.0f,"
                "\"cpu_us_to_placement\":%.2f,\"cpu_us_per_decision\":%.1f}\n",
                Entries, Engines, Take * 1e3, Tell, Decide);
    std::fflush(stdout);
  }

private:
  std::size_t Entries;
  std::size_t Engines;
  work_view Board;
  placer Placer;
  random_source Random{1};
  mono_time Now{Begin};
  std::uint64_t Sequence{0};
  std::uint64_t Request{0};
  double TakeUs{0};
};

} // namespace

void measureWork() {
  for (const std::size_t Entries : {8UL, 59UL, 195UL, 320UL})
    for (const std::size_t Engines : {24UL, 155UL, 650UL})
      worked_entry(Entries, Engines).report();
}

} // namespace pollenstall::bench
