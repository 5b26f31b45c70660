/** @file change_test.cpp Operators' changes with three control host processes. */
#include "control/control_cluster.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr int Ok = 200;
constexpr int Conflict = 409;

std::uint64_t revisionIn(const http_answer &Answer) {
  const auto Object = objectIn(Answer);
  return Object.contains("revision") ? Object.at("revision").to_number<std::uint64_t>() : 0;
}

bool repeatedIn(const http_answer &Answer) {
  const auto Object = objectIn(Answer);
  return Object.contains("repeated") && Object.at("repeated").as_bool();
}

class ThreeControlHostsTest : public testing::Test {
protected:
  control_cluster Cluster;
};

TEST_F(ThreeControlHostsTest, AcceptAChangeAndRedirectToTheLeader) {
  const std::size_t Leader = Cluster.waitForLeader();
  EXPECT_EQ(revisionIn(Cluster.change("first", 0, declarationText(1))), 1U);
  const std::size_t Follower = (Leader + 1) % Cluster.size();
  const std::string LeaderUrl = "http://" + Cluster.operatorAddress(Leader);
  ASSERT_TRUE(eventually([&] {
    const auto Refused = Cluster.get(Follower, "/v1/declaration");
    const auto Object = objectIn(Refused);
    return Refused.Status == 421 && Object.at("leader") == boost::json::value(LeaderUrl);
  }));
  const auto Declared = objectIn(Cluster.get(Leader, "/v1/declaration"));
  EXPECT_EQ(Declared.at("text"), boost::json::value(declarationText(1)));
  const auto Known = objectIn(Cluster.get(Leader, "/v1/changes/first"));
  EXPECT_TRUE(Known.at("accepted").as_bool());
  const auto History = objectIn(Cluster.get(Leader, "/v1/history"));
  EXPECT_EQ(History.at("changes").as_array().size(), 1U);
}

TEST_F(ThreeControlHostsTest, RefuseAnInvalidDeclaration) {
  Cluster.waitForLeader();
  const auto Answer = Cluster.change("wrong", 0, "[limits]\nmax_queued = \"many\"\n");
  EXPECT_EQ(Answer.Status, 400);
  const auto Details = Answer.json().as_object().at("error").at("details").as_array();
  ASSERT_EQ(Details.size(), 1U);
  EXPECT_EQ(Details[0].at("line").to_number<int>(), 2);
  EXPECT_EQ(Details[0].at("key"), boost::json::value("limits.max_queued"));
}

TEST_F(ThreeControlHostsTest, AcceptOneOfTwoChangesToTheSameRevision) {
  // Two operators send changes to the same revision at the same time through different hosts. One
  // must get a conflict with the current revision. If both were accepted, one change would be lost
  // silently.
  Cluster.waitForLeader();
  constexpr std::uint64_t Rounds = 20;
  for (std::uint64_t Base = 0; Base < Rounds; ++Base) {
    http_answer Answers[2];
    std::thread Other(
        [&] { Answers[1] = Cluster.change("b" + std::to_string(Base), Base, declarationText(2)); });
    Answers[0] = Cluster.change("a" + std::to_string(Base), Base, declarationText(1));
    Other.join();
    ASSERT_EQ(Answers[0].Status + Answers[1].Status, Ok + Conflict) << Base;
    EXPECT_EQ(revisionIn(Answers[0]), Base + 1);
    EXPECT_EQ(revisionIn(Answers[1]), Base + 1);
  }
}

TEST_F(ThreeControlHostsTest, RepeatTheFirstAnswerAfterTheLeaderWasKilled) {
  // The leader accepts a change and is killed before the operator has read the answer. The operator
  // resends the change to the next leader, and must not get a conflict with its own change.
  const std::size_t First = Cluster.waitForLeader();
  EXPECT_EQ(Cluster.change("lost-answer", 0, declarationText(1)).Status, Ok);
  EXPECT_EQ(Cluster.change("loser", 0, declarationText(2)).Status, Conflict);
  EXPECT_EQ(Cluster.change("later", 1, declarationText(3)).Status, Ok);
  Cluster.kill(First);
  const auto Again = Cluster.change("lost-answer", 0, declarationText(1));
  EXPECT_EQ(Again.Status, Ok);
  EXPECT_EQ(revisionIn(Again), 1U);
  EXPECT_TRUE(repeatedIn(Again));
  const auto LoserAgain = Cluster.change("loser", 0, declarationText(2));
  EXPECT_EQ(LoserAgain.Status, Conflict);
  EXPECT_EQ(revisionIn(LoserAgain), 1U);
}

