/** @file gossip_service_test.cpp Gossip threads on loopback. */
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

/// A gossip thread and what it told its consumer.
class listener {
public:
  explicit listener(const std::string &Host, const std::vector<peer_address> &Seeds,
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

  /// The thread writes to the members below, which are destroyed before the service.
  ~listener() { Service->stop(); }
  listener(const listener &) = delete;
  listener &operator=(const listener &) = delete;

  /// Waits until the condition on what was told holds. @return Whether it did within 20 s.
  template <typename Condition> bool waitFor(Condition Holds) {
    std::unique_lock<std::mutex> Lock(Mutex);
    return Told.wait_for(Lock, 20s, [&] { return Holds(*this); });
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
  void drain() { // on the gossip thread, which is then the ring's only consumer too
    const std::lock_guard<std::mutex> Lock(Mutex);
    Service->changes().drain([this](membership_event &&Event) {
      if (const auto *Backend = std::get_if<backend_changed>(&Event))
        Backends[Backend->View.Announcement.Key] = Backend->View.Status;
      if (const auto *Host = std::get_if<host_changed>(&Event))
        Hosts[Host->View.Key.Host] = Host->View.Status;
    });
    Told.notify_all();
  }

  std::mutex Mutex;
  std::condition_variable Told;
};

backend_announcement engine() {
  backend_announcement Announcement;
  Announcement.Key = {backend_address("127.0.0.1:8000"), incarnation(5)};
  return Announcement;
}

TEST(GossipService, CarriesAnAnnouncementAndItsLeavingToAnotherHost) {
  listener A("a", {});
  listener B("b", {A.Service->address()});
  A.announce(engine(), 1);
  ASSERT_TRUE(B.waitFor([](const listener &Seen) { return Seen.Backends.count(engine().Key); }));
  backend_announcement Leaving = engine();
  Leaving.Leaving = true;
  A.announce(Leaving, 2);
  EXPECT_TRUE(B.waitFor([](const listener &Seen) {
    return Seen.Backends.at(engine().Key) == backend_status::Leaving;
  }));
  EXPECT_NE(B.Service->dump().find("\"standing\":\"leaving\""), std::string::npos);
}

TEST(GossipService, TellsOthersThatItStops) {
  listener A("a", {});
  listener B("b", {A.Service->address()});
  ASSERT_TRUE(A.waitFor([](const listener &Seen) { return Seen.Hosts.count(host_name("b")); }));
  ASSERT_TRUE(B.waitFor([](const listener &Seen) { return Seen.Hosts.count(host_name("a")); }));
  B.Service->stop();
  EXPECT_TRUE(A.waitFor(
      [](const listener &Seen) { return Seen.Hosts.at(host_name("b")) == host_status::Left; }));
}

// Somebody throws bytes at the port, more in one burst than is read in one turn. The hosts must
// count and drop them and go on as before.
TEST(GossipService, CountsGarbageAndGoesOn) {
  listener A("a", {});
  boost::asio::io_context Context;
  udp::socket Thrower(Context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const std::string &Address = A.Service->address().str();
  const auto Port = static_cast<std::uint16_t>(std::stoi(Address.substr(Address.rfind(':') + 1)));
  const udp::endpoint Target(boost::asio::ip::address_v4::loopback(), Port);
  random_source Random(3);
  constexpr int Thrown = 100; // all of them fit the smallest socket buffer
  for (int Count = 0; Count < Thrown; ++Count) {
    std::string Bytes(Random.below(1400), '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    Thrower.send_to(boost::asio::buffer(Bytes), Target);
  }
  listener B("b", {A.Service->address()});
  A.announce(engine(), 1);
  EXPECT_TRUE(B.waitFor([](const listener &Seen) { return Seen.Backends.count(engine().Key); }));
  const gossip_counters &Counters = A.Service->counters();
  EXPECT_EQ(Counters.DroppedTooLarge + Counters.DroppedUnauthenticated, Thrown);
}

TEST(GossipService, DoesNotListenToAnotherKey) {
  listener A("a", {});
  listener B("b", {A.Service->address()}, "another key");
  while (A.Service->counters().DroppedUnauthenticated == 0)
    std::this_thread::yield();
  EXPECT_EQ(A.Service->dump().find("\"host\":\"b\""), std::string::npos);
}

// An operator reads the state while the process stops: the operators' threads ask for dumps without
// a pause, then stop() is called. A dump that is asked for after the thread's last turn would be
// waited for without end, and the process with it. Each must be answered or refused.
TEST(GossipService, AnswersOrRefusesDumpsWhileItStops) {
  for (int Round = 0; Round < 20; ++Round) {
    listener A("a", {});
    std::atomic<int> Answered{0};
    const auto Ask = [&] {
      while (!A.Service->dump().empty())
        ++Answered;
    };
    std::thread First(Ask);
    std::thread Second(Ask);
    while (Answered < 2)
      std::this_thread::yield();
    A.Service->stop();
    First.join();
    Second.join();
    EXPECT_EQ(A.Service->dump(), "");
  }
}

// The server for announcements listens before the gossip thread starts. What it pushes by then, and
// while the thread starts, must neither be lost nor meet a wake hook that is just being set.
TEST(GossipService, TakesAnnouncementsThatComeBeforeItStarts) {
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
      Service.announcements().push({engine(), Load});
    }
  });
  Service.start();
  Announcer.join();
  while (Service.dump().find("127.0.0.1:8000") == std::string::npos)
    std::this_thread::yield();
  Service.stop();
}

TEST(GossipService, RefusesAnAddressThatIsNone) {
  gossip_options Options;
  Options.Identity.Self = {host_name("a"), incarnation(1)};
  Options.Bind = peer_address("localhost:1");
  EXPECT_EQ(errorOf(gossip_service::create(Options)), gossip_error::BadAddress);
}

} // namespace
} // namespace pollenstall
