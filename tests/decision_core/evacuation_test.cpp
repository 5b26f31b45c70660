/** @file evacuation_test.cpp Requests of every sort while failure domains are evacuated. */
#include "decision_core_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const failure_domain_name DomainA("a");
const failure_domain_name DomainB("b");

backend_key server(int Number) {
  return {backend_address("10.0.0." + std::to_string(Number) + ":80"),
          incarnation(static_cast<std::uint64_t>(Number))};
}

fleet_declaration declaration() {
  fleet_declaration Fleet;
  service_declaration Service;
  Service.Name = service_name("llm");
  Fleet.Services.push_back(Service);
  Fleet.Groups.push_back({group_name("all"), service_name("llm"), {}});
  selector_declaration Selector;
  Selector.Service = service_name("llm");
  Selector.Groups = {{group_name("all"), 1}};
  Fleet.Selectors.push_back(Selector);
  return Fleet;
}

struct evacuated_entry : testing::Test {
  mono_time Now{1h};
  decision_core Core;
  std::vector<dispatch_action> Actions;
  std::uint64_t LastRequest{0};

  evacuated_entry() : evacuated_entry(backend_source::Control) {}
  explicit evacuated_entry(backend_source Source)
      : Core({host_name("entry-1"), incarnation(1)}, 1, Source) {
    Core.useDeclaration(std::make_shared<const declaration_index>(declaration()));
    Core.setReady(true);
  }

  bool evacuate(std::uint64_t Version, const std::vector<failure_domain_name> &Domains) {
    return Core.setEvacuations({Version, Domains}, Now);
  }
  void step() {
    for (dispatch_action &Action : Core.step(Now))
      Actions.push_back(std::move(Action));
  }
  /// Returns the actions of a type since the last call, in order.
  template <typename Action> std::vector<Action> take() {
    step();
    std::vector<Action> Found;
    std::erase_if(Actions, [&Found](const dispatch_action &Any) {
      const auto *Match = std::get_if<Action>(&Any);
      if (Match)
        Found.push_back(*Match);
      return Match != nullptr;
    });
    return Found;
  }
  void handle(const dispatch_event &Event) { Core.handleEvent(Event, Now); }
  request_facts makeFacts() {
    request_facts Facts;
    Facts.Id = request_number(++LastRequest);
    Facts.Services = {{service_name("llm"), 1}};
    Facts.Arrived = Now;
    Facts.Deadline = Now + 12s;
    Facts.Target = 300ms;
    Facts.MaxAttempts = 3;
    Facts.Resumable = true;
    return Facts;
  }
  /// Starts a request. @return Its first attempt.
  start_attempt startRequest(const request_facts &Facts) {
    handle(request_arrived{Facts});
    const auto Started = take<start_attempt>();
    EXPECT_EQ(Started.size(), 1U);
    return Started.empty() ? start_attempt{} : Started[0];
  }
  void complete(const start_attempt &Attempt) {
    handle(attempt_sending{Attempt.Attempt});
    handle(attempt_answering{Attempt.Attempt});
    handle(attempt_completed{Attempt.Attempt, {}, {}, {}});
  }
  start_attempt startRequest() { return startRequest(makeFacts()); }
};

/// Servers 1 and 2 in domain "a" and 3 in "b", as the control leader lists them.
struct entry_with_listed_servers : evacuated_entry {
  entry_with_listed_servers() {
    Core.handleEvent(
        backends_listed{true, {listing(1, DomainA), listing(2, DomainA), listing(3, DomainB)}},
        Now);
  }
  static backend_listing listing(int Number, const failure_domain_name &Domain) {
    backend_listing Listing;
    Listing.Key = server(Number);
    Listing.Instance = instance_name("s" + std::to_string(Number));
    Listing.Service = service_name("llm");
    Listing.Domain = Domain;
    Listing.Slots = 100;
    return Listing;
  }
};

TEST_F(entry_with_listed_servers, StartsFirstAttemptsElsewhere) {
  EXPECT_TRUE(evacuate(1, {DomainA}));
  for (int Request = 0; Request < 20; ++Request)
    EXPECT_EQ(startRequest().Backend, server(3));
}

TEST_F(entry_with_listed_servers, ChangesNothingForAnOlderOrRepeatedVersion) {
  EXPECT_TRUE(evacuate(2, {DomainA}));
  EXPECT_FALSE(evacuate(1, {}));
  EXPECT_FALSE(evacuate(2, {DomainB}));
  EXPECT_EQ(startRequest().Backend, server(3));
}

