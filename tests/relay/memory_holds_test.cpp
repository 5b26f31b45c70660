/** @file memory_holds_test.cpp Memory of several engines for one prompt: taken, used, given back.
 */
#include "headed_relay_base.h"

#include <gtest/gtest.h>

#include <future>

namespace pollenstall {
namespace {

const std::string Held = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string NoRoom = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
constexpr tokens Amount{5'000};

/// What several servers were asked, in one order.
class shared_order {
public:
  void note(const std::string &Who, const received_request &Request) {
    const std::lock_guard<std::mutex> Lock(Guard);
    const std::size_t From = Request.Head.find('/');
    Seen.push_back(Who + " " +
                   Request.Head.substr(From, Request.Head.find('/', From + 1) - From + 1));
  }
  /// Waits until so many were asked.
  std::vector<std::string> wait(std::size_t Count) {
    const auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (std::chrono::steady_clock::now() < Until) {
      {
        const std::lock_guard<std::mutex> Lock(Guard);
        if (Seen.size() >= Count)
          return Seen;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return Seen;
  }

private:
  std::mutex Guard;
  std::vector<std::string> Seen;
};

struct memory_of_two_engines : testing::Test {
  scripted_server::script answering(const std::string &Who, const std::string &Answer) {
    return [this, Who, Answer](auto &Socket, const received_request &Request) {
      Order.note(Who, Request);
      sendText(Socket, Answer);
    };
  }

  static void callWithHolds(headed_relay &Relay, const scripted_server &Writer,
                            std::vector<memory_hold> Holds) {
    Relay.call("p");
    Relay.start(Writer, 1, true, std::move(Holds));
  }

  shared_order Order;
  const std::string Ok = "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok";
};

TEST_F(memory_of_two_engines, IsHeldBeforeThePromptIsSentAndFreedBehindTheAnswer) {
  const scripted_server First(answering("first", Held));
  const scripted_server Second(answering("second", Held));
  const scripted_server Writer(answering("writer", Ok));
  headed_relay Relay;
  callWithHolds(Relay, Writer, {{First.key(), Amount}, {Second.key(), Amount}});
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_TRUE(Relay.answer().ends_with("ok"));
  EXPECT_EQ(Order.wait(5), (std::vector<std::string>{"first /hold/", "second /hold/", "writer /a/",
                                                     "first /free/", "second /free/"}));
}

// The second engine has no room. The attempt fails before its prompt is sent, and the first
// engine's memory is given back at once: two prompts that each hold a part would wait for each
// other.
TEST_F(memory_of_two_engines, IsGivenBackWhereOneOfThemRefuses) {
  const scripted_server First(answering("first", Held));
  const scripted_server Second(answering("second", NoRoom));
  const scripted_server Writer(answering("writer", Ok));
  headed_relay Relay;
  callWithHolds(Relay, Writer, {{First.key(), Amount}, {Second.key(), Amount}});
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::Declined);
  EXPECT_EQ(Order.wait(4), (std::vector<std::string>{"first /hold/", "second /hold/",
                                                     "first /free/", "second /free/"}));
  EXPECT_TRUE(Writer.requests().empty());
}

// The attempt is given up while an engine is being asked for memory. A release on a connection of
// its own could arrive before the request does, and the engine would then hold memory that nobody
// uses; so the release waits for the answer.
TEST_F(memory_of_two_engines, IsNotGivenBackBeforeItsRequestIsAnswered) {
  std::promise<void> Asked;
  std::promise<void> GivenUp;
  std::promise<bool> Overtaken;
  scripted_server *Self = nullptr;
  scripted_server First([&](auto &Socket, const received_request &Request) {
    Order.note("first", Request);
    if (Request.Head.find("/hold/") != std::string::npos) {
      Asked.set_value();
      GivenUp.get_future().wait();
      Overtaken.set_value(Self->hasPendingConnection());
    }
    sendText(Socket, Held);
  });
  Self = &First;
  const scripted_server Writer(answering("writer", Ok));
  headed_relay Relay;
  callWithHolds(Relay, Writer, {{First.key(), Amount}});
  Asked.get_future().wait();
  Relay.order(cancel_order{
      {{{host_name("entry"), incarnation(1)}, Relay.Facts.Id, 1}, Writer.key()}, false});
  Relay.settle();
  GivenUp.set_value();
  EXPECT_FALSE(Overtaken.get_future().get());
  EXPECT_EQ(Order.wait(2), (std::vector<std::string>{"first /hold/", "first /free/"}));
  EXPECT_TRUE(Writer.requests().empty());
}

} // namespace
} // namespace pollenstall
