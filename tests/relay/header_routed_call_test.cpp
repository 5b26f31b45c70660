/** @file header_routed_call_test.cpp Calls of declared routes: resumed streams, truncated and
 * misdirected answers, and callers that disconnect. */
#include "relay_harness_base.h"

#include <gtest/gtest.h>

#include <future>

namespace pollenstall {
namespace {

std::size_t countOf(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos; At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

bool looksComplete(const std::string &Answer) { return Answer.ends_with("0\r\n\r\n"); }

const std::string WholeStream = streamHead() + chunkOf(eventText(1) + eventText(2)) + "0\r\n\r\n";

// An engine breaks off in the middle of its third event. Another one gets the same request with the
// same body and the number of the last complete event, and continues after it. The caller reads one
// stream without duplicate, missing or partial events.
TEST(BrokenStream, ResumesElsewhereAfterItsLastCompleteEvent) {
  const scripted_server BreakingServer([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1) + eventText(2) + "id: 3\ndata: ha"));
    resetConnection(Socket);
  });
  const scripted_server Continuation([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(3) + eventText(4)) + "0\r\n\r\n");
  });
  relay_harness Relay;
  Relay.call("the prompt");
  Relay.start(BreakingServer, 1);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::BrokenMidway);
  Relay.start(Continuation, 2);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  for (int Id = 1; Id <= 4; ++Id)
    EXPECT_EQ(countOf(Answer, eventText(Id)), 1U) << Id;
  EXPECT_EQ(countOf(Answer, "ha\n"), 0U);
  EXPECT_EQ(countOf(Answer, "HTTP/1.1"), 1U) << "the caller must see only the first engine's head";
  EXPECT_TRUE(looksComplete(Answer));
  const auto Second = Continuation.requests();
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_EQ(Second[0].Body, "the prompt");
  EXPECT_NE(Second[0].Head.find("X-After: 2"), std::string::npos) << Second[0].Head;
}

// The entry that relayed a stream has failed, and the caller asks another entry for the rest. The
// decision thread must know that the caller waits for its next event rather than its first.
TEST(BrokenStream, IsMarkedAsContinuedIfItsCallerAsksForTheRest) {
  relay_harness Relay;
  Relay.call("p", "X-Last: 7\r\n");
  EXPECT_TRUE(Relay.Facts.Continues);
  Relay.finish(final_outcome::NotRun, failure_reason::QueueFull);
  EXPECT_FALSE(Relay.answer().empty());
  Relay.call("p");
  EXPECT_FALSE(Relay.Facts.Continues);
}

// An engine stalls in the middle of a stream and its connection stays open, because a machine
// without power sends no reset. The caller would leave after two seconds; the silence is
// reported after three gaps, but at least half a second, without an event, so that the rest can be
// requested from another engine beside it.
TEST(StalledStream, IsReportedAndKeptIfAnotherAttemptMayFollow) {
  const scripted_server Silent([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)));
    waitForClose(Socket);
  });
  relay_harness Relay;
  Relay.call("p");
  Relay.start(Silent, 1);
  Relay.next<attempt_answering>();
  for (int Report = 0; Report < 2; ++Report)
    EXPECT_TRUE(std::holds_alternative<attempt_silent>(Relay.next()));
  Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
  Relay.cancel(Silent, 1);
  EXPECT_FALSE(looksComplete(Relay.answer()));
}

// If no other attempt may follow, a stalled engine must not end its answer.
TEST(StalledStream, IsWaitedForIfNoOtherAttemptMayFollow) {
  const scripted_server Slow([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)));
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    sendText(Socket, chunkOf(eventText(2)) + "0\r\n\r\n");
  });
  relay_harness Relay;
  Relay.call("p");
  Relay.start(Slow, 1, false);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_EQ(countOf(Relay.answer(), eventText(2)), 1U);
}