TEST_F(ThreeControlHostsTest, KeepEveryAcceptedChangeWhileLeadersAreKilled) {
  // Changes are sent while each leader in turn is killed and restarted. An accepted change that is
  // missing afterwards was acknowledged before a quorum had it on disk.
  std::vector<std::string> Accepted;
  std::uint64_t Base = 0;
  for (int Round = 0; Round < 4; ++Round) {
    const std::size_t Leader = Cluster.waitForLeader();
    std::thread Killer([&] { Cluster.sendKill(Leader); });
    for (int Step = 0; Step < 5; ++Step) {
      const std::string Id = std::to_string(Round) + "." + std::to_string(Step);
      const auto Changed = Cluster.change(Id, Base, declarationText(Step));
      EXPECT_EQ(Changed.Status, Ok) << Changed.Body;
      EXPECT_EQ(revisionIn(Changed), ++Base);
      Accepted.push_back(Id);
    }
    Killer.join();
    Cluster.kill(Leader);
    Cluster.start(Leader);
  }
  const std::size_t Leader = Cluster.waitForLeader();
  const auto History = objectIn(Cluster.get(Leader, "/v1/history"));
  const auto &Changes = History.at("changes").as_array();
  ASSERT_EQ(Changes.size(), Accepted.size());
  for (std::size_t Index = 0; Index < Accepted.size(); ++Index)
    EXPECT_EQ(Changes[Index].at("change_id"), boost::json::value(Accepted[Index]));
}

TEST_F(ThreeControlHostsTest, KeepAcceptedChangesAfterAllWereKilledAtOnce) {
  Cluster.waitForLeader();
  EXPECT_EQ(Cluster.change("kept", 0, declarationText(1)).Status, Ok);
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    Cluster.kill(Host);
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    Cluster.start(Host);
  const auto Again = Cluster.change("kept", 0, declarationText(1));
  EXPECT_EQ(Again.Status, Ok);
  EXPECT_TRUE(repeatedIn(Again));
}

TEST_F(ThreeControlHostsTest, RefuseChangesAtALeaderThatWasFrozenAndReplaced) {
  // The leader is stopped until another one is elected and has accepted a change. When it resumes,
  // it still believes that it leads. It must accept no change and report that it is a follower;
  // otherwise an operator would get an acknowledgement for a change that is lost.
  const std::size_t Old = Cluster.waitForLeader();
  Cluster.freeze(Old);
  const std::size_t New = Cluster.waitForLeader(Old);
  ASSERT_NE(New, Old);
  std::uint64_t Revision = 0;
  ASSERT_TRUE(eventually([&] {
    const auto Answer = Cluster.post(New, "/v1/changes", changeBody("new", 0, declarationText(1)));
    Revision = revisionIn(Answer);
    return Answer.Status == Ok;
  }));
  EXPECT_EQ(Revision, 1U);
  Cluster.thaw(Old);
  const auto Answer = Cluster.post(Old, "/v1/changes", changeBody("old", 0, declarationText(2)));
  EXPECT_NE(Answer.Status, Ok) << Answer.Body;
  EXPECT_TRUE(eventually([&] {
    const auto Status = Cluster.status(Old);
    return Status.contains("role") && Status.at("role") == boost::json::value("follower");
  })) << Answer.Error
      << Answer.Body << Cluster.get(Old, "/v1/status").Error << "\n"
      << Cluster.log(Old);
  EXPECT_FALSE(Cluster.status(Old).at("serving").as_bool());
  const auto Final = Cluster.change("check", 1, declarationText(3));
  EXPECT_EQ(revisionIn(Final), 2U);
}

TEST_F(ThreeControlHostsTest, RefuseChangesWithoutAQuorum) {
  // Both followers are frozen, as if partitioned from the leader. It must not accept a change, must
  // step down by itself, and must report that in its status.
  const std::size_t Leader = Cluster.waitForLeader();
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    if (Host != Leader)
      Cluster.freeze(Host);
  const auto Answer =
      Cluster.post(Leader, "/v1/changes", changeBody("cut-off", 0, declarationText(1)));
  EXPECT_NE(Answer.Status, Ok) << Answer.Body;
  EXPECT_TRUE(eventually([&] {
    const auto Status = Cluster.status(Leader);
    return Status.contains("isolated") && Status.at("isolated").as_bool() &&
           !Status.at("serving").as_bool();
  }));
  EXPECT_EQ(Cluster.get(Leader, "/readyz").Status, 503);
  EXPECT_EQ(Cluster.get(Leader, "/v1/declaration").Status, 421);
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    if (Host != Leader)
      Cluster.thaw(Host);
  EXPECT_EQ(revisionIn(Cluster.change("cut-off", 0, declarationText(1))), 1U);
}

TEST_F(ThreeControlHostsTest, RefuseADataFolderInUse) {
  Cluster.waitForLeader();
  const auto Second = child_process::withSettings("pollenstall-control", Cluster.settings(0));
  EXPECT_EQ(Second->wait(), 1);
  EXPECT_EQ(Second->events("start_failed").size(), 1U);
}

TEST_F(ThreeControlHostsTest, StopOnSigtermAndKeepAcceptedChanges) {
  Cluster.waitForLeader();
  EXPECT_EQ(Cluster.change("kept", 0, declarationText(1)).Status, Ok);
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host) {
    EXPECT_EQ(Cluster.terminate(Host), 0);
    Cluster.start(Host);
  }
  EXPECT_TRUE(repeatedIn(Cluster.change("kept", 0, declarationText(1))));
}

} // namespace
} // namespace pollenstall
