/** @file backend_exchange_relay.cpp Relays an answer to the caller. */
#include "relay/attempt_head_func.h"
#include "relay/backend_exchange_base.h"

namespace pollenstall {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Progress is reported to the decision thread once per this many events.
constexpr std::uint64_t EventsPerReport = 16;
/// The token counts are at the end of a complete answer.
constexpr std::size_t UsageTailBytes = 2048;
/// Space that an exchange keeps while no part of its answer waits.
constexpr std::size_t KeptPartBytes = 16U << 10U;

constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

/// An answer that ends with the server's connection is sent in chunks: the caller's connection can
/// then serve further requests, and the answer of a killed entry is visibly incomplete.
answer_framing callerFraming(body_framing Framing) {
  switch (Framing) {
  case body_framing::Empty:
    return answer_framing::None;
  case body_framing::Length:
    return answer_framing::Length;
  default:
    return answer_framing::Chunked;
  }
}

void keepTail(std::string &Tail, std::string_view Part) {
  Tail.append(Part.substr(Part.size() > UsageTailBytes ? Part.size() - UsageTailBytes : 0));
  if (Tail.size() > UsageTailBytes)
    Tail.erase(0, Tail.size() - UsageTailBytes);
}

} // namespace

answer_head backend_exchange::makeAnswerHead(answer_framing Framing) {
  auto &Message = Feed.message();
  answer_head Head;
  Head.Status = Message.get().result_int();
  if (Call->HeaderRouted) {
    Head.Headers = endToEndHeaders(Message.get(), [](std::string_view) { return false; });
  } else {
    Head.Headers = forwardedAnswerHeaders(Message.get());
    Head.Headers.push_back({"X-Request-Id", Call->RequestId});
  }
  Head.Close = Context.Draining;
  Head.Framing = Framing;
  if (const auto Length = Message.content_length())
    Head.Length = *Length;
  else if (const auto HeaderValue = Message.get()[http::field::content_length];
           !HeaderValue.empty())
    Head.Length = std::strtoull(std::string(HeaderValue).c_str(), nullptr, 10);
  return Head;
}

asio::awaitable<bool> backend_exchange::startAnswer(answer_framing Framing,
                                                    std::string_view First) {
  takeCaller();
  Call->Stage = Framing == answer_framing::Chunked && isEventStream() ? answer_stage::Stream
                                                                      : answer_stage::NoStream;
  Call->FirstByte = boot_clock::now();
  // If a stream breaks off, another attempt continues it with the same body.
  if (!Call->HeaderRouted || !Call->Facts.Resumable)
    Call->Request.Body.reset();
  co_return co_await Call->Caller->writeHead(makeAnswerHead(Framing), First);
}

void backend_exchange::beginRelaying() {
  if (!std::exchange(Relaying, true))
    ++Call->RelayingAttempts;
}

void backend_exchange::endRelaying() {
  if (Call->RelayedBy == Order.Attempt.Ordinal)
    Call->Answerer = answerer_state::Ended;
  if (Answering)
    Context.Activity.endAnswer(Order.Backend);
  if (!std::exchange(Relaying, false))
    return;
  --Call->RelayingAttempts;
  Call->Changed.notify();
}

void backend_exchange::takeCaller() {
  Call->RelayedBy = Order.Attempt.Ordinal;
  Call->Answerer = answerer_state::Running;
  if (Call->LastAttempt != Order.Attempt) {
    Call->LastAttempt = Order.Attempt;
    Call->LastBackend = Order.Backend;
  }
}

exchange_end backend_exchange::yieldToOther() {
  Abandoned = true;
  return {attempt_failure::BrokenSent, {}};
}

void backend_exchange::noteRelayed(std::uint64_t Events, std::size_t Bytes) {
  Context.Metrics.countEvents(Events);
  Context.Metrics.countAnswerBytes(Bytes);
  const mono_time Now = boot_clock::now();
  if (Events > 0)
    Call->Gaps.note(Now);
  Context.Activity.recordBytes(Order.Backend, Now);
  if (Holds)
    Holds->recordUse();
  if (!Answering) {
    Answering = true;
    Context.Activity.beginAnswer(Order.Backend, Now);
    Context.Crashes.onRunBegun(*Call, *Context.Suspects);
    Context.Outbox.push(attempt_answering{Order.Attempt});
    Events = Events > 0 ? Events - 1 : 0;
  }
  UnreportedEvents += Events;
  if (UnreportedEvents >= EventsPerReport || SilenceReported)
    flushProgress();
}

void backend_exchange::flushProgress() {
  if (UnreportedEvents == 0 && !SilenceReported)
    return;
  Context.Outbox.push(attempt_advanced{Order.Attempt, UnreportedEvents});
  UnreportedEvents = 0;
  SilenceReported = false;
}

bool backend_exchange::fitsMemory() {
  std::string &Part = Feed.body();
  // The space of an earlier, larger part would count for as long as the answer lasts.
  if (Part.empty() && Part.capacity() > KeptPartBytes)
    Part.shrink_to_fit();
  return FeedMemory.resize(Part.capacity());
}

bool backend_exchange::isEventTooLong() {
  return !fitsMemory() || Feed.body().size() > Context.Limits.MaxEventBytes;
}

bool backend_exchange::feedAvailable() {
  const timed_socket::read_result Read = Connection->readNow();
  return !Read.Ended && (Read.Bytes.empty() || Feed.feed(Read.Bytes));
}

