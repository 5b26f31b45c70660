/** @file caller_session_end.cpp Sends the result to the caller and records it. */
#include "relay/call_error_func.h"
#include "relay/caller_session_base.h"

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::string_view OutcomeHeader = "X-Pollenstall-Outcome";
/// Chat/completions libraries check this header before the status.
constexpr std::string_view ShouldRetryHeader = "X-Should-Retry";

std::chrono::milliseconds elapsed(mono_time Start, mono_time End) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(End - Start);
}

/// Bounds the name for the log, because any caller may choose it, authenticated or not.
std::string loggedName(const std::string &SendName) {
  constexpr std::size_t MaxLoggedNameBytes = 128;
  return SendName.substr(0, MaxLoggedNameBytes);
}

/**
 * The decision thread may decide "not run" while the relay thread passes the first byte to the
 * kernel. Only the relay thread knows which bytes were sent, so it corrects the outcome.
 */
finish_request correctedFinish(const relayed_call &Call) {
  finish_request Finish = *Call.Finish;
  const bool NoAttempt = Finish.Reason == failure_reason::AlreadyRunning ||
                         Finish.Reason == failure_reason::AlreadyComplete;
  if (Finish.Outcome == final_outcome::NotRun && Call.mayHaveRun() && !NoAttempt) {
    Finish.Outcome = final_outcome::Unknown;
    Finish.RetryAfter.reset(); // It would invite a second run.
  }
  if (Call.Stage == answer_stage::Ended) {
    Finish.Outcome = final_outcome::Complete;
    Finish.Reason = failure_reason::None;
  }
  return Finish;
}

} // namespace

asio::awaitable<bool> caller_session::writeError(const call_error &Error,
                                                 const std::string &RequestId, bool Close) {
  answer_head Head;
  Head.Status = Error.Status;
  // For callers of declared routes, 503 guarantees that nothing was run and 504 guarantees nothing.
  constexpr unsigned Unavailable = 503;
  constexpr unsigned FirstServerError = 500;
  if (Context.Interface.isSet() && Error.Outcome == final_outcome::NotRun &&
      Error.Status >= FirstServerError)
    Head.Status = Unavailable;
  Head.Headers.push_back({"Content-Type", "application/json"});
  Head.Headers.push_back({std::string(OutcomeHeader), std::string(outcomeText(Error.Outcome))});
  if (Error.RetryAfter)
    Head.Headers.push_back({"Retry-After", std::to_string(Error.RetryAfter->count())});
  if (!Error.Repeatable)
    Head.Headers.push_back({std::string(ShouldRetryHeader), "false"});
  if (!RequestId.empty())
    Head.Headers.push_back({"X-Request-Id", RequestId});
  if (Error.Type == "authentication_error")
    Head.Headers.push_back({"WWW-Authenticate", "Bearer"});
  Head.Close = Close;
  const std::string Body = errorBody(Error);
  co_return co_await Caller->writeWhole(std::move(Head), Body);
}

asio::awaitable<void> caller_session::writeErrorEvent(const call_error &Error) {
  const std::string Event = "event: error\ndata: " + errorBody(Error) + "\n\n";
  // The last chunk is omitted, so that a caller that ignores the event still sees a truncated
  // answer.
  co_await Caller->writePart(Event);
}

asio::awaitable<caller_session::next_step>
caller_session::refuse(call_error Error, const std::string &Account, next_step After) {
  Context.Metrics.countRequest(Error.Outcome, Error.Code);
  if (Context.AtCallEnd) {
    call_record Record;
    Record.SendName = loggedName(SendName);
    Record.Account = Account;
    Record.Outcome = Error.Outcome;
    Record.Reason = Error.Code;
    Record.Field = Error.Field;
    Context.AtCallEnd(Record);
  }
  const bool Written = co_await writeError(Error, "", After != next_step::Continue);
  co_return Written ? After : next_step::Close;
}

