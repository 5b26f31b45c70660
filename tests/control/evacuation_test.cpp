/** @file evacuation_test.cpp Evacuations of failure domains with control host processes. */
#include "control/control_cluster.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
const std::string Path = "/v1/evacuations";

/// Leases are short, and the bound of evacuations is shorter, so that an acknowledgement waits for
/// entries that do not confirm.
const std::string ShortBound = "[log]\nheartbeat_ms = 40\nelection_ms = 400\n"
                               "[entries]\nlease_ms = 2000\nevacuate_within_ms = 100\n";

std::string body(const std::string &Domain, bool Undo = false) {
  return boost::json::serialize(boost::json::object{{"domain", Domain}, {"undo", Undo}});
}

class EvacuationClusterTest : public testing::Test {
protected:
  explicit EvacuationClusterTest(std::size_t Hosts = 3, const std::string &Settings = {})
      : Cluster(Hosts, Settings) {}

  /// Sends a command to the hosts in turn until one acknowledges it, as operators do.
  void set(const std::string &Domain, bool Undo = false) {
    EXPECT_TRUE(eventually([&] { return setOnce(Domain, Undo); })) << Domain;
  }
  /// Sends a command to each running host. @return Whether one acknowledged it.
  bool setOnce(const std::string &Domain, bool Undo = false) {
    for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
      if (Cluster.runs(Host) && Cluster.post(Host, Path, body(Domain, Undo)).Status == Ok)
        return true;
    return false;
  }

  /// @return The reply to GET /v1/evacuations of the host that can give it.
  boost::json::object list() {
    boost::json::object Object;
    EXPECT_TRUE(eventually([&] {
      for (std::size_t Host = 0; Host < Cluster.size(); ++Host) {
        const http_answer Answer = Cluster.runs(Host) ? Cluster.get(Host, Path) : http_answer();
        if (Answer.Status != Ok)
          continue;
        Object = objectIn(Answer);
        return true;
      }
      return false;
    }));
    return Object;
  }
  std::vector<std::string> domains() {
    std::vector<std::string> Names;
    const boost::json::object List = list();
    for (const boost::json::value &Domain : List.at("domains").as_array())
      Names.emplace_back(Domain.at("domain").as_string());
    return Names;
  }

  static std::vector<std::string> domainsOf(const test_entry &Entry) {
    std::vector<std::string> Names;
    if (Entry.Evacuations)
      for (const failure_domain_name &Domain : Entry.Evacuations->Domains)
        Names.push_back(Domain.str());
    return Names;
  }

  void killAll() {
    for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
      if (Cluster.runs(Host))
        Cluster.kill(Host);
  }
  void startAll() {
    for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
      Cluster.start(Host);
  }

  control_cluster Cluster;
  const std::vector<std::string> OnlyA{"a"};
};

TEST_F(EvacuationClusterTest, ReachesEveryEntryAndIsListed) {
  Cluster.waitForLeader();
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); })) << "before the first evacuation";
  EXPECT_FALSE(Entry.Evacuations);
  Entry.RequestsLeft = 4;
  set("a");
  ASSERT_TRUE(Entry.pumpUntil([&] { return domainsOf(Entry) == OnlyA; }));
  ASSERT_TRUE(Entry.pumpUntil([&] {
    const auto List = list();
    return List.at("requests_left").to_number<int>() == 4 &&
           List.at("entries_unconfirmed").to_number<int>() == 0;
  }));
  EXPECT_EQ(domains(), OnlyA);
  EXPECT_GT(list().at("domains").at(0).at("since_unix_ms").to_number<std::int64_t>(), 0);
  EXPECT_TRUE(Entry.ready());
  test_entry Later(Cluster.entryAddresses(), "entry-2");
  EXPECT_TRUE(Later.pumpUntil([&] { return Later.ready() && domainsOf(Later) == OnlyA; }));
  set("a", true);
  EXPECT_TRUE(Entry.pumpUntil([&] { return domainsOf(Entry).empty(); }));
  EXPECT_TRUE(domains().empty());
}

// An entry that confirms keeps its lease; one that does not must lose it, since it may still send
// requests to the domain.
TEST_F(EvacuationClusterTest, EntryThatDoesNotConfirmLosesItsLease) {
  Cluster.waitForLeader();
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  Entry.ConfirmsEvacuations = false;
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  set("a");
  EXPECT_TRUE(Entry.pumpUntil([&] { return !Entry.ready(); }));
  Entry.link().request(confirm_evacuations{Entry.Evacuations->Version, 0});
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
}

TEST_F(EvacuationClusterTest, RefusesBadRequests) {
  const std::size_t Leader = Cluster.waitForLeader();
  for (const std::string &Bad :
       {std::string(), std::string("{}"), std::string("[]"), body(""), body(std::string(256, 'a')),
        std::string(R"({"domain":7})"), std::string(R"({"domain":"a","undo":1})")})
    EXPECT_EQ(Cluster.post(Leader, Path, Bad).Status, BadRequest) << Bad;
  EXPECT_EQ(list().at("version").to_number<int>(), 0);
}

