/** @file placer_story.h A placer with engines of declared figures, for stories in tests. */
#ifndef POLLENSTALL_TESTS_PLACEMENT_PLACER_STORY_H
#define POLLENSTALL_TESTS_PLACEMENT_PLACER_STORY_H

#include "placement/placement.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

using namespace std::chrono_literals;

/// Twenty engines that read 177 tokens a millisecond; a stream may pause 250 ms.
struct placer_story : testing::Test {
  static constexpr std::size_t Engines = 20;

  placer Placer{host_name("entry-1"), 1};
  mono_time Now{1h};
  std::uint64_t LastRequest{0};
  std::uint64_t SettledClaims{0};
  std::map<request_number, work_item> Items;

  void SetUp() override {
    Placer.applyDeclaration(declaration());
    for (std::size_t Place = 0; Place < Engines; ++Place)
      Placer.updateBackend(listing(Place));
  }

  static engine_figures figures() {
    engine_figures Figures;
    Figures.Places = 16;
    Figures.Memory = tokens(315'000);
    Figures.StepsPerPass = 51;
    Figures.StepMs = 0.85;
    Figures.PerSequenceMs = 0.00425;
    Figures.PerContextMs = 0.00285;
    Figures.ReadPerSecond = 177'000;
    Figures.PairsMs = 0.184;
    return Figures;
  }
  static fleet_declaration declaration() {
    fleet_declaration Fleet;
    service_declaration Service;
    Service.Name = service_name("llm");
    Service.Engine = figures();
    Fleet.Services.push_back(Service);
    call_route Route;
    Route.Repeat = repeat_rule::Resume;
    Route.LongestGap = 250ms;
    Route.Services = {{service_name("llm"), 1}};
    Fleet.Routes.push_back(Route);
    return Fleet;
  }
  static backend_listing listing(std::size_t Place) {
    const std::string Name = "e" + std::to_string(100 + Place);
    backend_listing Listing;
    Listing.Key = keyOf(backend_address("127.0.0.1:" + std::to_string(1000 + Place)),
                        {instance_name(Name), {}});
    Listing.Instance = instance_name(Name);
    Listing.Service = service_name("llm");
    Listing.Places = 16;
    return Listing;
  }

  /// A request comes; its target is 300 ms up to 24,000 tokens, 3 s above.
  request_number arrive(std::int64_t Prompt, std::chrono::milliseconds Gap = 250ms,
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
  /// Places what can be placed and starts it; what is only claimed has its time run out at once.
  std::vector<work_placement> poll() {
    std::vector<work_placement> Placements = pollOnce();
    if (Placer.claimsMade() == SettledClaims)
      return Placements;
    SettledClaims = Placer.claimsMade();
    Now += exchange_facts().ClaimSpan;
    const std::vector<work_placement> Settled = pollOnce();
    Placements.insert(Placements.end(), Settled.begin(), Settled.end());
    return Placements;
  }
  std::vector<work_placement> pollOnce() {
    const poll_outcome Outcome = Placer.poll(Now);
    for (const work_placement &Placement : Outcome.Placements)
      Placer.attemptStarted(attempt(Placement.Request), Items.at(Placement.Request),
                            Placement.Backend, Now);
    return Outcome.Placements;
  }
  /// All other entries together have this under way, and nothing elsewhere.
  static void tellOthers(placer &Entry, const std::vector<work_load> &Loads, mono_time At) {
    std::vector<work_load> All = Loads;
    for (std::size_t Place = 0; Place < Engines; ++Place) {
      const incarnation Incarnation = listing(Place).Key.Incarnation;
      if (std::none_of(Loads.begin(), Loads.end(), [Incarnation](const work_load &Load) {
            return Load.Incarnation == Incarnation;
          })) {
        All.emplace_back();
        All.back().Incarnation = Incarnation;
      }
    }
    Entry.takeOthersLoads(All, At);
  }
  void others(const std::vector<work_load> &Loads) { tellOthers(Placer, Loads, Now); }
  /// All other engines are gone.
  void keepOnly(const backend_key &Backend) {
    for (std::size_t Place = 0; Place < Engines; ++Place)
      if (listing(Place).Key != Backend)
        Placer.removeBackend(listing(Place).Key);
  }
  void answer(request_number Request) { Placer.attemptAnswering(attempt(Request), Now); }
  void end(request_number Request) {
    attempt_report Report;
    Report.Completed = true;
    Placer.attemptEnded(attempt(Request), Report, Now);
  }
  static attempt_id attempt(request_number Request) {
    return {{host_name("entry-1"), incarnation(1)}, Request, 1};
  }
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_PLACEMENT_PLACER_STORY_H
