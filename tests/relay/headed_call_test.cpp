/** @file headed_call_test.cpp Calls of declared routes: streams that go on elsewhere, answers that
 * end in odd ways, and callers that leave. */
#include "headed_relay_base.h"

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

bool looksWhole(const std::string &Answer) { return Answer.ends_with("0\r\n\r\n"); }

const std::string WholeStream = streamHead() + chunkOf(eventText(1) + eventText(2)) + "0\r\n\r\n";

// An engine breaks off in the middle of its third event. Another one gets the same request with the
// same body and the number of the last whole event, and goes on behind it. The caller reads one
// stream: no event twice, none missing, no half of one.
TEST(AStreamThatBreaksOff, GoesOnElsewhereBehindItsLastWholeEvent) {
  const scripted_server Breaks([](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1) + eventText(2) + "id: 3\ndata: ha"));
    resetConnection(Socket);
  });
  const scripted_server GoesOn([](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(3) + eventText(4)) + "0\r\n\r\n");
  });
  headed_relay Relay;
  Relay.call("the prompt");
  Relay.start(Breaks, 1);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::BrokenMidway);
  Relay.start(GoesOn, 2);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  for (int Id = 1; Id <= 4; ++Id)
    EXPECT_EQ(countOf(Answer, eventText(Id)), 1U) << Id;
  EXPECT_EQ(countOf(Answer, "ha\n"), 0U);
  EXPECT_EQ(countOf(Answer, "HTTP/1.1"), 1U) << "the head stays the first engine's";
  EXPECT_TRUE(looksWhole(Answer));
  const auto Second = GoesOn.requests();
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_EQ(Second[0].Body, "the prompt");
  EXPECT_NE(Second[0].Head.find("X-After: 2"), std::string::npos) << Second[0].Head;
}

// The entry that a caller read from has died; the caller asks for the rest elsewhere. The decision
// must know that the caller waits for its next event and not for its first.
TEST(AStreamThatBreaksOff, IsKnownToGoOnWhereItsCallerAsksForTheRest) {
  headed_relay Relay;
  Relay.call("p", "X-Last: 7\r\n");
  EXPECT_TRUE(Relay.Facts.Continues);
  Relay.finish(final_outcome::NotRun, failure_reason::QueueFull);
  EXPECT_FALSE(Relay.answer().empty());
  Relay.call("p");
  EXPECT_FALSE(Relay.Facts.Continues);
}

// An engine falls silent in the middle of a stream and its connection stays open: a machine without
// power resets nothing. The caller would leave after two seconds; three gaps after the last event
// the rest is asked for elsewhere.
TEST(AStreamThatFallsSilent, IsGivenUpWhereAnotherAttemptMayFollow) {
  const scripted_server Silent([](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)));
    waitForClose(Socket);
  });
  headed_relay Relay;
  Relay.call("p");
  Relay.start(Silent, 1);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::BrokenMidway);
  Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
  EXPECT_FALSE(looksWhole(Relay.answer()));
}

// The same where no other attempt may follow: an engine's silence is no reason to end its answer.
TEST(AStreamThatFallsSilent, IsWaitedForWhereNoOtherAttemptMayFollow) {
  const scripted_server Slow([](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)));
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    sendText(Socket, chunkOf(eventText(2)) + "0\r\n\r\n");
  });
  headed_relay Relay;
  Relay.call("p");
  Relay.start(Slow, 1, false);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_EQ(countOf(Relay.answer(), eventText(2)), 1U);
}

// A caller complains of a pause, though its answer was whole and began in time. The record of the
// call has the longest time between two events, also where the next one came from another engine.
TEST(AStreamWithAPause, IsRecordedWithTheLongestTimeBetweenTwoEvents) {
  constexpr std::chrono::milliseconds Pause{60};
  const scripted_server Breaks([&](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    sendText(Socket, chunkOf(eventText(2)));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    resetConnection(Socket);
  });
  const scripted_server Resumes([&](auto &Socket, const seen_request &) {
    std::this_thread::sleep_for(Pause);
    sendText(Socket, streamHead() + chunkOf(eventText(3)) + "0\r\n\r\n");
  });
  headed_relay Relay;
  Relay.call("p");
  Relay.start(Breaks, 1);
  Relay.next<attempt_failed>();
  Relay.start(Resumes, 2);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_FALSE(Relay.answer().empty());
  Relay.settle();
  ASSERT_EQ(Relay.records().size(), 1U);
  ASSERT_TRUE(Relay.records()[0].LongestGap);
  EXPECT_GE(*Relay.records()[0].LongestGap, Pause);
}

// A request reaches its server late. The record tells time in the entry from time on the way.
TEST(ARequestThatWaitsForAnAttempt, IsRecordedWithTheTimeUntilItWasSent) {
  constexpr std::chrono::milliseconds Waits{30};
  const scripted_server Server([](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)) + "0\r\n\r\n");
  });
  headed_relay Relay;
  Relay.call("p");
  std::this_thread::sleep_for(Waits);
  Relay.start(Server, 1);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_FALSE(Relay.answer().empty());
  Relay.settle();
  ASSERT_EQ(Relay.records().size(), 1U);
  ASSERT_TRUE(Relay.records()[0].SentAfter);
  EXPECT_GE(*Relay.records()[0].SentAfter, Waits);
}

