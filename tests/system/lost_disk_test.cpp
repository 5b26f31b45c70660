/** @file lost_disk_test.cpp A control host loses its disk, and a second host is lost after it. */
#include "running_system_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr int Ok = 200;

class ALostDiskOfTheSystemTest : public testing::Test {
protected:
  running_system System;
};

TEST_F(ALostDiskOfTheSystemTest, CostsNoAcceptedChangeAndNoClaimThoughASecondHostIsLost) {
  // A follower comes back with an empty disk, is admitted by the operator's tool and catches up;
  // right after that the leader is killed. Every accepted change is in force at the entries, and
  // a letter that was sent before is not sent again: its claim was repaired with the rest.
  EXPECT_TRUE(System.send(0, "before").ok());
  const std::size_t Leader = System.control().waitForLeader();
  const std::size_t Lost = (Leader + 1) % System.control().size();
  System.control().kill(Lost);
  System.control().loseDisk(Lost);
  System.control().start(Lost);
  ASSERT_TRUE(eventually([&] { return System.control().asksAdmission(Leader, Lost + 1); }));
  ASSERT_TRUE(System.declare(80));
  // Refused while the leader may still hear from the life that had the disk.
  ASSERT_TRUE(eventually([&] {
    return System.ctl({"member", "admit", std::to_string(Lost + 1)}) == 0;
  }));
  ASSERT_TRUE(eventually([&] { return System.control().repairIsFinished(Leader); }));
  System.control().kill(Leader);
  (void)System.control().waitForLeader(Leader);
  EXPECT_TRUE(eventually([this] { return System.inForce(System.revision()); }));
  const auto Again = System.control().change("declare-0", 0, System.declarationWith(1'000));
  EXPECT_EQ(Again.Status, Ok) << Again.Body;
  ASSERT_TRUE(System.declare(90));
  EXPECT_TRUE(eventually([this] { return System.inForce(System.revision()); }));
  const http_answer Resend = System.send(1, "before");
  EXPECT_EQ(Resend.Status, 409) << Resend.Body;
  EXPECT_EQ(System.startsByKey("before"), 1);
}

} // namespace
} // namespace pollenstall