TEST_F(entry_with_listed_servers, LeavesRunningRequestsAlone) {
  constexpr std::size_t Requests = 20;
  std::vector<start_attempt> Running;
  Running.reserve(Requests);
  while (Running.size() < Requests)
    Running.push_back(startRequest());
  EXPECT_TRUE(evacuate(1, {DomainA, DomainB}));
  EXPECT_TRUE(take<cancel_attempt>().empty());
  EXPECT_TRUE(take<finish_request>().empty());
  for (const start_attempt &Attempt : Running)
    complete(Attempt);
  EXPECT_EQ(take<finish_request>().size(), Running.size());
}

TEST_F(entry_with_listed_servers, RetriesElsewhere) {
  EXPECT_TRUE(evacuate(1, {DomainB}));
  const start_attempt First = startRequest();
  EXPECT_TRUE(evacuate(2, {DomainA}));
  handle(attempt_failed{First.Attempt, attempt_failure::NotConnected, {}});
  const auto Retries = take<start_attempt>();
  ASSERT_EQ(Retries.size(), 1U);
  EXPECT_EQ(Retries[0].Backend, server(3));
}

// The relay has given the attempt up because its server was evacuated before the first byte.
TEST_F(entry_with_listed_servers, PlacesWorkAgainThatTheRelayGaveUp) {
  EXPECT_TRUE(evacuate(1, {DomainB}));
  const start_attempt First = startRequest();
  EXPECT_TRUE(evacuate(2, {DomainA}));
  handle(attempt_failed{First.Attempt, attempt_failure::NotWanted, {}});
  const auto Again = take<start_attempt>();
  ASSERT_EQ(Again.size(), 1U);
  EXPECT_EQ(Again[0].Backend, server(3));
}

TEST_F(entry_with_listed_servers, StartsAttemptsBesideASilentOneElsewhere) {
  EXPECT_TRUE(evacuate(1, {DomainB}));
  for (int Request = 0; Request < 10; ++Request)
    complete(startRequest());
  const start_attempt Silent = startRequest();
  handle(attempt_sending{Silent.Attempt});
  EXPECT_TRUE(evacuate(2, {DomainA}));
  handle(attempt_silent{Silent.Attempt});
  const auto Beside = take<start_attempt>();
  ASSERT_EQ(Beside.size(), 1U);
  EXPECT_EQ(Beside[0].Backend, server(3));
}

TEST_F(entry_with_listed_servers, ContinuesStreamsElsewhereOrWaits) {
  EXPECT_TRUE(evacuate(1, {DomainA, DomainB}));
  request_facts Facts = makeFacts();
  Facts.Continues = true;
  handle(request_arrived{Facts});
  EXPECT_TRUE(take<start_attempt>().empty());
  EXPECT_TRUE(take<finish_request>().empty()) << "a refusal would truncate the answer";
  EXPECT_TRUE(evacuate(2, {DomainA}));
  const auto Started = take<start_attempt>();
  ASSERT_EQ(Started.size(), 1U);
  EXPECT_EQ(Started[0].Backend, server(3));
}

// The claim on the key is answered after the evacuation.
TEST_F(entry_with_listed_servers, StartsClaimedWorkElsewhere) {
  request_facts Facts = makeFacts();
  Facts.Idempotent = false;
  Facts.IdempotencyKey = "k";
  handle(request_arrived{Facts});
  ASSERT_EQ(take<acquire_claim>().size(), 1U);
  EXPECT_TRUE(evacuate(1, {DomainA}));
  handle(claim_answered{Facts.Id, claim_status::Granted});
  const auto Started = take<start_attempt>();
  ASSERT_EQ(Started.size(), 1U);
  EXPECT_EQ(Started[0].Backend, server(3));
}

TEST_F(entry_with_listed_servers, RefusesAtOnceAsNotRunIfNoServerIsLeft) {
  EXPECT_TRUE(evacuate(1, {DomainA, DomainB}));
  handle(request_arrived{makeFacts()});
  const auto Finished = take<finish_request>();
  ASSERT_EQ(Finished.size(), 1U);
  EXPECT_EQ(Finished[0].Outcome, final_outcome::NotRun);
  EXPECT_EQ(Finished[0].Reason, failure_reason::NoBackend);
  EXPECT_EQ(Finished[0].RetryAfter, 4s);
}

TEST_F(entry_with_listed_servers, UsesRestoredServersAtOnce) {
  EXPECT_TRUE(evacuate(1, {DomainA, DomainB}));
  EXPECT_TRUE(evacuate(2, {DomainB}));
  EXPECT_NE(startRequest().Backend, server(3));
}

