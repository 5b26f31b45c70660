/** @file held_text_test.cpp Differences between declarations, from a control host to an entry's
 * link. */
#include "control_link/control_link.h"
#include "control_link/control_link_codec_func.h"
#include "peer_link/peer_link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <mutex>
#include <thread>

namespace pollenstall {
namespace {

const std::string Fleet = "f";
constexpr std::chrono::seconds Limit{10};

/// Answers each entry's subscription with the messages of its script, one list a connection.
class scripted_control {
public:
  explicit scripted_control(std::vector<std::vector<link_reply>> Messages)
      : Script(std::move(Messages)), Work(boost::asio::make_work_guard(Io)) {
    auto Opened = framed_listener::open(Io, "127.0.0.1:0",
                                        [this](auto Socket) { accept(std::move(Socket)); });
    Listener = valueOf(std::move(Opened));
    Thread = std::thread([this] { Io.run(); });
  }
  ~scripted_control() {
    Io.stop();
    Thread.join();
    for (const auto &Connection : Connections)
      Connection->close();
  }

  [[nodiscard]] std::string address() const { return Listener->address(); }
  [[nodiscard]] std::vector<link_subscribe> subscriptions() {
    const std::lock_guard<std::mutex> Lock(Guard);
    return Subscriptions;
  }

private:
  void accept(boost::asio::ip::tcp::socket Socket) {
    auto Connection = std::make_shared<framed_connection>(std::move(Socket), framed_limits{});
    Connections.push_back(Connection);
    Connection->tell(
        {{},
         [this, Sender = Connection.get()](std::string &&Bytes) { received(*Sender, Bytes); },
         [] {}});
    Connection->start();
  }

  void received(framed_connection &Sender, const std::string &Bytes) {
    const auto Decoded =
        decodeEnvelope<link_request>(Fleet, message_kind::ControlLink, Bytes, MaxLinkRequestBytes);
    if (!succeeded(Decoded))
      return;
    const auto *Subscribed = std::get_if<link_subscribe>(&valueOf(Decoded));
    if (!Subscribed)
      return;
    const std::lock_guard<std::mutex> Lock(Guard);
    const std::size_t Number = std::min(Subscriptions.size(), Script.size() - 1);
    Subscriptions.push_back(*Subscribed);
    for (const link_reply &Reply : Script[Number])
      Sender.send(linkFrame(Fleet, Reply));
  }

  std::vector<std::vector<link_reply>> Script;
  std::mutex Guard;
  std::vector<link_subscribe> Subscriptions;
  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::unique_ptr<framed_listener> Listener;
  std::vector<std::shared_ptr<framed_connection>> Connections;
  std::thread Thread;
};

std::unique_ptr<control_link> linkTo(const scripted_control &Control) {
  return control_link_builder({Control.address()}, Fleet)
      .process({host_name("entry-1"), incarnation(1)}, failure_domain_name("a"))
      .backOff(std::chrono::milliseconds(5), std::chrono::milliseconds(20))
      .start();
}

/// @return The declarations that the link hands on, so many of them.
std::vector<declaration_received> receive(control_link &Link, std::size_t Count) {
  std::vector<declaration_received> Received;
  const auto Until = std::chrono::steady_clock::now() + Limit;
  while (Received.size() < Count && std::chrono::steady_clock::now() < Until) {
    Link.drainEvents([&Received](control_link_event &&Event) {
      if (auto *Declared = std::get_if<declaration_received>(&Event))
        Received.push_back(std::move(*Declared));
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return Received;
}

link_declaration_change change(std::uint64_t Base, const std::string &Old, std::uint64_t Number,
                               const std::string &New) {
  return {revision(Base), revision(Number), packDifference(computeDifference(Old, New))};
}

TEST(AHeldText, IsBuiltOnByTheNextDifferences) {
  scripted_control Control({{link_declaration{revision(1), pack("{a}{b}")},
                             change(1, "{a}{b}", 2, "{a}{c}"), change(2, "{a}{c}", 3, "{c}")}});
  const auto Link = linkTo(Control);
  const auto Received = receive(*Link, 3);
  ASSERT_EQ(Received.size(), 3U);
  EXPECT_EQ(Received[1].Text, "{a}{c}");
  EXPECT_EQ(Received[2].Text, "{c}");
  EXPECT_EQ(Received[2].Revision, revision(3));
}

// The control host believes that the entry holds another text than it does. The difference is not
// used, since it would make a declaration that nobody declared; the entry connects anew, says that
// it holds nothing, and gets the whole text.
TEST(AHeldText, ThatADifferenceDoesNotFitIsGivenUpForTheWhole) {
  scripted_control Control(
      {{link_declaration{revision(1), pack("{a}{b}")}, change(1, "{other}", 2, "{other}{c}")},
       {link_declaration{revision(2), pack("{other}{c}")}}});
  const auto Link = linkTo(Control);
  const auto Received = receive(*Link, 2);
  ASSERT_EQ(Received.size(), 2U);
  EXPECT_EQ(Received[1].Text, "{other}{c}");
  EXPECT_EQ(Link->counters().Garbage, 1U);
  const auto Subscriptions = Control.subscriptions();
  ASSERT_GE(Subscriptions.size(), 2U);
  EXPECT_FALSE(Subscriptions[1].Holds);
}

// The connection is lost and another control host leads: the entry says at once what it holds, so
// that a fleet's change of leaders does not send every declaration whole.
TEST(AHeldText, IsToldOnTheNextConnection) {
  scripted_control Control({{link_declaration{revision(1), pack("{a}{b}")}, link_not_leader{""}},
                            {change(1, "{a}{b}", 2, "{a}")}});
  const auto Link = linkTo(Control);
  const auto Received = receive(*Link, 2);
  ASSERT_EQ(Received.size(), 2U);
  EXPECT_EQ(Received[1].Text, "{a}");
  EXPECT_EQ(Control.subscriptions()[1].Holds, revision(1));
}

} // namespace
} // namespace pollenstall
