/** @file control_link_connect_test.cpp Connections of an entry while control hosts are unreachable.
 */
#include "control_link/control_link.h"
#include "control_link/control_link_codec_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <thread>
#include <vector>

namespace pollenstall {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// A control host that completes no connection, like a host without power. Its backlog is full.
class unresponsive_host {
public:
  unresponsive_host() : Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0), false) {
    Acceptor.listen(0);
    constexpr int MoreThanTheBacklog = 4;
    for (int Index = 0; Index < MoreThanTheBacklog; ++Index) {
      Fillers.emplace_back(Io);
      Fillers.back().async_connect(Acceptor.local_endpoint(), [](boost::system::error_code) {});
    }
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::vector<tcp::socket> Fillers;
};

// The first control host has lost power and does not even refuse connections. The timeout for
// connecting must be shorter than the timeout for the answer of a connected host, since the entry
// serves no requests until it finds the leader.
TEST(ControlLinkConnection, ReconnectsElsewhereIfAHostIsUnreachable) {
  const unresponsive_host Unresponsive;
  asio::io_context Io;
  tcp::acceptor Reachable(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto Link =
      control_link_builder({Unresponsive.address(),
                            "127.0.0.1:" + std::to_string(Reachable.local_endpoint().port())},
                           "fleet")
          .process({host_name("entry"), incarnation(1)}, failure_domain_name("d"))
          .answerTimeout(60s)
          .start();
  bool Reached = false;
  Reachable.async_accept(
      [&Reached](boost::system::error_code Code, const tcp::socket &) { Reached = !Code; });
  Io.run_for(20s);
  EXPECT_TRUE(Reached);
}

/// Sends one message to each connection, in parts with pauses, as over a shared link.
class slow_control_host {
public:
  slow_control_host(std::string Message, std::size_t PartCount,
                    std::chrono::milliseconds PauseBetweenParts)
      : Bytes(std::move(Message)), PartSize(Bytes.size() / PartCount + 1), Pause(PauseBetweenParts),
        Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
    Thread = std::thread([this] { Io.run(); });
  }
  ~slow_control_host() {
    Io.stop();
    Thread.join();
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  struct receiver {
    explicit receiver(tcp::socket OpenSocket)
        : Socket(std::move(OpenSocket)), Timer(Socket.get_executor()) {}
    tcp::socket Socket;
    asio::steady_timer Timer;
    std::size_t Sent{0};
  };

  void accept() {
    Acceptor.async_accept([this](boost::system::error_code Failed, tcp::socket Socket) {
      if (Failed)
        return;
      sendPart(std::make_shared<receiver>(std::move(Socket)));
      accept();
    });
  }

  void sendPart(const std::shared_ptr<receiver> &Receiver) {
    const std::size_t Count = std::min(PartSize, Bytes.size() - Receiver->Sent);
    if (Count == 0)
      return;
    asio::async_write(Receiver->Socket, asio::buffer(Bytes.data() + Receiver->Sent, Count),
                      [this, Receiver](boost::system::error_code Failed, std::size_t Written) {
                        if (Failed)
                          return;
                        Receiver->Sent += Written;
                        Receiver->Timer.expires_after(Pause);
                        Receiver->Timer.async_wait(
                            [this, Receiver](boost::system::error_code Stopped) {
                              if (!Stopped)
                                sendPart(Receiver);
                            });
                      });
  }

  const std::string Bytes;
  const std::size_t PartSize;
  const std::chrono::milliseconds Pause;
  asio::io_context Io{1};
  tcp::acceptor Acceptor;
  std::thread Thread;
};

// A control host sends a large declaration to many entries over one link. This takes longer than
// the answer timeout of an entry, although bytes keep arriving. Entries that give up request the
// text from its first byte again. In a past run no entry ever received it: 1,004 events
// "control_lost" with "why" "silent" and on average 382,873 "part_bytes".
TEST(ControlLinkConnection, WaitsWhileAMessageIsBeingReceived) {
  random_source Random(7);
  std::string Text(400'000, ' ');
  for (char &Character : Text)
    Character = static_cast<char>('a' + Random.below('z' - 'a'));
  const slow_control_host Host(
      linkFrame("fleet", link_reply(link_declaration{revision(3), pack(Text)})), 30, 30ms);
  const auto Link = control_link_builder({Host.address()}, "fleet")
                        .process({host_name("entry"), incarnation(1)}, failure_domain_name("d"))
                        .answerTimeout(300ms)
                        .start();
  std::size_t Received = 0;
  const auto Limit = std::chrono::steady_clock::now() + 10s;
  while (Received == 0 && std::chrono::steady_clock::now() < Limit) {
    Link->drainEvents([&Received](control_link_event &&Event) {
      if (const auto *Declared = std::get_if<declaration_received>(&Event))
        Received = Declared->Text.size();
    });
    std::this_thread::sleep_for(1ms);
  }
  EXPECT_EQ(Received, Text.size());
}

// A change that refers to another list must not be applied: the entry would send work to a domain
// that is out. It reconnects and receives the list.
TEST(ControlLinkConnection, AppliesChangesToTheListThatTheyReferTo) {
  const auto Change = [](std::uint64_t Version, const char *Domain, bool Restored) {
    return linkFrame("fleet", link_reply(link_evacuation_change{
                                  Version, failure_domain_name(Domain), Restored}));
  };
  const link_evacuations List{3, {failure_domain_name("a")}};
  const slow_control_host Host(linkFrame("fleet", link_reply(List)) + Change(4, "b", false) +
                                   Change(3, "late", false) + Change(5, "a", true) +
                                   Change(7, "gap", false),
                               1, 1ms);
  const auto Link = control_link_builder({Host.address()}, "fleet")
                        .process({host_name("entry"), incarnation(1)}, failure_domain_name("d"))
                        .start();
  std::vector<evacuations_changed> Lists;
  std::optional<control_loss_reason> Lost;
  const auto Limit = std::chrono::steady_clock::now() + 10s;
  while (!Lost && std::chrono::steady_clock::now() < Limit) {
    Link->drainEvents([&](control_link_event &&Event) {
      if (const auto *Changed = std::get_if<evacuations_changed>(&Event))
        Lists.push_back(*Changed);
      if (const auto *Ended = std::get_if<control_connection_lost>(&Event))
        Lost = Ended->Reason;
    });
    std::this_thread::sleep_for(1ms);
  }
  EXPECT_EQ(Lost, control_loss_reason::Unreadable);
  ASSERT_GE(Lists.size(), 3U);
  EXPECT_EQ(Lists[1].Version, 4U);
  EXPECT_EQ(Lists[1].Domains, (std::vector{failure_domain_name("a"), failure_domain_name("b")}));
  EXPECT_EQ(Lists[2].Version, 5U);
  EXPECT_EQ(Lists[2].Domains, std::vector{failure_domain_name("b")});
}

} // namespace
} // namespace pollenstall
