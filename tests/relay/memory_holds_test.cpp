/** @file memory_holds_test.cpp Memory held at several engines for one prompt: acquired, used and
 * released. */
#include "relay_harness_base.h"

#include <gtest/gtest.h>

#include <future>

namespace pollenstall {
namespace {

const std::string HoldConfirmedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string NoRoom = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
constexpr tokens Amount{5'000};

/// The requests that all servers received, in order of arrival.
class request_log {
public:
  void note(const std::string &Server, const received_request &Request) {
    const std::lock_guard<std::mutex> Lock(Guard);
    const std::size_t From = Request.Head.find('/');
    Seen.push_back(Server + " " +
                   Request.Head.substr(From, Request.Head.find('/', From + 1) - From + 1));
  }
  /// Waits until Count requests have arrived.
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

struct memory_holds_of_two_engines : testing::Test {
  scripted_server::script answering(const std::string &Server, const std::string &Answer) {
    return [this, Server, Answer](auto &Socket, const received_request &Request) {
      Requests.note(Server, Request);
      sendText(Socket, Answer);
    };
  }

  static void callWithHolds(relay_harness &Relay, const scripted_server &AnsweringServer,
                            std::vector<memory_hold> Holds) {
    Relay.call("p");
    Relay.start(AnsweringServer, 1, true, std::move(Holds));
  }

  /// Calls with a hold at two engines, both of which give this answer to it.
  void expectServedWithHoldsAnswered(const std::string &HoldAnswer) {
    const scripted_server First(answering("first", HoldAnswer));
    const scripted_server Second(answering("second", HoldAnswer));
    const scripted_server AnsweringServer(answering("writer", Ok));
    relay_harness Relay;
    callWithHolds(Relay, AnsweringServer, {{First.key(), Amount}, {Second.key(), Amount}});
    Relay.next<attempt_completed>();
    Relay.finish(final_outcome::Complete, failure_reason::None);
    EXPECT_TRUE(Relay.answer().ends_with("ok"));
    // The holds are released after the answer.
    Requests.wait(5);
  }

  request_log Requests;
  const std::string Ok = "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok";
};

// An engine may end any answer with its connection; a hold confirmed that way must not count as
// refused, since the engine keeps the memory.
TEST_F(memory_holds_of_two_engines, AreAcquiredIfTheirAnswersEndWithTheConnection) {
  expectServedWithHoldsAnswered("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}");
}

// An interim answer before the final one was taken for the final one: the hold counted as refused,
// and the next request on the connection got the answer to the hold.
TEST_F(memory_holds_of_two_engines, AreAcquiredIfAnInterimAnswerComesFirst) {
  expectServedWithHoldsAnswered("HTTP/1.1 103 Early Hints\r\n\r\n" + HoldConfirmedAnswer);
}

// The engine closes the connection without any answer, as it may do with one that was idle.
TEST_F(memory_holds_of_two_engines, AreNotAcquiredIfAnEngineClosesWithoutAnAnswer) {
  const scripted_server First(answering("first", ""));
  const scripted_server Second(answering("second", HoldConfirmedAnswer));
  const scripted_server AnsweringServer(answering("writer", Ok));
  relay_harness Relay;
  callWithHolds(Relay, AnsweringServer, {{First.key(), Amount}, {Second.key(), Amount}});
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::Declined);
  Relay.finish(final_outcome::NotRun, failure_reason::NoBackend);
  EXPECT_NE(Relay.answer().find("HTTP/1.1 503"), std::string::npos);
}

TEST_F(memory_holds_of_two_engines, AreAcquiredBeforeThePromptAndReleasedAfterTheAnswer) {
  expectServedWithHoldsAnswered(HoldConfirmedAnswer);
  EXPECT_EQ(Requests.wait(5),
            (std::vector<std::string>{"first /hold/", "second /hold/", "writer /a/", "first /free/",
                                      "second /free/"}));
}

// The second engine has no room. The attempt fails before its prompt is sent, and the first
// engine's memory is released at once: two prompts that each hold a part would deadlock.
TEST_F(memory_holds_of_two_engines, AreReleasedIfOneEngineRefuses) {
  const scripted_server First(answering("first", HoldConfirmedAnswer));
  const scripted_server Second(answering("second", NoRoom));
  const scripted_server AnsweringServer(answering("writer", Ok));
  relay_harness Relay;
  callWithHolds(Relay, AnsweringServer, {{First.key(), Amount}, {Second.key(), Amount}});
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::Declined);
  EXPECT_EQ(Requests.wait(4), (std::vector<std::string>{"first /hold/", "second /hold/",
                                                        "first /free/", "second /free/"}));
  EXPECT_TRUE(AnsweringServer.requests().empty());
}

// The attempt is cancelled while a hold request is in flight. A release on its own connection could
// overtake that request, and the engine would then hold memory without a user, so the release waits
// for the answer.
TEST_F(memory_holds_of_two_engines, AreReleasedOnlyAfterTheRequestIsAnswered) {
  std::promise<void> HoldRequested;
  std::promise<void> Cancelled;
  std::promise<bool> Overtaken;
  scripted_server *Self = nullptr;
  scripted_server First([&](auto &Socket, const received_request &Request) {
    Requests.note("first", Request);
    if (Request.Head.find("/hold/") != std::string::npos) {
      HoldRequested.set_value();
      Cancelled.get_future().wait();
      Overtaken.set_value(Self->hasPendingConnection());
    }
    sendText(Socket, HoldConfirmedAnswer);
  });
  Self = &First;
  const scripted_server AnsweringServer(answering("writer", Ok));
  relay_harness Relay;
  callWithHolds(Relay, AnsweringServer, {{First.key(), Amount}});
  HoldRequested.get_future().wait();
  Relay.order(cancel_order{
      {{{host_name("entry"), incarnation(1)}, Relay.Facts.Id, 1}, AnsweringServer.key()}, false});
  Relay.settle();
  Cancelled.set_value();
  EXPECT_FALSE(Overtaken.get_future().get());
  EXPECT_EQ(Requests.wait(2), (std::vector<std::string>{"first /hold/", "first /free/"}));
  EXPECT_TRUE(AnsweringServer.requests().empty());
}

} // namespace
} // namespace pollenstall
