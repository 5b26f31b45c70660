/** @file gossip_service_test.cpp Gossip threads over loopback. */
#include "gossip/gossip.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;
using udp = boost::asio::ip::udp;

/// A gossip service and the events that it reported.
class test_host {
public:
  explicit test_host(const std::string &Host, const std::vector<peer_address> &Seeds,
                     const std::string &Key = "key") {
    gossip_options Options;
    Options.Secret = {"accra", Key};
    Options.Bind = peer_address("127.0.0.1:0");
    Options.Identity.Self = {host_name(Host), incarnation(1)};
    Options.Identity.Seeds = Seeds;
    auto Created = gossip_service::create(Options);
    requireInvariant(succeeded(Created), "the test's socket is bound");
    Service = valueOf(std::move(Created));
    Service->changes().onWake([this] { drain(); });
    Service->start();
  }

  /// Stops the thread first, because it writes to members that are destroyed before the service.
  ~test_host() { Service->stop(); }
  test_host(const test_host &) = delete;
  test_host &operator=(const test_host &) = delete;

  /// Waits up to 20 s until the condition on the reported events is met. @return Whether it was.
  template <typename Condition> bool waitFor(Condition IsMet) {
    std::unique_lock<std::mutex> Lock(Mutex);
    return EventsChanged.wait_for(Lock, 20s, [&] { return IsMet(*this); });
  }

  void announce(const backend_announcement &Announcement, std::uint64_t Sequence) {
    backend_load Load;
    Load.Sequence = Sequence;
    Service->announcements().push({Announcement, Load});
  }

  std::unique_ptr<gossip_service> Service;
  std::map<backend_key, backend_status> Backends;
  std::map<host_name, host_status> Hosts;

private:
  void drain() { // runs on the gossip thread, which is then also the ring's only consumer
    const std::lock_guard<std::mutex> Lock(Mutex);
    Service->changes().drain([this](membership_event &&Event) {
      if (const auto *Backend = std::get_if<backend_changed>(&Event))
        Backends[Backend->View.Announcement.Key] = Backend->View.Status;
      if (const auto *Host = std::get_if<host_changed>(&Event))
        Hosts[Host->View.Key.Host] = Host->View.Status;
    });
    EventsChanged.notify_all();
  }

  std::mutex Mutex;
  std::condition_variable EventsChanged;
};

backend_announcement makeAnnouncement() {
  backend_announcement Announcement;
  Announcement.Key = {backend_address("127.0.0.1:8000"), incarnation(5)};
  return Announcement;
}

TEST(GossipService, CarriesAnAnnouncementAndItsLeavingToAnotherHost) {
  test_host A("a", {});
  test_host B("b", {A.Service->address()});
  A.announce(makeAnnouncement(), 1);
  ASSERT_TRUE(
      B.waitFor([](const test_host &Seen) { return Seen.Backends.count(makeAnnouncement().Key); }));
  backend_announcement Leaving = makeAnnouncement();
  Leaving.Leaving = true;
  A.announce(Leaving, 2);
  EXPECT_TRUE(B.waitFor([](const test_host &Seen) {
    return Seen.Backends.at(makeAnnouncement().Key) == backend_status::Leaving;
  }));
  EXPECT_NE(B.Service->dump().find("\"standing\":\"leaving\""), std::string::npos);
}

TEST(GossipService, NotifiesPeersWhenItStops) {
  test_host A("a", {});
  test_host B("b", {A.Service->address()});
  ASSERT_TRUE(A.waitFor([](const test_host &Seen) { return Seen.Hosts.count(host_name("b")); }));
  ASSERT_TRUE(B.waitFor([](const test_host &Seen) { return Seen.Hosts.count(host_name("a")); }));
  B.Service->stop();
  EXPECT_TRUE(A.waitFor(
      [](const test_host &Seen) { return Seen.Hosts.at(host_name("b")) == host_status::Left; }));
}

// A sender floods the port with random bytes, more in one burst than one batch reads. The host must
// count and drop the datagrams and continue to work.
TEST(GossipService, CountsInvalidDatagramsAndContinues) {
  test_host A("a", {});
  boost::asio::io_context Context;
  udp::socket Sender(Context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const std::string &Address = A.Service->address().str();
  const auto Port = static_cast<std::uint16_t>(std::stoi(Address.substr(Address.rfind(':') + 1)));
  const udp::endpoint Target(boost::asio::ip::address_v4::loopback(), Port);
  random_source Random(3);
  constexpr int DatagramCount = 100; // few enough to fit the smallest socket buffer
  for (int Count = 0; Count < DatagramCount; ++Count) {
    std::string Bytes(Random.below(1400), '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    Sender.send_to(boost::asio::buffer(Bytes), Target);
  }
  test_host B("b", {A.Service->address()});
  A.announce(makeAnnouncement(), 1);
  EXPECT_TRUE(
      B.waitFor([](const test_host &Seen) { return Seen.Backends.count(makeAnnouncement().Key); }));
  const gossip_counters &Counters = A.Service->counters();
  EXPECT_EQ(Counters.DroppedTooLarge + Counters.DroppedUnauthenticated, DatagramCount);
}

TEST(GossipService, RejectsAnotherKey) {
  test_host A("a", {});
  test_host B("b", {A.Service->address()}, "another key");
  while (A.Service->counters().DroppedUnauthenticated == 0)
    std::this_thread::yield();
  EXPECT_EQ(A.Service->dump().find("\"host\":\"b\""), std::string::npos);
}

// Operator threads request dumps without a pause while stop() is called. A dump that is requested
// after the thread's last task would never complete, and neither would the process. Each request
// must be answered or rejected.
TEST(GossipService, AnswersOrRejectsDumpsWhileItStops) {
  for (int Round = 0; Round < 20; ++Round) {
    test_host A("a", {});
    std::atomic<int> Answered{0};
    const auto RequestDumps = [&] {
      while (!A.Service->dump().empty())
        ++Answered;
    };
    std::thread First(RequestDumps);
    std::thread Second(RequestDumps);
    while (Answered < 2)
      std::this_thread::yield();
    A.Service->stop();
    First.join();
    Second.join();
    EXPECT_EQ(A.Service->dump(), "");
  }
}

// The announcement server listens before the gossip thread starts. An announcement that it pushes
// before or during the start must neither be lost nor run a wake callback that is just being set.
TEST(GossipService, HandlesAnnouncementsPushedBeforeStart) {
  gossip_options Options;
  Options.Bind = peer_address("127.0.0.1:0");
  Options.Identity.Self = {host_name("a"), incarnation(1)};
  auto Created = gossip_service::create(Options);
  ASSERT_TRUE(succeeded(Created));
  gossip_service &Service = *valueOf(Created);
  constexpr std::uint64_t Pushed = 50;
  std::thread Announcer([&Service] {
    for (std::uint64_t Sequence = 1; Sequence <= Pushed; ++Sequence) {
      backend_load Load;
      Load.Sequence = Sequence;
      Service.announcements().push({makeAnnouncement(), Load});
    }
  });
  Service.start();
  Announcer.join();
  while (Service.dump().find("127.0.0.1:8000") == std::string::npos)
    std::this_thread::yield();
  Service.stop();
}

TEST(GossipService, RejectsAnInvalidAddress) {
  gossip_options Options;
  Options.Identity.Self = {host_name("a"), incarnation(1)};
  Options.Bind = peer_address("localhost:1");
  EXPECT_EQ(errorOf(gossip_service::create(Options)), gossip_error::BadAddress);
}

} // namespace
} // namespace pollenstall