TEST(AStreamWithAPause, HasNoTimeBetweenEventsWhereThereIsOne) {
  const scripted_server One([](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)) + "0\r\n\r\n");
  });
  headed_relay Relay;
  Relay.call("p");
  Relay.start(One, 1);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_FALSE(Relay.answer().empty());
  Relay.settle();
  ASSERT_EQ(Relay.records().size(), 1U);
  EXPECT_FALSE(Relay.records()[0].LongestGap);
}

// A caller complains that it was refused. The entry had no declaration, and never took the request
// in: its record still has the caller's own name for it, or nobody could tell which refusal was
// meant.
TEST(ACallThatIsRefusedAtOnce, IsRecordedUnderItsCallersName) {
  headed_relay Relay;
  Relay.setDeclared(false);
  Relay.send("p");
  EXPECT_NE(Relay.answer().find("HTTP/1.1 503"), std::string::npos);
  Relay.settle();
  ASSERT_EQ(Relay.records().size(), 1U);
  EXPECT_EQ(Relay.records()[0].SendName, "s1");
  EXPECT_EQ(Relay.records()[0].Reason, "not_ready");
}

TEST(ACallOfAnUnknownRoute, IsToldSoWhereTheDeclarationIsTheNewest) {
  headed_relay Relay;
  Relay.send("p", {}, "/new/b");
  EXPECT_NE(Relay.answer().find("HTTP/1.1 404"), std::string::npos);
}

// A route was added and acknowledged; this entry's text of it waits for its turn on the link. "No
// such route" is wrong and final: the caller would not come back. Seen as 22 answers of 404 for
// declared routes beside one large change.
TEST(ACallOfAnUnknownRoute, IsNotToldSoWhileANewerDeclarationIsOnItsWay) {
  headed_relay Relay;
  Relay.setLagging();
  Relay.send("p", {}, "/new/b");
  const std::string Answer = Relay.answer();
  EXPECT_NE(Answer.find("HTTP/1.1 503"), std::string::npos) << Answer;
  EXPECT_NE(Answer.find("Retry-After: "), std::string::npos) << Answer;
}

TEST(ACallOfAnUnknownRoute, WaitsForTheDeclarationThatKnowsIt) {
  relay_limits Limits;
  Limits.ReadyWait = std::chrono::seconds(20);
  headed_relay Relay(retry_mode::Resume, Limits);
  Relay.setLagging();
  Relay.send("p", {}, "/new/b");
  Relay.settle();
  Relay.declareRoute("/new/");
  EXPECT_EQ(Relay.next<request_arrived>().Facts.Service, service_name("route"));
}

// What it does know is served as before.
TEST(ACallOfAKnownRoute, IsServedWhileANewerDeclarationIsOnItsWay) {
  headed_relay Relay;
  Relay.setLagging();
  Relay.call("p");
  EXPECT_EQ(Relay.Facts.Service, service_name("route"));
}

// The second engine starts one event too early, as one that was asked to go on behind 2 and has
// counted differently. The caller has event 2 already.
TEST(AStreamThatBreaksOff, LeavesOutWhatTheCallerHas) {
  const scripted_server Breaks([](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1) + eventText(2)));
    resetConnection(Socket);
  });
  const scripted_server Early([](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(2) + eventText(3)) + "0\r\n\r\n");
  });
  headed_relay Relay;
  Relay.call("p");
  Relay.start(Breaks, 1);
  Relay.next<attempt_failed>();
  Relay.start(Early, 2);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, eventText(2)), 1U);
  EXPECT_EQ(countOf(Answer, eventText(3)), 1U);
}

// The second engine leaves an event out. Passed on, the stream would lack a part and end as whole.
TEST(AStreamThatBreaksOff, EndsCutWhereTheNextEngineLeavesAnEventOut) {
  const scripted_server Breaks([](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)));
    resetConnection(Socket);
  });
  const scripted_server Skips([](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(3)) + "0\r\n\r\n");
  });
  headed_relay Relay;
  Relay.call("p");
  Relay.start(Breaks, 1);
  Relay.next<attempt_failed>();
  Relay.start(Skips, 2);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::BrokenMidway);
  Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, eventText(3)), 0U);
  EXPECT_FALSE(looksWhole(Answer));
}

// An answer without a length ends with its connection. Closed, it is whole; reset, it is not, and
// the caller must not take the part for the whole.
TEST(AnAnswerWithoutALength, IsWholeWhereTheServerCloses) {
  const scripted_server Closes([](auto &Socket, const seen_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nConnection: close\r\n\r\nall of it");
  });
  headed_relay Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(Closes, 1, false);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, "all of it"), 1U);
  EXPECT_TRUE(looksWhole(Answer));
}

TEST(AnAnswerWithoutALength, IsCutWhereTheServerResets) {
  const scripted_server Resets([](auto &Socket, const seen_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nConnection: close\r\n\r\nhalf");
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // The bytes go out before.
    resetConnection(Socket);
  });
  headed_relay Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(Resets, 1, false);
  Relay.next<attempt_failed>();
  Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
  EXPECT_FALSE(looksWhole(Relay.answer()));
}

