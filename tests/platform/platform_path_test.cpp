/** @file platform_path_test.cpp Calls over the platform protocol through real processes. */
#include "platform_path_fixture.h"

namespace pollenstall {
namespace {

TEST_F(PlatformPathTest, RequestAndAnswerPassUnchanged) {
  scripted_server Engine(answerWithoutLimit);
  ASSERT_NO_FATAL_FAILURE(startAll(1));
  ASSERT_TRUE(announce("i-1", Engine));
  std::unique_ptr<http_stream> Stream;
  ASSERT_TRUE(eventually([&] {
    Stream = std::make_unique<http_stream>(System->callers(0), "POST", "/x/2f?q=1", "a body",
                                           headers(nextSend()));
    return Stream->status() == Ok;
  }));
  EXPECT_EQ(Stream->header("Response-Signature"), Signature);
  EXPECT_EQ(Stream->header("Attempt-Id"), "send-" + std::to_string(Sends));
  const std::vector<sse_event> Events = Stream->remainingEvents();
  ASSERT_EQ(Events.size(), 3U);
  EXPECT_EQ(Events[2].Id, "3");
  EXPECT_TRUE(Stream->endedCleanly());
  ASSERT_EQ(Engine.requests().size(), 1U);
  const received_request Seen = Engine.requests()[0];
  EXPECT_EQ(Seen.Head.rfind("POST /x/2f?q=1 HTTP/1.1\r\n", 0), 0U);
  EXPECT_EQ(Seen.Body, "a body");
  EXPECT_NE(Seen.Head.find("Expected-Instance: i-1\r\n"), std::string::npos);
  EXPECT_NE(Seen.Head.find("Tenant-Name: t1\r\n"), std::string::npos);
  EXPECT_EQ(Seen.Head.find("Authorization"), std::string::npos);
}

// An engine announces to any control host that it is leaving. The acknowledgement means that the
// update is on its way to each entry. Once an entry has it, the entry must send nothing more: the
// engine exits soon, and the request would be lost.
TEST_F(PlatformPathTest, LeavingEngineGetsNoRequestFromAnyEntry) {
  constexpr std::size_t Entries = 2;
  scripted_server Leaving(answerWithoutLimit);
  scripted_server Staying(answerWithoutLimit);
  ASSERT_NO_FATAL_FAILURE(startAll(Entries));
  ASSERT_TRUE(announce("i-1", Leaving));
  for (std::size_t Entry = 0; Entry < Entries; ++Entry)
    ASSERT_TRUE(eventually([&] { return sendRequest(Entry).first == Ok; }));
  ASSERT_TRUE(announce("i-2", Staying));
  ASSERT_TRUE(announce("i-1", Leaving, "draining"));
  const auto SentInRounds = [&](int Rounds) {
    const std::size_t Before = Leaving.requests().size();
    for (int Round = 0; Round < Rounds; ++Round)
      for (std::size_t Entry = 0; Entry < Entries; ++Entry)
        EXPECT_EQ(sendRequest(Entry).first, Ok);
    return Leaving.requests().size() - Before;
  };
  // An entry without the update would choose between the two engines at random.
  EXPECT_TRUE(eventually([&] { return SentInRounds(6) == 0; }));
  EXPECT_EQ(SentInRounds(8), 0U);
}

// All control hosts are killed at once after a change was acknowledged, and restart with their
// disks and the seed addresses only. The change must be in force, and the entry must serve again.
TEST_F(PlatformPathTest, AcknowledgedChangeSurvivesARestartOfAllControlHosts) {
  scripted_server Engine(answerWithoutLimit);
  ASSERT_NO_FATAL_FAILURE(startAll(1));
  ASSERT_TRUE(System->acknowledged("PUT", ConfigurationPath, configuration(7)));
  for (std::size_t Host = 0; Host < System->controls(); ++Host)
    System->killControl(Host);
  for (std::size_t Host = 0; Host < System->controls(); ++Host)
    System->startControl(Host, false);
  for (std::size_t Host = 0; Host < System->controls(); ++Host) {
    http_answer Read;
    EXPECT_TRUE(eventually([&] {
      Read = System->control(Host, "GET", ConfigurationPath);
      return Read.Status == Ok;
    }));
    EXPECT_EQ(Read.Body, configuration(7)) << Host;
  }
  ASSERT_TRUE(eventually([&] { return System->ready(0); }));
  ASSERT_TRUE(announce("i-1", Engine));
  EXPECT_TRUE(eventually([&] { return sendRequest(0).first == Ok; }));
}

// All processes of the system are killed and restarted at once, while engines run on and send their
// next notice only after their interval. A request before that notice must be answered: the new
// leader knows the engines from the log.
TEST_F(PlatformPathTest, AfterARestartOfAllProcessesARequestNeedsNoNotice) {
  scripted_server Engine(answerWithoutLimit);
  ASSERT_NO_FATAL_FAILURE(startAll(1));
  ASSERT_TRUE(announce("i-1", Engine));
  ASSERT_TRUE(eventually([&] { return sendRequest(0).first == Ok; }));
  constexpr int Losses = 20;
  std::vector<double> Times;
  for (int Loss = 0; Loss < Losses; ++Loss) {
    System->killEntry(0);
    for (std::size_t Host = 0; Host < System->controls(); ++Host)
      System->killControl(Host);
    System->startEntry(0);
    for (std::size_t Host = 0; Host < System->controls(); ++Host)
      System->startControl(Host, false);
    Times.push_back(
        measureMs([&] { ASSERT_TRUE(eventually([&] { return sendRequest(0).first == Ok; })); }));
  }
  printLatencies("from the last start to the first answer after a restart of all", Times);
  std::cout << "max " << *std::max_element(Times.begin(), Times.end()) << " ms\n";
}

// Two control hosts lose their disks right after a change was acknowledged and restart empty at
// their addresses, without manual repair. Once they vote again, two others are killed permanently:
// unless the first two are full members by then, no further change can be accepted.
TEST_F(PlatformPathTest, TwoEmptyDisksAreRepairedAutomatically) {
  ASSERT_NO_FATAL_FAILURE(startAll(0));
  // Three of the five hosts acknowledge a change, so this host may not know the members yet.
  std::set<std::string> Founders;
  ASSERT_TRUE(eventually([&] {
    Founders = voters(2);
    return Founders.size() == 5U;
  })) << Founders.size();
  for (const std::size_t Host : {0, 3}) {
    System->killControl(Host);
    System->loseDisk(Host);
    System->startControl(Host, false);
  }
  ASSERT_TRUE(eventually([&] {
    const std::set<std::string> CurrentVoters = voters(2);
    const auto Kept =
        std::count_if(CurrentVoters.begin(), CurrentVoters.end(),
                      [&](const std::string &Member) { return Founders.count(Member) > 0; });
    return CurrentVoters.size() == 5 && Kept == 3;
  })) << controlLogs();
  System->killControl(1);
  System->killControl(4);
  EXPECT_TRUE(System->acknowledged("PUT", ConfigurationPath, configuration(2)));
  const http_answer Read = System->control(0, "GET", ConfigurationPath);
  EXPECT_EQ(Read.Body, configuration(2)) << Read.Status;
}

// The seeds start last. Until then the others have no host to contact; the cluster must still form.
TEST_F(PlatformPathTest, LateSeedsOnlyDelayTheStart) {
  System = std::make_unique<platform_system>(5, 1);
  System->startEntry(0);
  for (const std::size_t Host : {4, 3, 2, 1, 0})
    System->startControl(Host, true);
  EXPECT_TRUE(System->acknowledged("PUT", ConfigurationPath, configuration(1)));
  EXPECT_TRUE(eventually([&] { return System->ready(0); }));
}

// Prints figures and checks no bound: the latency that an entry adds to the first event of an
// engine that takes 20 ms, and the latency of a change, each measured alone on an idle system.
TEST_F(PlatformPathTest, ReportsEntryOverheadAndChangeLatency) {
  constexpr int Requests = 100;
  scripted_server Engine(answerWithoutLimit);
  ASSERT_NO_FATAL_FAILURE(startAll(1));
  ASSERT_TRUE(announce("i-1", Engine));
  ASSERT_TRUE(eventually([&] { return sendRequest(0).first == Ok; }));
  std::vector<double> Direct;
  std::vector<double> ViaEntry;
  std::vector<double> Changes;
  Direct.reserve(Requests);
  ViaEntry.reserve(Requests);
  Changes.reserve(Requests);
  for (int Request = 0; Request < Requests; ++Request) {
    if (Request % 4 == 0) { // An engine without notices expires.
      ASSERT_TRUE(announce("i-1", Engine));
    }
    Direct.push_back(firstEventMs(Engine.key().Address.str()));
    ViaEntry.push_back(firstEventMs(System->callers(0)));
  }
  for (int Change = 0; Change < Requests; ++Change)
    Changes.push_back(measureMs([&] {
      EXPECT_TRUE(System->acknowledged("PUT", ConfigurationPath, configuration(10 + Change)));
    }));
  printLatencies("first event directly from the engine", Direct);
  printLatencies("first event through an entry", ViaEntry);
  printLatencies("change acknowledged", Changes);
}

} // namespace
} // namespace pollenstall