// Two operators send opposite commands at the same time through different hosts. Neither gets a
// conflict, and all hosts and entries must agree on the result.
TEST_F(EvacuationClusterTest, TwoOperatorsRaceWithoutAConflict) {
  Cluster.waitForLeader();
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  constexpr int Rounds = 10;
  std::atomic<bool> Done{false};
  std::thread Operators([&] {
    std::thread Other([&] {
      for (int Round = 0; Round < Rounds; ++Round)
        set("a", true);
    });
    for (int Round = 0; Round < Rounds; ++Round)
      set("a");
    Other.join();
    Done = true;
  });
  EXPECT_TRUE(Entry.pumpUntil([&] { return Done.load(); }));
  Operators.join();
  const std::vector<std::string> Result = domains();
  EXPECT_TRUE(Entry.pumpUntil([&] { return domainsOf(Entry) == Result; }));
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    EXPECT_TRUE(eventually([&] {
      return Cluster.status(Host).at("evacuations").as_array().size() == Result.size();
    })) << Host;
}

TEST_F(EvacuationClusterTest, SurvivesTheLossOfAllProcesses) {
  Cluster.waitForLeader();
  set("a");
  set("b");
  set("b", true);
  killAll();
  startAll();
  EXPECT_EQ(domains(), OnlyA);
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready() && domainsOf(Entry) == OnlyA; }));
}

// Without a quorum nothing may be acknowledged: the other hosts might never learn of it.
TEST_F(EvacuationClusterTest, MinorityAcknowledgesNothing) {
  const std::size_t Leader = Cluster.waitForLeader();
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    if (Host != Leader)
      Cluster.kill(Host);
  EXPECT_NE(Cluster.post(Leader, Path, body("a")).Status, Ok);
}

class ShortBoundTest : public EvacuationClusterTest {
protected:
  ShortBoundTest() : EvacuationClusterTest(3, ShortBound) {}
};

// An entry holds a lease longer than the bound and does not confirm. The leader is killed after the
// log has the command and before the acknowledgement. The operator's repeat must find it done.
TEST_F(ShortBoundTest, LeaderKilledBetweenCommandAndAcknowledgement) {
  const std::size_t First = Cluster.waitForLeader();
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  Entry.ConfirmsEvacuations = false;
  // The predecessor's leases are unknown to a new leader, so it waits for them as well.
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  http_answer Answer;
  std::thread Operator([&] { Answer = Cluster.post(First, Path, body("a")); });
  const bool Logged = Entry.pumpUntil([&] { return domainsOf(Entry) == OnlyA; });
  Cluster.sendKill(First);
  Operator.join();
  ASSERT_TRUE(Logged);
  EXPECT_NE(Answer.Status, Ok) << "the entry has not confirmed";
  Cluster.kill(First);
  EXPECT_EQ(domains(), OnlyA);
  EXPECT_EQ(list().at("version").to_number<int>(), 1);
  Entry.ConfirmsEvacuations = true;
  set("a");
  EXPECT_EQ(list().at("version").to_number<int>(), 1) << "the repeat changes nothing";
}

// Guards against an acknowledgement while an entry may still act on the older list.
TEST_F(ShortBoundTest, AcknowledgementWaitsForTheLeaseOfASilentEntry) {
  Cluster.waitForLeader();
  set("first"); // Past the leases of a previous leader.
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  Entry.ConfirmsEvacuations = false;
  mono_time Acknowledged{};
  std::thread Operator([&] {
    set("a");
    Acknowledged = boot_clock::now();
  });
  mono_time LastReady{};
  EXPECT_TRUE(Entry.pumpUntil([&] {
    if (Entry.ready())
      LastReady = boot_clock::now();
    return !Entry.ready();
  }));
  Operator.join();
  EXPECT_LE(LastReady, Acknowledged + milliseconds(100));
}

class FiveHostsTest : public EvacuationClusterTest {
protected:
  FiveHostsTest() : EvacuationClusterTest(5) {}
};

TEST_F(FiveHostsTest, EvacuationSurvivesTheLossOfTwoDisks) {
  const std::size_t Leader = Cluster.waitForLeader();
  set("a");
  const std::size_t Other = (Leader + 1) % Cluster.size();
  for (const std::size_t Lost : {Leader, Other}) {
    Cluster.kill(Lost);
    Cluster.loseDisk(Lost);
  }
  for (const std::size_t Lost : {Leader, Other})
    Cluster.start(Lost);
  EXPECT_EQ(domains(), OnlyA);
  set("a");
  EXPECT_EQ(list().at("version").to_number<int>(), 1);
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready() && domainsOf(Entry) == OnlyA; }));
}

} // namespace
} // namespace pollenstall