// Guards against requests of an entry that was cut off or frozen: the domain may have been
// evacuated meanwhile, and its lease has ended so that the operator got the acknowledgement.
TEST_F(entry_with_listed_servers, PlacesNothingWithoutALeaseOnceThereIsAList) {
  Core.setLeaseEnd(Now);
  EXPECT_EQ(startRequest().Attempt.Ordinal, 1U) << "the control hosts know no evacuations";
  EXPECT_TRUE(evacuate(0, {}));
  handle(request_arrived{makeFacts()});
  EXPECT_TRUE(take<start_attempt>().empty());
  Now += 50ms;
  step();
  ASSERT_TRUE(Core.nextWake());
  EXPECT_GT(*Core.nextWake(), Now) << "the thread would not sleep";
  Core.setLeaseEnd(Now + 3s);
  EXPECT_EQ(take<start_attempt>().size(), 1U);
}

// Servers that no list can name are used as before.
TEST_F(evacuated_entry, PlacesWorkAtServersWithoutADomainWithoutALease) {
  Core.handleEvent(
      backends_listed{true, {entry_with_listed_servers::listing(1, failure_domain_name())}}, Now);
  EXPECT_TRUE(evacuate(1, {DomainA}));
  Core.setLeaseEnd(Now);
  EXPECT_EQ(startRequest().Attempt.Ordinal, 1U);
}

TEST_F(entry_with_listed_servers, InformsTheRelayOfTheListAndOfServersListedLater) {
  EXPECT_EQ(Core.takeEvacuationsChange(), nullptr) << "nothing changes before the first list";
  EXPECT_TRUE(evacuate(1, {DomainA}));
  const auto First = Core.takeEvacuationsChange();
  ASSERT_NE(First, nullptr);
  EXPECT_TRUE(First->isOut(server(1)));
  EXPECT_FALSE(First->isOut(server(3)));
  EXPECT_EQ(Core.takeEvacuationsChange(), nullptr);
  Core.handleEvent(backends_listed{false, {listing(4, DomainA)}}, Now);
  const auto Second = Core.takeEvacuationsChange();
  ASSERT_NE(Second, nullptr);
  EXPECT_TRUE(Second->isOut(server(4)));
  EXPECT_NE(Core.dump(Now).find(R"("evacuations":{"version":1,"domains":["a"]})"),
            std::string::npos);
}

/// Engines 1 in domain "a" and 2 in "b" that announce themselves.
struct entry_with_announced_engines : evacuated_entry {
  entry_with_announced_engines() : evacuated_entry(backend_source::Gossip) {
    Core.handleEvent(membership_event(views_fresh{mono_time::max()}), Now);
    announce(1, DomainA);
    announce(2, DomainB);
  }
  void announce(int Number, const failure_domain_name &Domain) {
    backend_view View;
    View.Announcement.Key = server(Number);
    View.Announcement.Service = service_name("llm");
    View.Announcement.Domain = Domain;
    View.Announcement.Models = {model_name("m")};
    View.Announcement.Capabilities.Resumes = true;
    View.Announcement.Memory = memory_blocks(25'000);
    Core.handleEvent(membership_event(backend_changed{View}), Now);
  }
  request_facts makeModelFacts() {
    request_facts Facts = makeFacts();
    Facts.Services.clear();
    Facts.Service = service_name("llm");
    Facts.Model = model_name("m");
    Facts.Prompt = tokens(100);
    Facts.AnswerLimit = tokens(20);
    Facts.Deadline = Now + 60s;
    return Facts;
  }
};

// Guards against a stream that breaks off and is asked for again at the evacuated engine.
TEST_F(entry_with_announced_engines, ResumesNoStreamAtAnEvacuatedEngine) {
  for (const bool Out : {false, true}) {
    SCOPED_TRACE(Out);
    const start_attempt Stream = startRequest(makeModelFacts());
    handle(attempt_sending{Stream.Attempt});
    handle(attempt_answering{Stream.Attempt});
    if (Out) {
      EXPECT_TRUE(evacuate(1, {Stream.Backend == server(1) ? DomainA : DomainB}));
    }
    handle(attempt_failed{Stream.Attempt, attempt_failure::BrokenMidway, {}});
    EXPECT_EQ(take<resume_attempt>().size(), Out ? 0U : 1U);
    const auto Elsewhere = take<start_attempt>();
    ASSERT_EQ(Elsewhere.size(), Out ? 1U : 0U);
    if (Out) {
      EXPECT_NE(Elsewhere[0].Backend, Stream.Backend);
    }
  }
}

TEST_F(entry_with_announced_engines, InformsTheRelayOfTheirDomains) {
  EXPECT_TRUE(evacuate(1, {DomainB}));
  const auto Table = Core.takeEvacuationsChange();
  ASSERT_NE(Table, nullptr);
  EXPECT_TRUE(Table->isOut(server(2)));
  EXPECT_FALSE(Table->isOut(server(1)));
}

} // namespace
} // namespace pollenstall