// A caller complains about a pause, although its answer was complete and began in time. The call
// record must contain the longest gap, even if the next event came from another engine.
TEST(StreamWithAPause, IsRecordedWithItsLongestGap) {
  constexpr std::chrono::milliseconds Pause{60};
  const scripted_server BreakingServer([&](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    sendText(Socket, chunkOf(eventText(2)));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    resetConnection(Socket);
  });
  const scripted_server ResumingServer([&](auto &Socket, const received_request &) {
    std::this_thread::sleep_for(Pause);
    sendText(Socket, streamHead() + chunkOf(eventText(3)) + "0\r\n\r\n");
  });
  relay_harness Relay;
  Relay.call("p");
  Relay.start(BreakingServer, 1);
  Relay.next<attempt_failed>();
  Relay.start(ResumingServer, 2);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_FALSE(Relay.answer().empty());
  Relay.settle();
  ASSERT_EQ(Relay.records().size(), 1U);
  ASSERT_TRUE(Relay.records()[0].LongestGap);
  EXPECT_GE(*Relay.records()[0].LongestGap, Pause);
}

// A request reaches its server late. The record separates the time in the entry from the time in
// the network.
TEST(QueuedRequest, IsRecordedWithTheTimeUntilItWasSent) {
  constexpr std::chrono::milliseconds QueueTime{30};
  const scripted_server Server([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)) + "0\r\n\r\n");
  });
  relay_harness Relay;
  Relay.call("p");
  std::this_thread::sleep_for(QueueTime);
  Relay.start(Server, 1);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_FALSE(Relay.answer().empty());
  Relay.settle();
  ASSERT_EQ(Relay.records().size(), 1U);
  ASSERT_TRUE(Relay.records()[0].SentAfter);
  EXPECT_GE(*Relay.records()[0].SentAfter, QueueTime);
}

TEST(StreamWithAPause, HasNoGapIfThereIsOneEvent) {
  const scripted_server SingleEvent([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)) + "0\r\n\r\n");
  });
  relay_harness Relay;
  Relay.call("p");
  Relay.start(SingleEvent, 1);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_FALSE(Relay.answer().empty());
  Relay.settle();
  ASSERT_EQ(Relay.records().size(), 1U);
  EXPECT_FALSE(Relay.records()[0].LongestGap);
}

// A caller complains that it was refused. The entry had no declaration and never admitted the
// request: the record must still contain the caller's own name for it, so that the refusal can be
// found.
TEST(RefusedCall, IsRecordedWithTheNameChosenByItsCaller) {
  relay_harness Relay;
  Relay.setDeclared(false);
  Relay.send("p");
  EXPECT_NE(Relay.answer().find("HTTP/1.1 503"), std::string::npos);
  Relay.settle();
  ASSERT_EQ(Relay.records().size(), 1U);
  EXPECT_EQ(Relay.records()[0].SendName, "s1");
  EXPECT_EQ(Relay.records()[0].Reason, "not_ready");
}

TEST(CallOfAnUnknownRoute, GetsA404IfTheDeclarationIsCurrent) {
  relay_harness Relay;
  Relay.send("p", {}, "/new/b");
  EXPECT_NE(Relay.answer().find("HTTP/1.1 404"), std::string::npos);
}

// A route was added and acknowledged, but its declaration is still queued for this entry. "No such
// route" would be wrong and final: the caller would not retry. During one large change, 22 calls of
// declared routes received a 404 for this reason.
TEST(CallOfAnUnknownRoute, GetsA503WhileTheDeclarationIsStale) {
  relay_harness Relay;
  Relay.setDeclarationStale();
  Relay.send("p", {}, "/new/b");
  const std::string Answer = Relay.answer();
  EXPECT_NE(Answer.find("HTTP/1.1 503"), std::string::npos) << Answer;
  EXPECT_NE(Answer.find("Retry-After: "), std::string::npos) << Answer;
}

TEST(CallOfAnUnknownRoute, WaitsForTheDeclarationThatAddsIt) {
  relay_limits Limits;
  Limits.ReadyWait = std::chrono::seconds(20);
  relay_harness Relay(retry_mode::Resume, Limits);
  Relay.setDeclarationStale();
  Relay.send("p", {}, "/new/b");
  Relay.settle();
  Relay.declareRoute("/new/");
  EXPECT_EQ(Relay.next<request_arrived>().Facts.Service, service_name("route"));
}

