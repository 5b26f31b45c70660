/** @file key_path_test.cpp Which keys open the routes of a running system. */
#include "platform_path_fixture.h"

namespace pollenstall {
namespace {

constexpr int Unauthorized = 401;
const std::string NoAccounts = R"("tenants":[])";
const std::string NoList = R"("comment":"no list of accounts")";

/// One entry before one engine, with a route that needs a key and one that does not.
class KeyPathTest : public PlatformPathTest {
protected:
  void startWith(const std::string &Accounts) {
    ASSERT_NO_FATAL_FAILURE(
        startAll(std::make_unique<platform_system>(3, 1), 1, configuration(++Version, Accounts)));
    ASSERT_TRUE(announce("i-1", Engine));
    ASSERT_TRUE(eventually([&] { return statusOf("/open/2f", {}) == Ok; }));
  }

  void accept(const std::string &Accounts) {
    ASSERT_TRUE(System->acknowledged("PUT", ConfigurationPath, configuration(++Version, Accounts)));
  }

  int statusOf(const std::string &Path, const std::string &Key) {
    http_headers Headers = headers(nextSend());
    std::erase_if(Headers, [](const auto &Header) { return Header.first == "Authorization"; });
    if (!Key.empty())
      Headers.emplace_back("Authorization", "Bearer " + Key);
    http_stream Stream(System->callers(0), "POST", Path, "a body", Headers);
    if (Stream.status() == Ok)
      Stream.remainingEvents();
    return Stream.status();
  }

  /// Waits until calls with the account's key get a status, then checks the other calls.
  void expectStatuses(int KnownKey, int OtherKeys) {
    EXPECT_TRUE(eventually([&] { return statusOf("/x/2f", "k1") == KnownKey; })) << KnownKey;
    EXPECT_EQ(statusOf("/x/2f", "never-held-by-anyone"), OtherKeys);
    EXPECT_EQ(statusOf("/x/2f", {}), OtherKeys);
    EXPECT_EQ(statusOf("/open/2f", {}), Ok);
  }

  scripted_server Engine{answerWithoutLimit};
  int Version{0};
};

// The only account leaves. An entry took the empty list for a fleet without keys and ran requests
// with the keys that were taken away, and with keys that no configuration ever held.
TEST_F(KeyPathTest, AnEmptyListOfAccountsTakesAllKeysAway) {
  ASSERT_NO_FATAL_FAILURE(startWith(OneAccount));
  expectStatuses(Ok, Unauthorized);
  ASSERT_NO_FATAL_FAILURE(accept(NoAccounts));
  expectStatuses(Unauthorized, Unauthorized);
}

TEST_F(KeyPathTest, OnlyAConfigurationWithoutAListOpensTheRoutes) {
  ASSERT_NO_FATAL_FAILURE(startWith(NoAccounts));
  expectStatuses(Unauthorized, Unauthorized);
  ASSERT_NO_FATAL_FAILURE(accept(NoList));
  expectStatuses(Ok, Ok);
  ASSERT_NO_FATAL_FAILURE(accept(NoAccounts));
  expectStatuses(Unauthorized, Unauthorized);
  ASSERT_NO_FATAL_FAILURE(accept(R"("tenants":[{"name":"t1","api_keys":[]}])"));
  expectStatuses(Unauthorized, Unauthorized);
}

// What was accepted is read again from the log and from the leader's list.
TEST_F(KeyPathTest, AnEmptyListOfAccountsStaysEmptyAfterRestarts) {
  ASSERT_NO_FATAL_FAILURE(startWith(NoAccounts));
  System->killEntry(0);
  System->startEntry(0);
  ASSERT_TRUE(eventually([&] { return System->ready(0); }));
  expectStatuses(Unauthorized, Unauthorized);
  for (std::size_t Host = 0; Host < System->controls(); ++Host)
    System->killControl(Host);
  for (std::size_t Host = 0; Host < System->controls(); ++Host)
    System->startControl(Host, false);
  ASSERT_TRUE(eventually([&] {
    return System->control(0, "GET", ConfigurationPath).Body == configuration(Version, NoAccounts);
  }));
  ASSERT_TRUE(eventually([&] { return System->ready(0); }));
  expectStatuses(Unauthorized, Unauthorized);
}

} // namespace
} // namespace pollenstall
