/** @file control_link_connect_test.cpp How an entry finds a control host while others are gone. */
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

/// Says nothing to whoever connects, as a host without power: its queue of connections is full.
class silent_host {
public:
  silent_host() : Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0), false) {
    Acceptor.listen(0);
    constexpr int MoreThanItTakes = 4;
    for (int Count = 0; Count < MoreThanItTakes; ++Count) {
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

// The first control host has lost its power: nothing answers there, not even with a refusal. The
// entry must not wait for it as long as for the answer of one that it has reached: until it finds
// the leader it serves nobody.
TEST(AControlLink, SoonLeavesAHostThatCannotBeReached) {
  const silent_host Silent;
  asio::io_context Io;
  tcp::acceptor Reachable(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto Link =
      control_link_builder(
          {Silent.address(), "127.0.0.1:" + std::to_string(Reachable.local_endpoint().port())},
          "fleet")
          .process({host_name("entry"), incarnation(1)}, failure_domain_name("d"))
          .answerWithin(60s)
          .start();
  bool Reached = false;
  Reachable.async_accept(
      [&Reached](boost::system::error_code Code, const tcp::socket &) { Reached = !Code; });
  Io.run_for(20s);
  EXPECT_TRUE(Reached);
}

/// Sends each caller one message, in parts with pauses, as over a link that many share.
class slow_host {
public:
  slow_host(std::string Message, std::size_t Parts, std::chrono::milliseconds Between)
      : Bytes(std::move(Message)), Part(Bytes.size() / Parts + 1), Pause(Between),
        Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
    Thread = std::thread([this] { Io.run(); });
  }
  ~slow_host() {
    Io.stop();
    Thread.join();
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  struct caller {
    explicit caller(tcp::socket Open) : Socket(std::move(Open)), Timer(Socket.get_executor()) {}
    tcp::socket Socket;
    asio::steady_timer Timer;
    std::size_t Sent{0};
  };

  void accept() {
    Acceptor.async_accept([this](boost::system::error_code Failed, tcp::socket Socket) {
      if (Failed)
        return;
      sendPart(std::make_shared<caller>(std::move(Socket)));
      accept();
    });
  }

  void sendPart(const std::shared_ptr<caller> &To) {
    const std::size_t Count = std::min(Part, Bytes.size() - To->Sent);
    if (Count == 0)
      return;
    asio::async_write(To->Socket, asio::buffer(Bytes.data() + To->Sent, Count),
                      [this, To](boost::system::error_code Failed, std::size_t Written) {
                        if (Failed)
                          return;
                        To->Sent += Written;
                        To->Timer.expires_after(Pause);
                        To->Timer.async_wait([this, To](boost::system::error_code Stopped) {
                          if (!Stopped)
                            sendPart(To);
                        });
                      });
  }

  const std::string Bytes;
  const std::size_t Part;
  const std::chrono::milliseconds Pause;
  asio::io_context Io{1};
  tcp::acceptor Acceptor;
  std::thread Thread;
};

// A control host sends a large declaration to many entries over one link: it takes longer than an
// entry waits for an answer, though bytes keep coming. An entry that gave up here asked for the
// same text from its first byte, as all others did, and no entry ever got it ("control_lost", "why"
// "silent", "part_bytes" 382,873 on the average of 1,004).
TEST(AControlLink, StaysWithAHostWhoseMessageIsOnItsWay) {
  random_source Random(7);
  std::string Text(400'000, ' ');
  for (char &Letter : Text)
    Letter = static_cast<char>('a' + Random.below('z' - 'a'));
  const slow_host Host(linkFrame("fleet", link_reply(link_declaration{revision(3), pack(Text)})),
                       30, 30ms);
  const auto Link = control_link_builder({Host.address()}, "fleet")
                        .process({host_name("entry"), incarnation(1)}, failure_domain_name("d"))
                        .answerWithin(300ms)
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

} // namespace
} // namespace pollenstall