// A server breaks off in the middle of an answer with a length. Nothing of it is with the caller
// yet, so that another server's answer can be the caller's: it reads one whole answer.
TEST(AnAnswerWithALength, IsAskedForElsewhereWhereItBreaksOff) {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 10\r\n\r\n";
  const scripted_server Breaks([&Head](auto &Socket, const seen_request &) {
    sendText(Socket, Head + "half:");
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // The bytes go out before.
    resetConnection(Socket);
  });
  const scripted_server Answers(
      [&Head](auto &Socket, const seen_request &) { sendText(Socket, Head + "all of it."); });
  headed_relay Relay(retry_mode::Always);
  Relay.call("p");
  Relay.start(Breaks, 1);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::BrokenSent);
  Relay.start(Answers, 2);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, "HTTP/1.1"), 1U) << Answer;
  EXPECT_EQ(countOf(Answer, "half:"), 0U);
  EXPECT_TRUE(Answer.ends_with("all of it."));
}

// A kept connection brings an answer that belongs to another send. Passed on, a caller would read
// somebody else's answer.
TEST(AnAnswer, OfAnotherSendIsNotPassedOn) {
  const scripted_server Crossed([](auto &Socket, const seen_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s0\r\nContent-Length: 6\r\n\r\nsecret");
  });
  headed_relay Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(Crossed, 1, false);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::BadAnswer);
  Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, "secret"), 0U);
  EXPECT_EQ(countOf(Answer, "HTTP/1.1 502"), 1U) << Answer;
}

// A server that says that it did not start has not run the request: the caller may be told so, by
// the one status that promises it.
TEST(AnAnswer, ThatSaysNotRunBecomesAPromise) {
  const scripted_server Full([](auto &Socket, const seen_request &) {
    sendText(Socket,
             "HTTP/1.1 503 Full\r\nX-Send: s1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  headed_relay Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(Full, 1, false);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::Declined);
  Relay.finish(final_outcome::NotRun, failure_reason::DeadlineExceeded);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, "HTTP/1.1 503"), 1U) << Answer;
  EXPECT_EQ(countOf(Answer, "Retry-After: 1"), 1U) << Answer;
}

// The server's own error is its answer where nothing better can follow; status and body stay its
// own.
TEST(AnAnswer, WithAnErrorIsPassedOnWhereNoOtherAttemptMayFollow) {
  const scripted_server Fails([](auto &Socket, const seen_request &) {
    sendText(Socket,
             "HTTP/1.1 500 Oops\r\nX-Send: s1\r\nX-Sign: 7\r\nContent-Length: 4\r\n\r\noops");
  });
  headed_relay Relay(retry_mode::Always);
  Relay.call("p");
  Relay.start(Fails, 1, true);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::ErrorAnswer);
  Relay.start(Fails, 2, false);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(countOf(Answer, "HTTP/1.1 500"), 1U);
  EXPECT_EQ(countOf(Answer, "X-Sign: 7"), 1U);
  EXPECT_TRUE(Answer.ends_with("oops"));
}

// All control hosts were lost for a moment. The entry has no declaration in force when a request
// comes, and has one again before its patience ends: the request is served, not refused.
TEST(AnEntryWithoutADeclaration, LetsARequestWaitForTheNextOne) {
  const scripted_server Server([](auto &Socket, const seen_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok");
  });
  relay_limits Limits;
  Limits.ReadyWait = std::chrono::seconds(10);
  headed_relay Relay(retry_mode::Never, Limits);
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

// A host that stops is told to. A caller's idle connection to it would carry the next request to a
// host that takes none any more; closed, the caller goes elsewhere.
TEST(AHostThatStops, ClosesIdleConnectionsAtOnce) {
  headed_relay Relay;
  Relay.connect();
  auto Answer = std::async(std::launch::async, [&Relay] { return Relay.answer(); });
  // Asked again until the connection has been accepted.
  while (Answer.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready)
    Relay.drain();
  EXPECT_EQ(Answer.get(), "");
}

TEST(AHostThatStops, StillServesAndEndsTheConnectionBehindTheAnswer) {
  const scripted_server Server([](auto &Socket, const seen_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok");
  });
  headed_relay Relay(retry_mode::Never);
  Relay.drain();
  Relay.call("p");
  Relay.start(Server, 1, false);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_EQ(countOf(Relay.answer(), "Connection: close"), 1U);
}

// The caller hangs up while its stream runs. The decision thread is told, and once it has given the
// attempt up, the server sees its connection end.
TEST(ACallerThatLeaves, EndsTheWorkOfItsStream) {
  std::promise<bool> Ended;
  const scripted_server Endless([&Ended](auto &Socket, const seen_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)));
    char Byte = 0;
    boost::system::error_code Code;
    Socket.read_some(boost::asio::buffer(&Byte, 1), Code);
    Ended.set_value(static_cast<bool>(Code));
  });
  headed_relay Relay;
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
