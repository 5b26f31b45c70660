/** @file placer_evacuation_test.cpp Placement while failure domains are evacuated. */
#include "placer_fixture.h"

#include <algorithm>
#include <memory>

namespace pollenstall {
namespace {

const failure_domain_name DomainA("a");

/// Engines in the domains "a", "b" and "c" by turns.
struct evacuation_fixture : placer_fixture {
  evacuation_list List;

  void SetUp() override {
    placer_fixture::SetUp();
    for (std::size_t Index = 0; Index < Engines; ++Index)
      Placer.updateBackend(listingIn(Index));
  }
  static backend_listing listingIn(std::size_t Index) {
    backend_listing Listing = makeListing(Index);
    Listing.Domain = failure_domain_name(std::string(1, static_cast<char>('a' + Index % 3)));
    return Listing;
  }
  void evacuate(const std::vector<std::string> &Names) {
    const std::vector<failure_domain_name> Domains(Names.begin(), Names.end());
    List.update(List.version().value_or(0) + 1, Domains);
    Placer.setEvacuations(List);
  }
  static std::vector<backend_key> serversOf(const work_placement &Placement) {
    std::vector<backend_key> Servers = Placement.Helpers;
    Servers.push_back(Placement.Backend);
    for (const memory_hold &Hold : Placement.Holds)
      Servers.push_back(Hold.Backend);
    return Servers;
  }
  static bool usesDomain(const work_placement &Placement, const failure_domain_name &Domain) {
    const std::vector<backend_key> Used = serversOf(Placement);
    for (std::size_t Index = 0; Index < Engines; ++Index)
      if (listingIn(Index).Domain == Domain &&
          std::count(Used.begin(), Used.end(), makeListing(Index).Key) > 0)
        return true;
    return false;
  }
  void fail(request_number Request, attempt_failure Failure) {
    attempt_report Report;
    Report.Failure = Failure;
    Placer.attemptEnded(attemptOf(Request), Report, Now);
  }
  /// Submits requests that end at once. @return How many were placed in the domain.
  std::size_t placedIn(const failure_domain_name &Domain, int Requests, bool Resumed = false) {
    std::size_t Count = 0;
    for (int Request = 0; Request < Requests; ++Request) {
      submitRequest(1'000, 250ms, Resumed);
      for (const work_placement &Placement : poll()) {
        Count += usesDomain(Placement, Domain) ? 1 : 0;
        completeAttempt(Placement.Request);
      }
    }
    return Count;
  }
};

TEST_F(evacuation_fixture, FirstAttemptsGoElsewhereUntilTheRestore) {
  Placer.updateExchange({195, 56ms, 9ms});
  EXPECT_GT(placedIn(DomainA, 100), 0U);
  evacuate({"a"});
  EXPECT_EQ(placedIn(DomainA, 200), 0U);
  evacuate({});
  EXPECT_GT(placedIn(DomainA, 100), 0U);
}

TEST_F(evacuation_fixture, ResumedStreamsGoElsewhere) {
  EXPECT_GT(placedIn(DomainA, 200, true), 0U);
  evacuate({"a"});
  EXPECT_EQ(placedIn(DomainA, 200, true), 0U);
}

// Guards against retries, and attempts beside a silent one, that fall back on servers of the domain
// because all others were tried before.
TEST_F(evacuation_fixture, FurtherAttemptsRatherRepeatAServerThatWasTried) {
  evacuate({"a"});
  for (int Repeat = 0; Repeat < 50; ++Repeat) {
    const request_number Request = submitRequest(1'000);
    Placer.withdraw(Request);
    work_item Item = Items.at(Request);
    for (std::size_t Index = 0; Index < Engines; ++Index)
      if (listingIn(Index).Domain != DomainA)
        Item.Avoid.push_back(makeListing(Index).Key);
    ASSERT_TRUE(succeeded(Placer.submit(Item, Now)));
    const auto Placements = poll();
    ASSERT_EQ(Placements.size(), 1U);
    EXPECT_FALSE(usesDomain(Placements[0], DomainA));
    completeAttempt(Request);
  }
}

TEST_F(evacuation_fixture, ServersOfTheDomainNeitherHelpNorHoldMemory) {
  evacuate({"a"});
  submitRequest(200'000);
  submitRequest(500'000);
  const auto Placements = poll();
  EXPECT_FALSE(Placements.empty());
  for (const work_placement &Placement : Placements)
    EXPECT_FALSE(usesDomain(Placement, DomainA));
}

// Guards against claims that take effect after the domain of one of their servers was evacuated.
TEST_F(evacuation_fixture, ClaimedWorkIsPlacedElsewhere) {
  submitRequest(200'000);
  ASSERT_TRUE(pollOnce().empty()) << "a claim is published first";
  evacuate({"a"});
  Now += load_exchange_properties().ClaimDelay;
  EXPECT_TRUE(pollOnce().empty()) << "the work is claimed again";
  EXPECT_EQ(Placer.evacuatedClaims(), 1U);
  Now += load_exchange_properties().ClaimDelay;
  const auto Placements = pollOnce();
  ASSERT_EQ(Placements.size(), 1U);
  EXPECT_FALSE(usesDomain(Placements[0], DomainA));
}

// Guards against the trial request that a server gets after its backoff.
TEST_F(evacuation_fixture, ServersInBackoffAreNotProbed) {
  Placer.updateExchange({195, 56ms, 9ms});
  for (int Failure = 0; Failure < 60; ++Failure) {
    submitRequest(1'000);
    for (const work_placement &Placement : poll())
      if (usesDomain(Placement, DomainA))
        fail(Placement.Request, attempt_failure::BrokenSent);
      else
        completeAttempt(Placement.Request);
  }
  evacuate({"a"});
  Now += 20s;
  EXPECT_EQ(placedIn(DomainA, 200), 0U);
}

TEST_F(evacuation_fixture, RestoredServersAreCandidatesAtOnceDespiteEarlierFailures) {
  removeAllExcept(makeListing(0).Key);
  Placer.updateBackend(listingIn(1));
  std::size_t Failures = 0;
  for (int Attempt = 0; Attempt < 50; ++Attempt) {
    submitRequest(1'000);
    for (const work_placement &Placement : poll())
      if (usesDomain(Placement, DomainA)) {
        fail(Placement.Request, attempt_failure::BrokenSent);
        ++Failures;
      } else {
        completeAttempt(Placement.Request);
      }
  }
  ASSERT_GT(Failures, 0U);
  ASSERT_EQ(placedIn(DomainA, 50), 0U) << "it is in backoff";
  evacuate({"a"});
  evacuate({});
  EXPECT_GT(placedIn(DomainA, 50), 0U);
}

// Guards against permits that are requested for a server that may not be used.
TEST_F(evacuation_fixture, NoPermitsAreRequestedForServersOfTheDomain) {
  removeAllExcept(makeListing(0).Key);
  Placer.permits().record({makeListing(0).Key, {}, requests_per_second(2), {}}, Now);
  Placer.permits().receive({makeListing(0).Key.Incarnation, requests_per_second(2), {}, 0ms, false},
                           Now);
  Placer.permits().takeMessages(Now);
  evacuate({"a"});
  submitRequest(1'000, 250ms, true);
  EXPECT_TRUE(poll().empty());
  EXPECT_TRUE(Placer.permits().takeMessages(Now).empty());
}

// Waiting work of a service without servers could only be refused later, when its caller has less
// time left.
TEST_F(evacuation_fixture, WorkIsRefusedAtOnceIfAllServersAreOut) {
  const request_number Early = submitRequest(200'000);
  ASSERT_TRUE(pollOnce().empty()) << "it is claimed";
  evacuate({"a", "b", "c"});
  Now += load_exchange_properties().ClaimDelay;
  const request_number Late = submitRequest(1'000);
  const poll_outcome Outcome = Placer.poll(Now);
  EXPECT_TRUE(Outcome.Placements.empty());
  ASSERT_EQ(Outcome.Expiries.size(), 2U);
  EXPECT_EQ(Outcome.Expiries[0].Request, Early);
  EXPECT_EQ(Outcome.Expiries[1].Request, Late);
  EXPECT_EQ(Outcome.Expiries[1].Refusal.Reason, failure_reason::NoBackend);
  EXPECT_EQ(Outcome.Expiries[1].Refusal.RetryAfter, 3s);
  EXPECT_EQ(Placer.queued(), 0U);
}

// The caller has a part of the answer, which a refusal would truncate.
TEST_F(evacuation_fixture, ResumedStreamsWaitForTheRestoreIfAllServersAreOut) {
  evacuate({"a", "b", "c"});
  submitRequest(1'000, 250ms, true);
  EXPECT_TRUE(Placer.poll(Now).Expiries.empty());
  evacuate({"a"});
  EXPECT_EQ(poll().size(), 1U);
}

TEST_F(evacuation_fixture, WorkWaitsIfServersElsewhereOnlySeemUnresponsive) {
  for (std::size_t Index = 0; Index < Engines; ++Index) {
    backend_listing Listing = listingIn(Index);
    if (Listing.Domain != DomainA)
      Listing.State = listing_state::Unresponsive;
    Placer.updateBackend(Listing);
  }
  evacuate({"a"});
  submitRequest(1'000);
  const poll_outcome Outcome = Placer.poll(Now);
  EXPECT_TRUE(Outcome.Expiries.empty());
  EXPECT_TRUE(Outcome.Placements.empty());
}

TEST_F(evacuation_fixture, ServersThatAreListedLaterAreOutToo) {
  removeAllExcept(makeListing(1).Key);
  evacuate({"a"});
  Placer.updateBackend(listingIn(0));
  EXPECT_EQ(placedIn(DomainA, 50), 0U);
}

TEST_F(evacuation_fixture, ServersWithoutADomainAreNeverOut) {
  removeAllExcept(makeListing(0).Key);
  Placer.updateBackend(makeListing(0));
  evacuate({"", "a"});
  submitRequest(1'000);
  EXPECT_EQ(poll().size(), 1U);
}

// A fleet of entries that learn of an evacuation one after the other while they place work of all
// sorts. None may place anything in the domain once it has the list, whatever the others still do.
struct evacuated_fleet : evacuation_fixture, testing::WithParamInterface<std::size_t> {
  std::vector<std::unique_ptr<placer>> Entries;
  random_source Random{7};

  void SetUp() override {
    for (std::size_t Entry = 0; Entry < GetParam(); ++Entry) {
      Entries.push_back(
          std::make_unique<placer>(host_name("entry-" + std::to_string(Entry)), Entry));
      Entries.back()->applyDeclaration(declaration());
      Entries.back()->updateExchange({static_cast<std::uint32_t>(GetParam()), 30ms, 9ms});
      for (std::size_t Index = 0; Index < Engines; ++Index)
        Entries.back()->updateBackend(listingIn(Index));
    }
  }
  work_item anyWork() {
    work_item Item;
    Item.Request = request_number(++LastRequest);
    Item.Groups = {{group_name("llm"), 1}};
    const std::uint64_t Sort = Random.below(10);
    Item.Prompt = tokens(Sort == 0 ? 400'000 : Sort == 1 ? 150'000 : 2'000);
    Item.AnswerLimit = tokens(500);
    Item.Arrived = Now;
    Item.Deadline = Now + 10s;
    Item.Target = 300ms;
    Item.Resumed = Sort == 2;
    if (Sort == 3)
      for (std::size_t Index = 1; Index < Engines; ++Index)
        Item.Avoid.push_back(makeListing(Index).Key);
    return Item;
  }
};

TEST_P(evacuated_fleet, PlacesNothingInTheDomainOnceItsEntriesKnow) {
  constexpr std::size_t Steps = 40;
  evacuation_list Out;
  Out.update(1, {DomainA});
  std::vector<bool> Knows(Entries.size(), false);
  std::size_t Before = 0;
  std::size_t After = 0;
  std::size_t Elsewhere = 0;
  for (std::size_t Step = 0; Step < Steps; ++Step, Now += 10ms)
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry) {
      placer &Own = *Entries[Entry];
      if (!Knows[Entry] && Step > 5 && Random.below(6) == 0) {
        Own.setEvacuations(Out);
        Knows[Entry] = true;
      }
      const work_item Item = anyWork();
      EXPECT_TRUE(succeeded(Own.submit(Item, Now)));
      for (const work_placement &Placement : Own.poll(Now).Placements) {
        const bool Uses = usesDomain(Placement, DomainA);
        (Uses ? Knows[Entry] ? After : Before : Elsewhere) += 1;
        Own.withdraw(Placement.Request);
      }
    }
  EXPECT_EQ(After, 0U);
  EXPECT_GT(Before, 0U);
  EXPECT_GT(Elsewhere, 0U);
}

INSTANTIATE_TEST_SUITE_P(Sizes, evacuated_fleet, testing::Values(3, 9, 76, 320));

} // namespace
} // namespace pollenstall
