/** @file once_test.cpp Work that must run at most once while its processes are killed or frozen. */
#include "running_system_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr int Conflict = 409;
const std::string Slow = R"({"late_ms":600000})";

class WorkThatMustRunOnceTest : public testing::Test {
protected:
  /// Checks that the work started at most once, and not at all if the outcome is "not-run".
  void expectAtMostOneStart(const std::string &Key, const http_answer &Answer) const {
    const std::int64_t Starts = System.startsByKey(Key);
    EXPECT_LE(Starts, 1) << Key;
    EXPECT_FALSE(Starts > 0 && outcomeOf(Answer) == "not-run") << Key << ": " << Answer.Body;
  }

  /// Expects that a resend through another entry is refused by the claim of the first send.
  void expectRefusedResend(std::size_t Entry, const std::string &Key) const {
    const http_answer ResendAnswer = System.send(Entry, Key);
    EXPECT_EQ(ResendAnswer.Status, Conflict) << ResendAnswer.Error << ResendAnswer.Body;
    EXPECT_EQ(outcomeOf(ResendAnswer), "unknown") << ResendAnswer.Body;
    expectAtMostOneStart(Key, ResendAnswer);
  }

  running_system System;
};

TEST_F(WorkThatMustRunOnceTest, IsNotRunAgainAfterAnEntryCrash) {
  // The entry is killed while the backend server works on a letter, so the caller's connection
  // breaks and it sends again through another entry. The first send may have had its effect. Its
  // claim was durable before the first byte went out, so the resend gets "unknown" and nothing
  // starts again.
  ASSERT_TRUE(System.plainFaults(Slow));
  auto First = System.sendAsync(0, "letter");
  (void)System.waitForStart("letter");
  System.killEntry(0);
  EXPECT_NE(First.get().Error, "");
  expectRefusedResend(1, "letter");
  expectRefusedResend(2, "letter");
  EXPECT_EQ(System.startsByKey("letter"), 1);
}

TEST_F(WorkThatMustRunOnceTest, IsRunAtMostOnceIfItsEntryIsKilledAtAnyStep) {
  // The entry is killed at an arbitrary time: before the claim, between claim and send, or after
  // the send. In each case all sends together start the work at most once, and after the outcome
  // "not-run" no backend server has started it.
  ASSERT_TRUE(System.plainFaults(R"({"late_ms":50})"));
  constexpr int Letters = 12;
  std::vector<std::future<http_answer>> Sends;
  Sends.reserve(Letters);
  for (int Letter = 0; Letter < Letters; ++Letter)
    Sends.push_back(System.sendAsync(0, "k" + std::to_string(Letter)));
  (void)System.waitForStart("k0");
  System.killEntry(0);
  for (auto &Send : Sends)
    (void)Send.get();
  for (int Letter = 0; Letter < Letters; ++Letter) {
    const std::string Key = "k" + std::to_string(Letter);
    expectAtMostOneStart(Key, System.send(1, Key));
    expectAtMostOneStart(Key, System.send(2, Key));
  }
}

TEST_F(WorkThatMustRunOnceTest, IsNotRunElsewhereWhileItsBackendServerIsFrozen) {
  // The backend server is frozen while it works on the letter, and the caller sends again through
  // another entry. Another backend server is free, but the first one may still send the letter, and
  // does when it resumes: both sends and a later one together start the work once.
  ASSERT_TRUE(System.plainFaults(R"({"late_ms":300})"));
  auto First = System.sendAsync(0, "frozen");
  const std::size_t Server = System.waitForStart("frozen");
  System.plain(Server).process().stop();
  auto PendingResend = System.sendAsync(1, "frozen");
  const http_answer ResendAnswer = PendingResend.get();
  EXPECT_EQ(ResendAnswer.Status, Conflict) << ResendAnswer.Body;
  System.plain(Server).process().resume();
  const http_answer Answer = First.get();
  expectAtMostOneStart("frozen", Answer);
  EXPECT_TRUE(Answer.ok()) << Answer.Error << Answer.Body;
  const http_answer Later = System.send(2, "frozen");
  EXPECT_EQ(Later.Status, Conflict) << Later.Body;
  EXPECT_EQ(outcomeOf(Later), "complete") << Later.Body;
  EXPECT_EQ(System.startsByKey("frozen"), 1);
}

