/** @file declaration_difference_test.cpp Declaration differences that a control host sends to an
 * entry. */
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

/// Answers subscriptions with scripted messages, one list for each connection.
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
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Subscriptions;
  }

private:
  void accept(boost::asio::ip::tcp::socket Socket) {
    auto Connection = std::make_shared<framed_connection>(std::move(Socket), framed_limits{});
    Connections.push_back(Connection);
    Connection->setCallbacks(
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
    const std::lock_guard<std::mutex> Lock(Mutex);
    const std::size_t Index = std::min(Subscriptions.size(), Script.size() - 1);
    Subscriptions.push_back(*Subscribed);
    for (const link_reply &Reply : Script[Index])
      Sender.send(linkFrame(Fleet, Reply));
  }

  std::vector<std::vector<link_reply>> Script;
  std::mutex Mutex;
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

/// Waits for the given number of declarations from the link and returns them.
std::vector<declaration_received> receive(control_link &Link, std::size_t Count) {
  std::vector<declaration_received> Received;
  const auto GiveUpAt = std::chrono::steady_clock::now() + Limit;
  while (Received.size() < Count && std::chrono::steady_clock::now() < GiveUpAt) {
    Link.drainEvents([&Received](control_link_event &&Event) {
      if (auto *Declared = std::get_if<declaration_received>(&Event))
        Received.push_back(std::move(*Declared));
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return Received;
}

link_declaration_change change(std::uint64_t Base, const std::string &OldText,
                               std::uint64_t NewRevision, const std::string &NewText) {
  return {revision(Base), revision(NewRevision),
          packDifference(computeDifference(OldText, NewText))};
}

TEST(DeclarationDifferences, AreAppliedToTheDeclarationThatTheEntryHolds) {
  scripted_control Control({{link_declaration{revision(1), pack("{a}{b}")},
                             change(1, "{a}{b}", 2, "{a}{c}"), change(2, "{a}{c}", 3, "{c}")}});
  const auto Link = linkTo(Control);
  const auto Received = receive(*Link, 3);
  ASSERT_EQ(Received.size(), 3U);
  EXPECT_EQ(Received[1].Text, "{a}{c}");
  EXPECT_EQ(Received[2].Text, "{c}");
  EXPECT_EQ(Received[2].Revision, revision(3));
}

// The control host sends a difference to another text than the entry holds. The entry must not
// apply it, since the result would be a text that belongs to no revision. It reconnects, reports
// that it holds no declaration, and gets the complete text.
TEST(DeclarationDifferences, ThatDoNotMatchLeadToTheCompleteDeclaration) {
  scripted_control Control(
      {{link_declaration{revision(1), pack("{a}{b}")}, change(1, "{other}", 2, "{other}{c}")},
       {link_declaration{revision(2), pack("{other}{c}")}}});
  const auto Link = linkTo(Control);
  const auto Received = receive(*Link, 2);
  ASSERT_EQ(Received.size(), 2U);
  EXPECT_EQ(Received[1].Text, "{other}{c}");
  EXPECT_EQ(Link->counters().Undecodable, 1U);
  const auto Subscriptions = Control.subscriptions();
  ASSERT_GE(Subscriptions.size(), 2U);
  EXPECT_FALSE(Subscriptions[1].HeldRevision);
}

// After a change of leaders the entry reports the revision that it holds with its first message, so
// that the new leader does not send the complete declaration to the whole fleet.
TEST(DeclarationDifferences, ContinueFromTheHeldRevisionAfterAReconnect) {
  scripted_control Control({{link_declaration{revision(1), pack("{a}{b}")}, link_not_leader{""}},
                            {change(1, "{a}{b}", 2, "{a}")}});
  const auto Link = linkTo(Control);
  const auto Received = receive(*Link, 2);
  ASSERT_EQ(Received.size(), 2U);
  EXPECT_EQ(Received[1].Text, "{a}");
  EXPECT_EQ(Control.subscriptions()[1].HeldRevision, revision(1));
}

} // namespace
} // namespace pollenstall
