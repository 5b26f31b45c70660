/** @file placer_fixture.h Test fixture with a placer and engines of declared figures. */
#ifndef POLLENSTALL_TESTS_PLACEMENT_PLACER_FIXTURE_H
#define POLLENSTALL_TESTS_PLACEMENT_PLACER_FIXTURE_H

#include "placement/placement.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

using namespace std::chrono_literals;

/// Twenty engines that prefill 177 tokens per millisecond. Streams allow gaps of 250 ms.
struct placer_fixture : testing::Test {
  static constexpr std::size_t Engines = 20;

  placer Placer{host_name("entry-1"), 1};
  mono_time Now{1h};
  std::uint64_t LastRequest{0};
  std::uint64_t SettledClaims{0};
  std::map<request_number, work_item> Items;

  void SetUp() override {
    Placer.applyDeclaration(declaration());
    for (std::size_t Index = 0; Index < Engines; ++Index)
      Placer.updateBackend(makeListing(Index));
  }

  static engine_profile figures() {
    engine_profile Figures;
    Figures.BatchSlots = 16;
    Figures.Memory = tokens(315'000);
    Figures.StepsPerPass = 51;
    Figures.StepMs = 0.85;
    Figures.PerSequenceMs = 0.00425;
    Figures.PerContextMs = 0.00285;
    Figures.PrefillTokensPerSecond = 177'000;
    Figures.MsPerMillionPairs = 0.184;
    return Figures;
  }
  static fleet_declaration declaration() {
    fleet_declaration Fleet;
    service_declaration Service;
    Service.Name = service_name("llm");
    Service.Engine = figures();
    Fleet.Services.push_back(Service);
    call_route Route;
    Route.RetryMode = retry_mode::Resume;
    Route.LongestGap = 250ms;
    Route.Services = {{service_name("llm"), 1}};
    Fleet.Routes.push_back(Route);
    return Fleet;
  }
  static backend_listing makeListing(std::size_t Index) {
    const std::string Name = "e" + std::to_string(100 + Index);
    backend_listing Listing;
    Listing.Key = keyOf(backend_address("127.0.0.1:" + std::to_string(1000 + Index)),
                        {instance_name(Name), {}});
    Listing.Instance = instance_name(Name);
    Listing.Service = service_name("llm");
    Listing.Slots = 16;
    return Listing;
  }

  /// Submits a request. Its target is 300 ms up to 24,000 tokens and 3 s above.
  request_number submitRequest(std::int64_t Prompt, std::chrono::milliseconds Gap = 250ms,
                               bool Resumed = false) {
    work_item Item;
    Item.Request = request_number(++LastRequest);
    Item.Service = service_name("route");
    Item.Groups = {{group_name("llm"), 1}};
    Item.Prompt = tokens(Prompt);
    Item.AnswerLimit = tokens(1'000);
    Item.Arrived = Now;
    Item.Deadline = Now + 10s;
    Item.Target = Prompt > 24'000 ? 3000ms : 300ms;
    Item.LongestGap = Gap;
    Item.Resumed = Resumed;
    Items[Item.Request] = Item;
    EXPECT_TRUE(succeeded(Placer.submit(Item, Now)));
    return Item.Request;
  }
  /// Polls and starts the placed work. If there are new claims, waits until they take effect.
  std::vector<work_placement> poll() {
    std::vector<work_placement> Placements = pollOnce();
    if (Placer.claimsMade() == SettledClaims)
      return Placements;
    SettledClaims = Placer.claimsMade();
    Now += load_exchange_properties().ClaimDelay;
    const std::vector<work_placement> Settled = pollOnce();
    Placements.insert(Placements.end(), Settled.begin(), Settled.end());
    return Placements;
  }
  std::vector<work_placement> pollOnce() {
    const poll_outcome Outcome = Placer.poll(Now);
    for (const work_placement &Placement : Outcome.Placements)
      Placer.attemptStarted(attemptOf(Placement.Request), Items.at(Placement.Request),
                            Placement.Backend, Now);
    return Outcome.Placements;
  }
  /// Sets the work of all other entries; engines that are not listed have none.
  static void setOthersLoadsAt(placer &Entry, const std::vector<work_load> &Loads, mono_time Time) {
    std::vector<work_load> AllLoads = Loads;
    for (std::size_t Index = 0; Index < Engines; ++Index) {
      const incarnation Incarnation = makeListing(Index).Key.Incarnation;
      if (std::none_of(Loads.begin(), Loads.end(), [Incarnation](const work_load &Load) {
            return Load.Incarnation == Incarnation;
          })) {
        AllLoads.emplace_back();
        AllLoads.back().Incarnation = Incarnation;
      }
    }
    Entry.updateOthersLoads(AllLoads, Time);
  }
  void setOthersLoads(const std::vector<work_load> &Loads) { setOthersLoadsAt(Placer, Loads, Now); }
  /// Removes all other engines.
  void removeAllExcept(const backend_key &Backend) {
    for (std::size_t Index = 0; Index < Engines; ++Index)
      if (makeListing(Index).Key != Backend)
        Placer.removeBackend(makeListing(Index).Key);
  }
  void beginAnswer(request_number Request) { Placer.attemptAnswering(attemptOf(Request), Now); }
  void completeAttempt(request_number Request) {
    attempt_report Report;
    Report.Completed = true;
    Placer.attemptEnded(attemptOf(Request), Report, Now);
  }
  static attempt_id attemptOf(request_number Request) {
    return {{host_name("entry-1"), incarnation(1)}, Request, 1};
  }
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_PLACEMENT_PLACER_FIXTURE_H
