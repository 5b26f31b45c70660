/** @file evacuation_path_test.cpp Evacuations over the platform protocol through real processes. */
#include "platform_path_fixture.h"

namespace pollenstall {
namespace {

constexpr int Redirect = 307;
const std::string ZonePath = "/pollenstall/evacuations/zone-1";

class EvacuationPathTest : public PlatformPathTest {
protected:
  [[nodiscard]] http_answer call(std::size_t Host, const std::string &Method) const {
    constexpr milliseconds Limit{1'500};
    return http_client(System->controlAddresses()[Host], Limit).request(Method, ZonePath, {}, {});
  }
};

// Operators send a command to any host and resend it after a lost answer; the leader's address must
// come from a redirect.
TEST_F(EvacuationPathTest, EveryHostAcknowledgesOrRedirects) {
  ASSERT_NO_FATAL_FAILURE(startAll(0));
  ASSERT_TRUE(System->acknowledged("POST", ZonePath, {}));
  std::size_t Acknowledged = 0;
  for (std::size_t Host = 0; Host < System->controls(); ++Host) {
    http_answer Answer;
    EXPECT_TRUE(eventually([&] {
      Answer = call(Host, "POST");
      return Answer.Status == Ok || Answer.Status == Redirect;
    })) << Host;
    Acknowledged += Answer.Status == Ok ? 1 : 0;
    EXPECT_EQ(System->control(Host, "POST", ZonePath).Status, Ok);
  }
  EXPECT_EQ(Acknowledged, 1U);
  EXPECT_EQ(System->control(0, "DELETE", ZonePath).Status, Ok);
  EXPECT_EQ(System->control(0, "POST", "/pollenstall/evacuations/").Status, 400);
}

// Three of five hosts are lost: the outcome is unknown, which must not look like an
// acknowledgement.
TEST_F(EvacuationPathTest, MinorityAnswersUnavailable) {
  ASSERT_NO_FATAL_FAILURE(startAll(0));
  for (std::size_t Host = 0; Host < 3; ++Host)
    System->killControl(Host);
  for (std::size_t Host = 3; Host < System->controls(); ++Host)
    EXPECT_TRUE(eventually([&] {
      const int Status = call(Host, "POST").Status;
      EXPECT_NE(Status, Ok);
      return Status == 503;
    })) << Host;
}

// Guards against a repeat to the next leader that waits longer than operators do: 5 s at most.
TEST_F(EvacuationPathTest, NextLeaderAcknowledgesTheRepeat) {
  ASSERT_NO_FATAL_FAILURE(startAll(0));
  ASSERT_TRUE(System->acknowledged("POST", ZonePath, {}));
  std::size_t Leader = 0;
  ASSERT_TRUE(eventually([&] {
    for (Leader = 0; Leader < System->controls(); ++Leader)
      if (call(Leader, "POST").Status == Ok)
        return true;
    return false;
  }));
  System->killControl(Leader);
  const auto Start = steady_clock::now();
  EXPECT_TRUE(System->acknowledged("POST", ZonePath, {}));
  const auto Took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - Start).count();
  EXPECT_LE(Took, 5'000);
  std::cout << "acknowledged by the next leader after " << Took << " ms\n";
}

} // namespace
} // namespace pollenstall