// A known route is served as usual.
TEST(CallOfAKnownRoute, IsServedWhileTheDeclarationIsStale) {
  relay_harness Relay;
  Relay.setDeclarationStale();
  Relay.call("p");
  EXPECT_EQ(Relay.Facts.Service, service_name("route"));
}

// The second engine was asked to resume after event 2 but counts differently and starts one event
// too early. The caller already has event 2.
TEST(BrokenStream, DropsEventsThatTheCallerAlreadyHas) {
  const scripted_server BreakingServer([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1) + eventText(2)));
    resetConnection(Socket);
  });
  const scripted_server Early([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(2) + eventText(3)) + "0\r\n\r\n");
  });
  relay_harness Relay;
  Relay.call("p");
  Relay.start(BreakingServer, 1);
  Relay.next<attempt_failed>();
  Relay.start(Early, 2);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, eventText(2)), 1U);
  EXPECT_EQ(countOf(Answer, eventText(3)), 1U);
}

// The second engine skips an event. If it were relayed, the stream would lack a part and still look
// complete.
TEST(BrokenStream, EndsTruncatedIfTheNextEngineSkipsAnEvent) {
  const scripted_server BreakingServer([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)));
    resetConnection(Socket);
  });
  const scripted_server SkippingServer([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(3)) + "0\r\n\r\n");
  });
  relay_harness Relay;
  Relay.call("p");
  Relay.start(BreakingServer, 1);
  Relay.next<attempt_failed>();
  Relay.start(SkippingServer, 2);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::BrokenMidway);
  Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, eventText(3)), 0U);
  EXPECT_FALSE(looksComplete(Answer));
}

// An answer without a length ends with its connection. It is complete if the server closes and
// truncated if it resets, and the caller must not mistake a part for the complete answer.
TEST(AnswerWithoutALength, IsCompleteIfTheServerCloses) {
  const scripted_server ClosingServer([](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nConnection: close\r\n\r\nall of it");
  });
  relay_harness Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(ClosingServer, 1, false);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, "all of it"), 1U);
  EXPECT_TRUE(looksComplete(Answer));
}

TEST(AnswerWithoutALength, IsTruncatedIfTheServerResets) {
  const scripted_server Resets([](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nConnection: close\r\n\r\nhalf");
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // Lets the bytes be sent first.
    resetConnection(Socket);
  });
  relay_harness Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(Resets, 1, false);
  Relay.next<attempt_failed>();
  Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
  EXPECT_FALSE(looksComplete(Relay.answer()));
}

// A server breaks off in the middle of an answer with a length. The caller has received nothing
// yet, so another server's answer can be used: the caller reads one complete answer.
TEST(AnswerWithALength, IsRetriedElsewhereIfItBreaksOff) {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 10\r\n\r\n";
  const scripted_server BreakingServer([&Head](auto &Socket, const received_request &) {
    sendText(Socket, Head + "half:");
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // Lets the bytes be sent first.
    resetConnection(Socket);
  });
  const scripted_server Answers(
      [&Head](auto &Socket, const received_request &) { sendText(Socket, Head + "all of it."); });
  relay_harness Relay(retry_mode::Always);
  Relay.call("p");
  Relay.start(BreakingServer, 1);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::BrokenSent);
  Relay.start(Answers, 2);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, "HTTP/1.1"), 1U) << Answer;
  EXPECT_EQ(countOf(Answer, "half:"), 0U);
  EXPECT_TRUE(Answer.ends_with("all of it."));
}

// A pooled connection delivers the answer to a different request. If it were relayed, a caller
// would read somebody else's answer.
TEST(BackendAnswer, ToAnotherRequestIsNotRelayed) {
  const scripted_server Crossed([](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s0\r\nContent-Length: 6\r\n\r\nsecret");
  });
  relay_harness Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(Crossed, 1, false);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::BadAnswer);
  Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, "secret"), 0U);
  EXPECT_EQ(countOf(Answer, "HTTP/1.1 502"), 1U) << Answer;
}

