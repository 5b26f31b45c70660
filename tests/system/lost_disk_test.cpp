/** @file lost_disk_test.cpp A control host loses its disk, and then a second host fails. */
#include "running_system_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr int Ok = 200;

class LostDiskTest : public testing::Test {
protected:
  running_system System;
};

TEST_F(LostDiskTest, LosesNoChangeOrClaimIfASecondHostFails) {
  // A follower restarts with an empty disk, is admitted by pollenstallctl and catches up; right
  // after that the leader is killed. Every accepted change must be in force at the entries, and a
  // request sent before must not run again: its claim was replicated with the rest of the state.
  EXPECT_TRUE(System.send(0, "before").ok());
  const std::size_t Leader = System.control().waitForLeader();
  const std::size_t Lost = (Leader + 1) % System.control().size();
  System.control().kill(Lost);
  System.control().loseDisk(Lost);
  System.control().start(Lost);
  ASSERT_TRUE(eventually([&] { return System.control().asksAdmission(Leader, Lost + 1); }));
  ASSERT_TRUE(System.declare(80));
  // Refused while the leader may still receive messages of the incarnation that had the disk.
  ASSERT_TRUE(eventually([&] {
    return System.ctl({"member", "admit", std::to_string(Lost + 1)}) == 0;
  }));
  ASSERT_TRUE(eventually([&] { return System.control().repairIsFinished(Leader); }));
  System.control().kill(Leader);
  (void)System.control().waitForLeader(Leader);
  EXPECT_TRUE(eventually([this] { return System.inForce(System.revision()); }));
  const auto RepeatedAnswer =
      System.control().change("declare-0", 0, System.declarationWith(1'000));
  EXPECT_EQ(RepeatedAnswer.Status, Ok) << RepeatedAnswer.Body;
  ASSERT_TRUE(System.declare(90));
  EXPECT_TRUE(eventually([this] { return System.inForce(System.revision()); }));
  const http_answer Resend = System.send(1, "before");
  EXPECT_EQ(Resend.Status, 409) << Resend.Body;
  EXPECT_EQ(System.startsByKey("before"), 1);
}

} // namespace
} // namespace pollenstall
