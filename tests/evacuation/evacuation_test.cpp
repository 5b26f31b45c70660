/** @file evacuation_test.cpp Versions of the list, and the servers that it names. */
#include "evacuation/evacuation.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const failure_domain_name A("a");
const failure_domain_name B("b");

backend_key server(int Number) {
  return {backend_address("10.0.0." + std::to_string(Number) + ":80"), incarnation(1)};
}

struct evacuated_domains : testing::Test {
  server_evacuations Table;

  evacuated_domains() {
    Table.setDomain(server(1), A);
    Table.setDomain(server(2), B);
    Table.setDomain(server(3), failure_domain_name());
  }
};

TEST_F(evacuated_domains, TakeTheirServersOutUntilTheyAreRestored) {
  EXPECT_FALSE(Table.isOut(server(1))) << "nothing is out before the first list";
  EXPECT_TRUE(Table.update(1, {A}));
  EXPECT_TRUE(Table.isOut(server(1)));
  EXPECT_FALSE(Table.isOut(server(2)));
  EXPECT_TRUE(Table.update(2, {}));
  EXPECT_FALSE(Table.isOut(server(1)));
}

// Guards against a list of a former leader that arrives late and puts a domain back in service.
TEST_F(evacuated_domains, DoNotChangeWithAnOlderOrRepeatedVersion) {
  EXPECT_TRUE(Table.update(5, {A}));
  EXPECT_FALSE(Table.update(5, {B}));
  EXPECT_FALSE(Table.update(4, {}));
  EXPECT_EQ(Table.list().version(), 5U);
  EXPECT_TRUE(Table.isOut(server(1)));
  EXPECT_FALSE(Table.isOut(server(2)));
}

// The version before the first evacuation is 0 and must be confirmed like any other.
TEST_F(evacuated_domains, CountTheFirstListAsNewWhateverItsVersion) {
  EXPECT_FALSE(Table.list().version());
  EXPECT_TRUE(Table.update(0, {}));
  EXPECT_FALSE(Table.update(0, {A}));
  EXPECT_EQ(Table.list().version(), 0U);
}

// Guards against a list with an empty or repeated name that takes out servers without a domain.
TEST_F(evacuated_domains, NeverIncludeServersWithoutADomain) {
  EXPECT_TRUE(Table.update(1, {failure_domain_name(), A, A}));
  EXPECT_FALSE(Table.isOut(server(3)));
  EXPECT_TRUE(Table.allowsNewRequest(server(3), false));
  EXPECT_EQ(Table.list().domains().size(), 1U);
  EXPECT_FALSE(Table.isOut(server(9))) << "an unknown server";
}

TEST_F(evacuated_domains, IncludeServersThatAnnounceThemselvesLater) {
  EXPECT_TRUE(Table.update(1, {A}));
  EXPECT_TRUE(Table.setDomain(server(4), A));
  EXPECT_FALSE(Table.setDomain(server(4), A)) << "nothing changed";
  EXPECT_TRUE(Table.isOut(server(4)));
  EXPECT_TRUE(Table.setDomain(server(4), B));
  EXPECT_FALSE(Table.isOut(server(4)));
}

// Guards against work for a server that was removed from the list of servers: it may still run.
TEST_F(evacuated_domains, KeepServersThatHaveEndedUntilTheRestore) {
  EXPECT_TRUE(Table.update(1, {A}));
  Table.removeServer(server(1));
  Table.removeServer(server(2));
  EXPECT_TRUE(Table.isOut(server(1)));
  EXPECT_TRUE(Table.update(2, {}));
  EXPECT_TRUE(Table.update(3, {A, B}));
  EXPECT_FALSE(Table.isOut(server(1)));
  EXPECT_FALSE(Table.isOut(server(2)));
}

// Guards against an entry that was cut off or frozen and does not know the latest list.
TEST_F(evacuated_domains, MayBeAnyWithoutALease) {
  EXPECT_TRUE(Table.update(1, {A}));
  EXPECT_TRUE(Table.allowsNewRequest(server(2), true));
  EXPECT_FALSE(Table.allowsNewRequest(server(1), true));
  EXPECT_FALSE(Table.allowsNewRequest(server(2), false));
}

TEST(evacuation_refusal, AsksForARetryAsLateAsCallersHonourIt) {
  EXPECT_EQ(evacuationRetryAfter(10s), 3s);
  EXPECT_EQ(evacuationRetryAfter(2s), 1s);
  EXPECT_EQ(evacuationRetryAfter(-1s), 1s);
}

// The leader adds the numbers of all entries up; each change of each entry at once would be many.
TEST(evacuation_reports, AreDueAtOnceForAVersionAndOncePerSecondForANumber) {
  evacuation_reporter Reporter;
  mono_time Now{10s};
  EXPECT_TRUE(Reporter.mayReport(1, Now));
  EXPECT_TRUE(Reporter.isNews({1, 0}));
  Reporter.recordReport({1, 4}, Now);
  Now += 999ms;
  EXPECT_FALSE(Reporter.mayReport(1, Now));
  EXPECT_TRUE(Reporter.mayReport(2, Now));
  Now += 1ms;
  EXPECT_TRUE(Reporter.mayReport(1, Now));
  EXPECT_FALSE(Reporter.isNews({1, 4}));
  EXPECT_TRUE(Reporter.isNews({1, 3}));
}

} // namespace
} // namespace pollenstall