// A server states that it did not start the request. The caller receives 503, the one status that
// guarantees that the request was not run.
TEST(BackendAnswer, ThatSaysNotRunBecomesA503) {
  const scripted_server FullServer([](auto &Socket, const received_request &) {
    sendText(Socket,
             "HTTP/1.1 503 Full\r\nX-Send: s1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  relay_harness Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(FullServer, 1, false);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::Declined);
  Relay.finish(final_outcome::NotRun, failure_reason::DeadlineExceeded);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, "HTTP/1.1 503"), 1U) << Answer;
  EXPECT_EQ(countOf(Answer, "Retry-After: 1"), 1U) << Answer;
}

// If no other attempt may follow, the server's error answer is relayed with its status and body
// unchanged.
TEST(BackendAnswer, WithAnErrorIsRelayedIfNoOtherAttemptMayFollow) {
  const scripted_server Fails([](auto &Socket, const received_request &) {
    sendText(Socket,
             "HTTP/1.1 500 Oops\r\nX-Send: s1\r\nX-Sign: 7\r\nContent-Length: 4\r\n\r\noops");
  });
  relay_harness Relay(retry_mode::Always);
  Relay.call("p");
  Relay.start(Fails, 1, true);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::ErrorAnswer);
  Relay.start(Fails, 2, false);
  EXPECT_TRUE(Relay.next<attempt_completed>().ServerError) << "placement records the failure";
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, "HTTP/1.1 500"), 1U);
  EXPECT_EQ(countOf(Answer, "X-Sign: 7"), 1U);
  EXPECT_TRUE(Answer.ends_with("oops"));
}

// All control hosts were lost for a moment. A request arrives while the entry has no declaration in
// force, and the next declaration arrives before ReadyWait ends: the request is served.
TEST(EntryWithoutADeclaration, LetsARequestWaitForTheNextOne) {
  const scripted_server Server([](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok");
  });
  relay_limits Limits;
  Limits.ReadyWait = std::chrono::seconds(10);
  relay_harness Relay(retry_mode::Never, Limits);
  Relay.setDeclared(false);
  const auto Called = std::async(std::launch::async, [&Relay] { Relay.call("p"); });
  EXPECT_EQ(Called.wait_for(std::chrono::milliseconds(50)), std::future_status::timeout);
  Relay.setDeclared(true);
  Called.wait();
  Relay.start(Server, 1, false);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_TRUE(Relay.answer().ends_with("ok"));
}

// A host learns of its stop in advance and drains first. A caller's idle connection would carry the
// next request to a host that no longer accepts any; if it is closed, the caller goes to another
// host.
TEST(StoppingHost, ClosesIdleConnectionsAtOnce) {
  relay_harness Relay;
  Relay.connect();
  auto Answer = std::async(std::launch::async, [&Relay] { return Relay.answer(); });
  // Repeats drain() until the connection has been accepted.
  while (Answer.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready)
    Relay.drain();
  EXPECT_EQ(Answer.get(), "");
}

TEST(StoppingHost, ServesRequestsAndClosesTheConnectionAfterTheAnswer) {
  const scripted_server Server([](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok");
  });
  relay_harness Relay(retry_mode::Never);
  Relay.drain();
  Relay.call("p");
  Relay.start(Server, 1, false);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_EQ(countOf(Relay.answer(), "Connection: close"), 1U);
}

// The caller disconnects while its stream runs. The decision thread is notified, and after it
// cancels the attempt, the server sees its connection end.
TEST(DisconnectedCaller, EndsTheWorkOfItsStream) {
  std::promise<bool> Ended;
  const scripted_server Endless([&Ended](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)));
    char Byte = 0;
    boost::system::error_code Code;
    Socket.read_some(boost::asio::buffer(&Byte, 1), Code);
    Ended.set_value(static_cast<bool>(Code));
  });
  relay_harness Relay;
  Relay.call("p");
  Relay.start(Endless, 1);
  Relay.next<attempt_answering>();
  Relay.hangUp();
  EXPECT_EQ(Relay.next<caller_left>().Request, Relay.Facts.Id);
  Relay.order(cancel_order{
      {{{host_name("entry"), incarnation(1)}, Relay.Facts.Id, 1}, Endless.key()}, false});
  Relay.next<cancel_confirmed>();
  EXPECT_TRUE(Ended.get_future().get());
}

} // namespace
} // namespace pollenstall
