/** @file once_test.cpp Work that must run once, while what serves it is killed and frozen. */
#include "running_system_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr int Conflict = 409;
const std::string Slow = R"({"late_ms":600000})";

class WorkThatMustRunOnceTest : public testing::Test {
protected:
  /// What every story ends with: whoever was told "not run", nothing ran.
  void expectAtMostOneStart(const std::string &Key, const http_answer &Answer) const {
    const std::int64_t Starts = System.startsByKey(Key);
    EXPECT_LE(Starts, 1) << Key;
    EXPECT_FALSE(Starts > 0 && outcomeOf(Answer) == "not-run") << Key << ": " << Answer.Body;
  }

  /// A resend through another entry must meet the claim of the first send.
  void expectRefusedResend(std::size_t Entry, const std::string &Key) const {
    const http_answer Again = System.send(Entry, Key);
    EXPECT_EQ(Again.Status, Conflict) << Again.Error << Again.Body;
    EXPECT_EQ(outcomeOf(Again), "unknown") << Again.Body;
    expectAtMostOneStart(Key, Again);
  }

  running_system System;
};

TEST_F(WorkThatMustRunOnceTest, IsNotRunAgainWhenItsEntryDies) {
  // The caller sends a letter; the entry is killed while the backend server works on it, so the
  // caller sees its connection break and sends again through another entry. The first send may
  // have had its effect: the resend meets the claim that was durable before the first byte went
  // out, is told "unknown", and nothing starts a second time.
  ASSERT_TRUE(System.plainFaults(Slow));
  auto First = System.sendAsync(0, "letter");
  (void)System.waitForStart("letter");
  System.killEntry(0);
  EXPECT_NE(First.get().Error, "");
  expectRefusedResend(1, "letter");
  expectRefusedResend(2, "letter");
  EXPECT_EQ(System.startsByKey("letter"), 1);
}

TEST_F(WorkThatMustRunOnceTest, IsNotRunByAnEntryKilledAtAnyStepBeforeItsAnswer) {
  // The entry is killed at a moment nobody chose: before the claim, between claim and send, or
  // after. Wherever it was, the resends together start the work at most once, and one that is told
  // "not run" finds no start at the backend servers.
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
  // The backend server is stopped with the letter in hand, and the caller sends again through
  // another entry. Another server is free, but the letter may go out yet, and does when the first
  // one goes on: both sends and a later one together start it once.
  ASSERT_TRUE(System.plainFaults(R"({"late_ms":300})"));
  auto First = System.sendAsync(0, "frozen");
  const std::size_t Server = System.waitForStart("frozen");
  System.plain(Server).process().stop();
  auto Resend = System.sendAsync(1, "frozen");
  const http_answer Again = Resend.get();
  EXPECT_EQ(Again.Status, Conflict) << Again.Body;
  System.plain(Server).process().resume();
  const http_answer Answer = First.get();
  expectAtMostOneStart("frozen", Answer);
  EXPECT_TRUE(Answer.ok()) << Answer.Error << Answer.Body;
  const http_answer Later = System.send(2, "frozen");
  EXPECT_EQ(Later.Status, Conflict) << Later.Body;
  EXPECT_EQ(outcomeOf(Later), "complete") << Later.Body;
  EXPECT_EQ(System.startsByKey("frozen"), 1);
}

TEST_F(WorkThatMustRunOnceTest, IsNotRunElsewhereWhenItsBackendServerDies) {
  // The backend server is killed midway. Nobody can tell whether the letter left, so the caller is
  // told "unknown" at once, by the first entry and by any other, and the second server gets none.
  ASSERT_TRUE(System.plainFaults(Slow));
  auto First = System.sendAsync(0, "killed");
  const std::size_t Server = System.waitForStart("killed");
  System.plain(Server).process().kill();
  const http_answer Answer = First.get();
  EXPECT_EQ(outcomeOf(Answer), "unknown") << Answer.Error << Answer.Body;
  const http_answer Again = System.send(1, "killed");
  EXPECT_EQ(Again.Status, Conflict) << Again.Body;
  EXPECT_EQ(System.plain(1 - Server).startsByKey("killed"), 0);
}

TEST_F(WorkThatMustRunOnceTest, IsNotRunAgainByTheNextLeader) {
  // Between the send and the resend the leader that granted the claim is killed. Its successor
  // knows the claim, because a quorum had it on disk before the first byte went out.
  ASSERT_TRUE(System.plainFaults(Slow));
  auto First = System.sendAsync(0, "leader");
  (void)System.waitForStart("leader");
  const std::size_t Old = System.control().waitForLeader();
  System.control().kill(Old);
  (void)System.control().waitForLeader(Old);
  System.killEntry(0);
  (void)First.get();
  http_answer Again;
  ASSERT_TRUE(eventually([&] {
    Again = System.send(1, "leader");
    expectAtMostOneStart("leader", Again);
    return Again.Status == Conflict;
  })) << Again.Body;
  EXPECT_EQ(System.startsByKey("leader"), 1);
}

TEST_F(WorkThatMustRunOnceTest, WaitsForAQuorumAndItsKeyStaysSafe) {
  // Two of three control hosts are down: no claim can be made durable. A send is refused, before
  // any byte goes out. After recovery a key that was used before is still held, and the refused
  // one runs once, whatever claim of it was under way.
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
      << " and at last " << Sent.Status << Sent.Error << Sent.Body;
  expectAtMostOneStart("during", System.send(2, "during"));
  EXPECT_EQ(System.startsByKey("before"), 1);
}

TEST_F(WorkThatMustRunOnceTest, ThatWasToldNotRunTrulyDidNotRun) {
  // The backend servers decline and refuse connections, which proves that nothing started. The
  // caller may send the same key again, and then it runs, once.
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
