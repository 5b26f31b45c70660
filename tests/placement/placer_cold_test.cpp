/** @file placer_cold_test.cpp Placement on servers that are cold. */
#include "placer_fixture.h"

namespace pollenstall {
namespace {

struct placer_with_cold_servers : placer_fixture {
  std::uint64_t Permits{0};

  static fleet_declaration coldDeclaration(double PerSecond = 17) {
    fleet_declaration Fleet = declaration();
    Fleet.Services[0].ColdPerSecond = PerSecond;
    Fleet.Services[0].ColdStart = 8s;
    return Fleet;
  }
  void SetUp() override {
    Placer.applyDeclaration(coldDeclaration());
    for (std::size_t Engine = 0; Engine < Engines; ++Engine)
      list(Engine, 0ms);
  }
  void list(std::size_t Engine, std::optional<std::chrono::milliseconds> ColdFor) {
    backend_listing Listing = makeListing(Engine);
    Listing.Domain = failure_domain_name(Engine < 5 ? "d1" : "d2");
    Listing.ColdFor = ColdFor;
    Placer.updateBackend(Listing);
    Placer.updateCold(Listing, Now);
  }
  void listFrom(std::size_t First, std::chrono::milliseconds ColdFor) {
    for (std::size_t Engine = First; Engine < Engines; ++Engine)
      list(Engine, ColdFor);
  }
  static std::size_t indexOf(const backend_key &Key) {
    std::size_t Engine = 0;
    while (Engine < Engines && makeListing(Engine).Key != Key)
      ++Engine;
    return Engine;
  }
  /// Grants all requests for permits. @return The requests.
  std::vector<permit_request> grantPermits() {
    std::vector<permit_request> Requests;
    for (const permit_message &Message : Placer.permits().takeMessages(Now))
      if (const auto *Request = std::get_if<permit_request>(&Message)) {
        Requests.push_back(*Request);
        Placer.permits().receive({Request->Server,
                                  std::nullopt,
                                  {1, ++Permits},
                                  0ms,
                                  false,
                                  cold_grant{Request->Cold ? Request->Cold->AskedAt : 0, 0ms}},
                                 Now);
      }
    return Requests;
  }
};

// Guards against cold servers that are filled while warm ones are idle.
TEST_F(placer_with_cold_servers, WarmServersComeFirst) {
  for (std::size_t Engine = 0; Engine < 10; ++Engine)
    list(Engine, 60s);
  for (int Request = 0; Request < 40; ++Request) {
    submitRequest(5'000);
    const auto Placements = poll();
    ASSERT_EQ(Placements.size(), 1U);
    EXPECT_GE(indexOf(Placements[0].Backend), 10U);
    EXPECT_FALSE(Placements[0].Permit.isSet());
    beginAnswer(Placements[0].Request);
  }
  EXPECT_TRUE(grantPermits().empty());
}

// Guards against work that waits, or is late, for servers that are warm but full.
TEST_F(placer_with_cold_servers, ColdServersAreUsedUnderLoad) {
  listFrom(1, 60s);
  std::size_t Cold = 0;
  for (int Request = 0; Request < 30; ++Request) {
    submitRequest(5'000);
    auto Placements = poll();
    if (Placements.empty()) {
      grantPermits();
      Placements = poll();
    }
    ASSERT_EQ(Placements.size(), 1U);
    const bool IsCold = indexOf(Placements[0].Backend) > 0;
    EXPECT_EQ(Placements[0].Permit.isSet(), IsCold);
    Cold += IsCold ? 1 : 0;
    beginAnswer(Placements[0].Request);
  }
  // All that the one warm server has no slot for.
  EXPECT_GE(Cold, 30U - figures().BatchSlots);
  EXPECT_EQ(Placer.permits().coldPermitsUsed(), Cold);
}

TEST_F(placer_with_cold_servers, EachPartOfALongPromptOnAColdServerNeedsAPermit) {
  listFrom(0, 60s);
  submitRequest(154'000);
  EXPECT_TRUE(poll().empty());
  const std::size_t Granted = grantPermits().size();
  const auto Placements = poll();
  ASSERT_EQ(Placements.size(), 1U);
  EXPECT_EQ(Placer.permits().coldPermitsUsed(), 1 + Placements[0].Helpers.size());
  EXPECT_LE(Placer.permits().coldPermitsUsed(), Granted);
}

// Holds are renewed by further requests, for which there may be no permit.
TEST_F(placer_with_cold_servers, ColdServersHoldNoMemoryOfAnotherServersPrompt) {
  for (std::size_t Engine = 0; Engine < Engines / 2; ++Engine)
    list(Engine, 60s);
  submitRequest(400'000);
  const auto Placements = poll();
  ASSERT_EQ(Placements.size(), 1U);
  EXPECT_GE(indexOf(Placements[0].Backend), Engines / 2);
  for (const backend_key &Helper : Placements[0].Helpers)
    EXPECT_GE(indexOf(Helper), Engines / 2);
}

// Guards against a service that declares no bound and is restricted nevertheless.
TEST_F(placer_with_cold_servers, ServiceWithoutARateIsServedAsBefore) {
  Placer.applyDeclaration(coldDeclaration(0));
  listFrom(0, 60s);
  for (int Request = 0; Request < 20; ++Request)
    submitRequest(5'000);
  EXPECT_EQ(poll().size(), 20U);
  EXPECT_TRUE(Placer.permits().takeMessages(Now).empty());
  // Its servers become bounded. Requests were sent until now, which the issuer must know.
  Placer.applyDeclaration(coldDeclaration());
  submitRequest(5'000);
  EXPECT_TRUE(poll().empty());
  const auto Requests = grantPermits();
  ASSERT_FALSE(Requests.empty());
  ASSERT_TRUE(Requests[0].Cold);
  EXPECT_EQ(Requests[0].Cold->WarmAgo, 0ms);
}

// Guards against a new leader, which has no notice yet, and against repeated listings that make a
// cold server warm too early.
TEST_F(placer_with_cold_servers, ListingsThatSayNothingChangeNothing) {
  removeAllExcept(makeListing(4).Key);
  list(4, 3s);
  Now += 1s;
  list(4, std::nullopt);
  Now += 1s;
  submitRequest(5'000);
  EXPECT_TRUE(poll().empty());
  EXPECT_EQ(Placer.permits().coldServers(Now), 1U);
  Now += 1s;
  EXPECT_EQ(poll().size(), 1U);
  EXPECT_EQ(Placer.permits().coldServers(Now), 0U);
}

// Guards against a server of which a new leader has no notice yet and that is taken for warm.
TEST_F(placer_with_cold_servers, NewServerOfUnknownStateCountsAsColdForSomeSeconds) {
  for (std::size_t Engine = 0; Engine < Engines; ++Engine)
    Placer.removeBackend(makeListing(Engine).Key);
  list(4, std::nullopt);
  submitRequest(5'000);
  EXPECT_TRUE(poll().empty());
  EXPECT_EQ(Placer.permits().coldServers(Now), 1U);
  list(4, 0ms);
  EXPECT_EQ(poll().size(), 1U);
}

TEST_F(placer_with_cold_servers, AskTellsSinceWhenRequestsNeedPermits) {
  removeAllExcept(makeListing(4).Key);
  list(4, 3s);
  Now += 200ms;
  submitRequest(5'000);
  poll();
  const auto Requests = grantPermits();
  ASSERT_EQ(Requests.size(), 1U);
  ASSERT_TRUE(Requests[0].Cold);
  EXPECT_EQ(Requests[0].Cold->PerSecond, requests_per_second(17));
  EXPECT_EQ(Requests[0].Cold->WarmAgo, 200ms);
}

struct restored_domain : placer_with_cold_servers {};

// Guards against a restored domain that gets the requests of a warm one.
TEST_F(restored_domain, ItsServersAreColdForTheirStart) {
  Placer.markDomainCold(failure_domain_name("d1"), Now);
  EXPECT_EQ(Placer.permits().coldServers(Now), 5U);
  EXPECT_EQ(Placer.permits().coldServers(Now + 7900ms), 5U);
  EXPECT_EQ(Placer.permits().coldServers(Now + 8s), 0U);
}

TEST_F(restored_domain, LaterNoticeSaysOtherwise) {
  Placer.markDomainCold(failure_domain_name("d1"), Now);
  Now += 1s;
  list(0, 0ms);
  list(1, 20s);
  Placer.poll(Now);
  EXPECT_EQ(Placer.permits().coldServers(Now), 4U);
  EXPECT_EQ(Placer.permits().coldServers(Now + 8s), 1U);
}

} // namespace
} // namespace pollenstall
