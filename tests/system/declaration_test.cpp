/** @file declaration_test.cpp Accepted declaration changes, from the operator to every entry. */
#include "running_system_base.h"

#include "operators/operators.h"

#include <gtest/gtest.h>

#include <thread>

namespace pollenstall {
namespace {

constexpr int Ok = 200;
constexpr int Conflict = 409;

bool repeatedIn(const http_answer &Answer) {
  const auto Object = objectIn(Answer);
  return Object.contains("repeated") && Object.at("repeated").as_bool();
}

std::uint64_t revisionIn(const http_answer &Answer) {
  const auto Object = objectIn(Answer);
  return Object.contains("revision") ? Object.at("revision").to_number<std::uint64_t>() : 0;
}

class AcceptedChangesTest : public testing::Test {
protected:
  void killAllControl() {
    for (std::size_t Host = 0; Host < System.control().size(); ++Host)
      System.control().kill(Host);
  }

  void startAllControl() {
    for (std::size_t Host = 0; Host < System.control().size(); ++Host)
      System.control().start(Host);
  }

  /// Expects a refusal with the outcome "not-run" and a Retry-After header.
  void expectRefused(std::size_t Entry) {
    const http_answer Refused = System.chat(Entry, "a question");
    EXPECT_EQ(Refused.Status, 503) << Refused.Error << Refused.Body;
    EXPECT_EQ(outcomeOf(Refused), "not-run");
    EXPECT_FALSE(Refused.header("Retry-After").empty());
  }