// One coroutine for the whole stream: each nested one would cost a frame per event.
asio::awaitable<exchange_end> backend_exchange::relayEvents() {
  using part_state = caller_connection::part_state;
  Scanner = event_scanner(Call->LastEvent);
  beginRelaying();
  const exchange_end Bad{attempt_failure::BadAnswer, {}};
  boost::system::error_code Code;
  while (true) {
    const auto Scan = Scanner.scan(Feed.body());
    if (!succeeded(Scan))
      co_return Bad;
    const std::size_t EventBytes = valueOf(Scan).WholeBytes;
    Progress.Events += valueOf(Scan).Events;
    Progress.UnfinishedBytes = Feed.body().size() - EventBytes;
    if (EventBytes > 0) {
      const std::string_view Ready = std::string_view(Feed.body()).substr(0, EventBytes);
      if (!mayRelay())
        co_return yieldToOther();
      // Report first: an attempt whose bytes the caller may have must not count as unanswered.
      noteRelayed(valueOf(Scan).Events, EventBytes);
      Call->LastEvent = Scanner.lastId();
      part_state Part = part_state::Written;
      if (Call->Stage == answer_stage::None)
        Part = co_await startAnswer(answer_framing::Chunked, Ready) ? part_state::Written
                                                                    : part_state::Broken;
      else
        Part = Call->Caller->tryPart(Ready);
      if (Part == part_state::Waiting && co_await Call->Caller->flush())
        Part = part_state::Written;
      Feed.body().erase(0, EventBytes);
      if (Part != part_state::Written) {
        Context.noteCallerGone(*Call);
        Abandoned = true;
      }
    }
    if (Scanner.ended() && !Abandoned)
      break;
    if (isEventTooLong())
      co_return Bad;
    if (!Abandoned && !Feed.done())
      co_await Connection->waitRead(Code);
    if (Abandoned || Feed.done() || Code || !feedAvailable())
      co_return exchange_end{Call->Stage == answer_stage::None ? attempt_failure::BrokenSent
                                                               : attempt_failure::BrokenMidway,
                             {}};
  }
  if (!co_await Call->Caller->writeEnd())
    Context.noteCallerGone(*Call);
  Call->Stage = answer_stage::Ended;
  co_return exchange_end{std::nullopt, parseUsage(Scanner.usageData())};
}

body_framing backend_exchange::bodyFraming() {
  auto &Message = Feed.message();
  const unsigned Status = Message.get().result_int();
  if (Call->Request.Method == "HEAD" || Status == NoContent || Status == NotModified)
    return body_framing::Empty;
  if (Message.chunked())
    return body_framing::Chunked;
  return Message.content_length() ? body_framing::Length : body_framing::Connection;
}

answer_verdict backend_exchange::judgeEnd() {
  Progress.MessageDone = Feed.done();
  Progress.Connection = Connection->receivingEnd();
  return judgeAnswerEnd(Progress);
}

void backend_exchange::recordEnd(const exchange_end &End) {
  if (!Connection || !Feed.headDone() || Abandoned)
    return;
  const answer_verdict Verdict = judgeEnd();
  Call->LastAnswer = Progress;
  Context.Metrics.countAnswerEnd(Progress.Framing, Verdict.Reason);
  if (End.Failure && Verdict.End == answer_end::BrokenOff && Context.AtAnswerBroken)
    Context.AtAnswerBroken({Order.Attempt, Order.Backend, Progress, Verdict.Reason, Call->LastEvent,
                            Call->Stage != answer_stage::None});
}

/**
 * Once the head of an answer of known length is relayed, only a reset can signal that the rest will
 * not arrive. Some callers' libraries miss the reset (2 of 200 breaks, with node-fetch 2) and wait
 * forever. If the answer is buffered until it is complete, a broken answer becomes an error, or
 * another server's answer if the call may be repeated.
 */
bool backend_exchange::isBufferedAnswer() {
  const auto Length = Feed.message().content_length();
  return Length && *Length <= Context.Limits.HeldAnswerBytes;
}

/// Once its head has been relayed, a truncated answer without events is a BadAnswer, not a broken
/// stream: a resume would append events to half of a JSON body.
asio::awaitable<exchange_end> backend_exchange::relayWholeAnswer() {
  EndsWithConnection = Progress.Framing == body_framing::Connection;
  if (EndsWithConnection && !Call->HeaderRouted)
    co_return exchange_end{attempt_failure::BadAnswer, {}};
  const answer_framing Framing = callerFraming(Progress.Framing);
  beginRelaying();
  bool Held = isBufferedAnswer();
  std::string Tail;
  while (true) {
    std::string &Body = Feed.body();
    const bool Started = Call->Stage != answer_stage::None;
    const bool Ready = Feed.done() || (!Held && !Body.empty());
    if (Ready && !mayRelay())
      co_return yieldToOther();
    if (Ready) {
      keepTail(Tail, Body);
      noteRelayed(0, Body.size());
      const bool Written =
          Started ? co_await Call->Caller->writePart(Body) : co_await startAnswer(Framing, Body);
      Body.clear();
      if (!Written) {
        Context.noteCallerGone(*Call);
        Abandoned = true;
      }
    }
    if (Feed.done())
      break;
    // Without memory for the whole answer, its parts are relayed as they arrive.
    Held = fitsMemory() && Held;
    if (!Abandoned && co_await readMore())
      continue;
    if (!Abandoned && judgeEnd().End == answer_end::Whole && Feed.finish())
      continue;
    co_return exchange_end{Call->Stage == answer_stage::None ? attempt_failure::BrokenSent
                                                             : attempt_failure::BadAnswer,
                           {}};
  }
  if (!co_await Call->Caller->writeEnd())
    Context.noteCallerGone(*Call);
  Call->Stage = answer_stage::Ended;
  co_return exchange_end{std::nullopt, parseUsage(Tail)};
}

} // namespace pollenstall