asio::awaitable<caller_session::next_step> caller_session::conclude(relayed_call &Call,
                                                                    bool KeepAlive) {
  KeepAlive = KeepAlive && !Context.Draining;
  const finish_request Finish = correctedFinish(Call);
  record(Call, Finish);
  if (Finish.Outcome == final_outcome::Complete)
    Context.Durations.record(Call.Facts.Service, lengthClassOf(Call.Facts.Prompt),
                             boot_clock::now() - Call.Facts.Arrived);
  Call.Request.Body.reset();
  if (Call.CallerGone)
    co_return next_step::Close;
  switch (Call.Stage) {
  case answer_stage::Ended:
    co_return KeepAlive ? next_step::Continue : next_step::Close;
  case answer_stage::None: {
    const bool Written =
        co_await writeError(errorFor(Finish, Call.Facts.Idempotent), Call.RequestId, !KeepAlive);
    co_return Written &&KeepAlive ? next_step::Continue : next_step::Close;
  }
  case answer_stage::Stream:
    // The body must contain only the engine's bytes; without the last chunk it is visibly
    // incomplete.
    if (Call.HeaderRouted)
      co_return next_step::CloseAfterDrain;
    co_await writeErrorEvent(errorFor(Finish, Call.Facts.Idempotent));
    co_return next_step::CloseAfterDrain;
  default:
    // Part of an answer of known length has been sent: only a reset shows that it is truncated.
    Caller->socket().abort();
    co_return next_step::Close;
  }
}

length_class caller_session::lengthClassOf(tokens Prompt) const {
  if (!Context.Declaration)
    return length_class::Short;
  const policy_declaration &Policy = Context.Declaration->declaration().Policy;
  if (Prompt < Policy.ShortBelow)
    return length_class::Short;
  return Prompt < Policy.LongFrom ? length_class::Medium : length_class::Long;
}

void caller_session::record(const relayed_call &Call, const finish_request &Finish) const {
  const mono_time Now = boot_clock::now();
  const std::string Reason(reasonText(Finish.Reason));
  Context.Metrics.countRequest(Finish.Outcome, Reason);
  if (Call.FirstByte)
    Context.Metrics.observeFirstToken(
        lengthClassOf(Call.Facts.Prompt),
        std::chrono::duration<double>(*Call.FirstByte - Call.Facts.Arrived).count());
  if (const auto Gap = Call.Gaps.longest())
    Context.Metrics.observeGap(lengthClassOf(Call.Facts.Prompt),
                               std::chrono::duration<double>(*Gap).count());
  if (!Context.AtCallEnd)
    return;
  call_record Record;
  Record.RequestId = Call.RequestId;
  Record.SendName = loggedName(Call.SendName);
  Record.Account = Call.Facts.Account.str();
  Record.Service = Call.Facts.Service.str();
  if (Call.LastBackend)
    Record.Backend = toText(*Call.LastBackend);
  if (Call.LastAttempt)
    Record.Attempt = toText(*Call.LastAttempt);
  Record.Peer = Call.LastPeer;
  if (Call.LastConnect)
    Record.ConnectTook = std::chrono::duration_cast<std::chrono::milliseconds>(*Call.LastConnect);
  Record.Outcome = Finish.Outcome;
  Record.Reason = Reason;
  Record.Prompt = Call.Facts.Prompt;
  Record.Took = elapsed(Call.Facts.Arrived, Now);
  if (Call.LastSent)
    Record.SentAfter = elapsed(Call.Facts.Arrived, *Call.LastSent);
  if (Call.FirstByte)
    Record.FirstByteAfter = elapsed(Call.Facts.Arrived, *Call.FirstByte);
  if (const auto Gap = Call.Gaps.longest())
    Record.LongestGap = std::chrono::duration_cast<std::chrono::milliseconds>(*Gap);
  Record.LastAnswer = Call.LastAnswer;
  Context.AtCallEnd(Record);
}

} // namespace pollenstall