TEST_F(WorkThatMustRunOnceTest, IsNotRunElsewhereAfterABackendServerCrash) {
  // The backend server is killed during the work. Whether the letter was sent is unknown, so the
  // first entry and any other answer "unknown" at once, and the second backend server gets nothing.
  ASSERT_TRUE(System.plainFaults(Slow));
  auto First = System.sendAsync(0, "killed");
  const std::size_t Server = System.waitForStart("killed");
  System.plain(Server).process().kill();
  const http_answer Answer = First.get();
  EXPECT_EQ(outcomeOf(Answer), "unknown") << Answer.Error << Answer.Body;
  const http_answer ResendAnswer = System.send(1, "killed");
  EXPECT_EQ(ResendAnswer.Status, Conflict) << ResendAnswer.Body;
  EXPECT_EQ(System.plain(1 - Server).startsByKey("killed"), 0);
}

TEST_F(WorkThatMustRunOnceTest, IsNotRunAgainAfterALeaderChange) {
  // The leader that granted the claim is killed between the send and the resend. Its successor
  // knows the claim, because a quorum had it on disk before the first byte went out.
  ASSERT_TRUE(System.plainFaults(Slow));
  auto First = System.sendAsync(0, "leader");
  (void)System.waitForStart("leader");
  const std::size_t OldLeader = System.control().waitForLeader();
  System.control().kill(OldLeader);
  (void)System.control().waitForLeader(OldLeader);
  System.killEntry(0);
  (void)First.get();
  http_answer ResendAnswer;
  ASSERT_TRUE(eventually([&] {
    ResendAnswer = System.send(1, "leader");
    expectAtMostOneStart("leader", ResendAnswer);
    return ResendAnswer.Status == Conflict;
  })) << ResendAnswer.Body;
  EXPECT_EQ(System.startsByKey("leader"), 1);
}

TEST_F(WorkThatMustRunOnceTest, WaitsForAQuorumAndItsKeyStaysSafe) {
  // Two of three control hosts are down, so no claim can become durable, and a send is refused
  // before any byte goes out. After recovery a key that was used before is still claimed, and the
  // refused work runs once, whatever claim for it was in flight.
  ASSERT_TRUE(System.plainFaults(R"({"late_ms":0})"));
  EXPECT_TRUE(System.send(0, "before").ok());
  System.control().kill(0);
  System.control().kill(1);
  const http_answer Refused = System.send(0, "during");
  EXPECT_NE(Refused.Status, 200);
  EXPECT_TRUE(outcomeOf(Refused) == "not-run" || outcomeOf(Refused) == "unknown") << Refused.Body;
  EXPECT_EQ(System.startsByKey("during"), 0);
  System.control().start(0);
  System.control().start(1);
  ASSERT_TRUE(eventually([&] { return System.allReady(); }));
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry)
    expectAtMostOneStart("before", System.send(Entry, "before"));
  http_answer Sent;
  ASSERT_TRUE(eventually([&] {
    Sent = System.send(1, "during");
    expectAtMostOneStart("during", Sent);
    return System.startsByKey("during") == 1;
  })) << Refused.Body
      << " and at last " << Sent.Status << Sent.Error << Sent.Body << System.description();
  expectAtMostOneStart("during", System.send(2, "during"));
  EXPECT_EQ(System.startsByKey("before"), 1);
}

TEST_F(WorkThatMustRunOnceTest, MayBeSentAgainAfterNotRun) {
  // The backend servers decline the work, which proves that nothing started. The caller may send
  // the same key again, and then the work runs once.
  ASSERT_TRUE(System.plainFaults(R"({"decline_next":1000})"));
  const http_answer Declined = System.send(0, "declined");
  EXPECT_EQ(outcomeOf(Declined), "not-run") << Declined.Body;
  EXPECT_FALSE(Declined.header("Retry-After").empty());
  EXPECT_EQ(System.startsByKey("declined"), 0);
  ASSERT_TRUE(System.plainFaults(R"({"decline_next":0})"));
  ASSERT_TRUE(eventually([&] { return System.send(1, "declined").ok(); }));
  EXPECT_EQ(System.startsByKey("declined"), 1);
  expectAtMostOneStart("declined", System.send(2, "declined"));
}

} // namespace
} // namespace pollenstall