  running_system System{{.EngineTables = "[step]\nbase_us = 5000\n", .ServiceLines = ""}};
};

TEST_F(AcceptedChangesTest, OfTwoConcurrentOperatorsExactlyOneIsInForceEverywhere) {
  // Two operators read the same revision and send different changes concurrently. One is accepted
  // and comes into force at every entry; the other gets a conflict, and its content is used
  // nowhere.
  for (std::uint64_t Base = System.revision(); Base < System.revision() + 5; ++Base) {
    http_answer Other;
    std::thread Second([&] {
      Other = System.control().change("b" + std::to_string(Base), Base, System.declarationWith(20));
    });
    const auto Answer =
        System.control().change("a" + std::to_string(Base), Base, System.declarationWith(10));
    Second.join();
    ASSERT_EQ(Answer.Status + Other.Status, Ok + Conflict) << Base;
    EXPECT_EQ(revisionIn(Answer), Base + 1);
    EXPECT_EQ(revisionIn(Other), Base + 1);
    EXPECT_TRUE(eventually([&] { return System.inForce(Base + 1); })) << Base;
  }
}

TEST_F(AcceptedChangesTest, GetTheFirstAnswerAgainAfterALeaderCrash) {
  // The leader accepts a change and is killed before the operator reads the answer. When it is sent
  // again, the change gets its first answer instead of a conflict with itself, and no later change
  // is undone at any entry.
  const std::uint64_t Base = System.revision();
  const std::size_t Leader = System.control().waitForLeader();
  const std::string Text = System.declarationWith(30);
  ASSERT_EQ(System.control().change("lost", Base, Text).Status, Ok);
  ASSERT_EQ(System.control().change("later", Base + 1, System.declarationWith(40)).Status, Ok);
  System.control().kill(Leader);
  const auto RepeatedAnswer = System.control().change("lost", Base, Text);
  EXPECT_EQ(RepeatedAnswer.Status, Ok) << RepeatedAnswer.Body;
  EXPECT_EQ(revisionIn(RepeatedAnswer), Base + 1);
  EXPECT_TRUE(repeatedIn(RepeatedAnswer));
  EXPECT_TRUE(eventually([&] { return System.inForce(Base + 2); }));
}

TEST_F(AcceptedChangesTest, AreNotAcceptedByAStaleLeader) {
  // The leader is frozen until another one has been elected and has accepted a change. When it
  // resumes it still believes that it leads: it must not accept a change, and no entry may go back
  // to an older revision. Without the two other hosts it must not keep the entries ready either.
  const std::uint64_t Base = System.revision();
  const std::size_t OldLeader = System.control().waitForLeader();
  System.control().freeze(OldLeader);
  const std::size_t NewLeader = System.control().waitForLeader(OldLeader);
  const std::string Body = changeBody("new", Base, System.declarationWith(50));
  ASSERT_TRUE(eventually(
      [&] { return System.control().post(NewLeader, "/v1/changes", Body).Status == Ok; }));
  EXPECT_TRUE(eventually([&] { return System.inForce(Base + 1); }));
  System.control().thaw(OldLeader);
  const auto Answer = System.control().post(OldLeader, "/v1/changes",
                                            changeBody("old", Base, System.declarationWith(60)));
  EXPECT_NE(Answer.Status, Ok) << Answer.Body;
  EXPECT_TRUE(eventually([&] { return System.inForce(Base + 1); }));
  for (std::size_t Host = 0; Host < System.control().size(); ++Host)
    if (Host != OldLeader)
      System.control().kill(Host);
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry) {
    EXPECT_TRUE(eventually([&] { return !System.ready(Entry); })) << Entry;
    EXPECT_EQ(System.revisionInUse(Entry), Base + 1);
  }
  EXPECT_FALSE(System.control().status(OldLeader).at("serving").as_bool());
}

TEST_F(AcceptedChangesTest, AreConfirmedByARestartedEntryBeforeItServes) {
  // An entry is killed, misses changes and restarts while no control host answers. It must not use
  // an older declaration: it is not ready and runs nothing until this incarnation has confirmed the
  // revision in force.
  System.killEntry(0);
  std::uint64_t Last = System.revision();
  for (int Change = 0; Change < 5; ++Change, ++Last) {
    const std::string Id = "missed-" + std::to_string(Change);
    const auto Answer = System.control().change(Id, Last, System.declarationWith(100 + Change));
    ASSERT_EQ(Answer.Status, Ok) << Answer.Body;
  }
  for (std::size_t Host = 0; Host < System.control().size(); ++Host)
    System.control().freeze(Host);
  System.startEntry(0);
  EXPECT_TRUE(eventually([this] { return !System.ready(1) && !System.ready(2); }));
  EXPECT_FALSE(System.ready(0));
  EXPECT_EQ(System.revisionInUse(0), 0U);
  expectRefused(0);
  for (std::size_t Host = 0; Host < System.control().size(); ++Host)
    System.control().thaw(Host);
  ASSERT_TRUE(eventually([this] { return System.ready(0); })) << System.description();
  EXPECT_EQ(System.revisionInUse(0), Last);
  EXPECT_TRUE(eventually([&] { return System.inForce(Last); }));
}

TEST_F(AcceptedChangesTest, ApplyToAnEntryThatWasFrozenMeanwhile) {
  // An entry is frozen, and the operator revokes the key of the account. Requests with that key
  // wait in the sockets of the entry. When it resumes, its declaration still admits them, but its
  // lease has expired, and none of them may run.
  System.entry(0).stop();
  std::string Text = System.declarationWith(110);
  const std::string Hash = keyHash("caller-key");
  Text.replace(Text.find(Hash), Hash.size(), keyHash("another-key"));
  ASSERT_EQ(System.control().change("revoke", System.revision(), Text).Status, Ok);
  const auto InForce = [this] {
    const auto Status = System.control().status(System.control().waitForLeader());
    const boost::json::value *InForceRevision = Status.if_contains("in_force_revision");
    return InForceRevision && InForceRevision->is_number() &&
           InForceRevision->to_number<std::uint64_t>() == System.revision() + 1;
  };
  constexpr int Callers = 12;
  std::vector<std::future<http_answer>> Waiting;
  Waiting.reserve(Callers);
  for (int Caller = 0; Caller < Callers; ++Caller)
    Waiting.push_back(std::async(std::launch::async, [this, Caller] {
      return System.chat(0, "revoked " + std::to_string(Caller));
    }));
  EXPECT_TRUE(eventually(InForce));
  System.entry(0).resume();
  for (auto &Waited : Waiting) {
    const http_answer Answer = Waited.get();
    EXPECT_NE(Answer.Status, Ok) << "the request ran under a declaration that is not in force";
    EXPECT_EQ(outcomeOf(Answer), "not-run") << Answer.Status << Answer.Error << Answer.Body;
  }
  for (std::size_t Index = 0; Index < System.engines(); ++Index)
    EXPECT_EQ(System.engine(Index).stat("starts"), 0) << Index;
}

TEST_F(AcceptedChangesTest, LeaveAnEntryUnreadyAfterItsLeaseExpiredWhileFrozen) {
  // An entry and all control hosts are frozen until the lease of the entry has expired; health
  // checks of the load balancer wait in its sockets. When the entry resumes, no host can renew the
  // lease: a check that is answered with the stale "ready" would bring callers that are then
  // refused.
  constexpr std::chrono::milliseconds Lease{
      2'000}; // As set in the control hosts of running_system.
  constexpr int Rounds = 4;
  constexpr int Checks = 4;
  for (int Round = 0; Round < Rounds; ++Round) {
    ASSERT_TRUE(eventually([this] { return System.ready(0); }));
    for (std::size_t Host = 0; Host < System.control().size(); ++Host)
      System.control().freeze(Host);
    System.entry(0).stop();
    std::vector<std::future<bool>> Answers;
    Answers.reserve(Checks);
    for (int Check = 0; Check < Checks; ++Check)
      Answers.push_back(std::async(std::launch::async, [this] { return System.ready(0); }));
    std::this_thread::sleep_for(Lease);
    System.entry(0).resume();
    for (auto &Answer : Answers)
      EXPECT_FALSE(Answer.get()) << Round;
    for (std::size_t Host = 0; Host < System.control().size(); ++Host)
      System.control().thaw(Host);
  }
}

TEST_F(AcceptedChangesTest, SurviveARestartOfAllControlHosts) {
  // All control hosts are killed. When their leases expire the entries refuse new requests as
  // "not-run", while an admitted stream completes. After the hosts restart, the declaration is
  // still in force and the entries serve again.
  const std::uint64_t Base = System.revision();
  ASSERT_EQ(System.control().change("kept", Base, System.declarationWith(70)).Status, Ok);
  ASSERT_TRUE(eventually([&] { return System.inForce(Base + 1); }));
  const auto Stream = System.stream(0, "long", 800);
  ASSERT_TRUE(Stream->next());
  killAllControl();
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry) {
    EXPECT_TRUE(eventually([&] { return !System.ready(Entry); })) << Entry;
    expectRefused(Entry);
  }
  const auto Events = Stream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  EXPECT_EQ(Events.back().Data, "[DONE]");
  startAllControl();
  EXPECT_TRUE(eventually([&] { return System.inForce(Base + 1); }));
  const auto RepeatedAnswer = System.control().change("kept", Base, System.declarationWith(70));
  EXPECT_EQ(RepeatedAnswer.Status, Ok);
  EXPECT_TRUE(repeatedIn(RepeatedAnswer));
  EXPECT_TRUE(System.chat(0, "served again").ok());
}

} // namespace
} // namespace pollenstall
