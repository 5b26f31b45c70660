/** @file backend_exchange.cpp Connect, send, judge the head, end. */
#include "relay/backend_exchange_base.h"

#include "relay/attempt_head_func.h"
#include "relay/call_error_func.h"
#include "relay/request_mark_func.h"
#include "relay/rethrow_func.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace pollenstall {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned FirstServerError = 500;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;

constexpr std::string_view AttemptHeader = "X-Pollenstall-Attempt";
constexpr std::string_view StartedHeader = "X-Pollenstall-Started";

/// @return How long a server that says "timeout=SECONDS" keeps an idle connection, less a margin
/// for the way; nothing where it does not say.
std::optional<std::chrono::milliseconds> idleLimitOf(boost::beast::string_view KeepAlive) {
  constexpr std::string_view Key = "timeout=";
  constexpr std::chrono::milliseconds Margin{500};
  const std::string_view Text(KeepAlive.data(), KeepAlive.size());
  const std::size_t At = Text.find(Key);
  if (At == std::string_view::npos)
    return std::nullopt;
  std::int64_t Seconds = 0;
  const std::string_view Number = Text.substr(At + Key.size());
  const auto Parsed = std::from_chars(Number.data(), Number.data() + Number.size(), Seconds);
  if (Parsed.ec != std::errc{} || Seconds < 0)
    return std::nullopt;
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::milliseconds(std::chrono::seconds(Seconds)) - Margin);
}

boost::beast::string_view beastView(std::string_view Text) { return {Text.data(), Text.size()}; }

} // namespace

void backend_exchange::start() {
  asio::co_spawn(
      Context.Io, [Self = shared_from_this()] { return Self->run(errand::Start); }, rethrow);
}

void backend_exchange::resume() {
  asio::co_spawn(
      Context.Io, [Self = shared_from_this()] { return Self->run(errand::Resume); }, rethrow);
}

void backend_exchange::abandon() {
  Abandoned = true;
  if (Holds)
    Holds->release();
  if (Link)
    Link->abort();
}

asio::awaitable<void> backend_exchange::run(errand Errand) {
  const exchange_end End = co_await perform(Errand);
  if (Call->Relaying) {
    Call->Relaying = false;
    Call->Changed.notify();
  }
  noteProvedNotRun(End);
  noteForSuspects(End);
  if (!Abandoned)
    report(End);
  if (!End.Failure && !Abandoned)
    co_await returnLink();
  if (Link)
    Link->abort();
  if (Holds)
    Holds->release();
  Ended(*this);
}

void backend_exchange::noteProvedNotRun(const exchange_end &End) {
  if (Sent && End.Failure && provesNotRun(*End.Failure) && Call->SentAttempts > 0)
    --Call->SentAttempts;
}

void backend_exchange::noteForSuspects(const exchange_end &End) {
  const bool Broke =
      End.Failure == attempt_failure::BrokenSent || End.Failure == attempt_failure::BrokenMidway;
  if (Broke && Link && !Abandoned && !Link->expired())
    return Context.Crashes.noteBroken(Order.Backend, Call);
  if (End.Failure || !Context.AtSuspectCleared)
    return;
  if (const auto Mark = markIfSuspected(*Context.Suspects, *Call))
    Context.AtSuspectCleared({*Mark});
}

void backend_exchange::report(const exchange_end &End) {
  flushProgress();
  if (!End.Failure) {
    Context.Metrics.countAttemptEnd("complete");
    if (End.Usage.PromptTokens && Call->Kind == service_kind::Model)
      Context.Tokens.observe(Call->Facts.Model, Call->PromptBytes, *End.Usage.PromptTokens);
    Context.Outbox.push(attempt_completed{Order.Attempt, End.Usage.PromptTokens,
                                          End.Usage.AnswerTokens, End.Usage.CachedTokens});
    return;
  }
  Context.Metrics.countAttemptEnd(std::string(attemptFailureText(*End.Failure)));
  Context.Outbox.push(attempt_failed{Order.Attempt, *End.Failure, AtFault});
}

asio::awaitable<exchange_end> backend_exchange::perform(errand Errand) {
  // Bytes of an older attempt at the caller forbid this one's; it is proved not to have run.
  if (Errand == errand::Start && !Call->mayRelay(Order.Attempt.Ordinal))
    co_return exchange_end{attempt_failure::NotWanted, {}};
  if (!Order.Holds.empty() && Errand == errand::Start) {
    // The holds outlive this exchange while they are given back, and ask no more then.
    Holds = std::make_shared<memory_holds>(Context, Order.Attempt, Order.Holds,
                                           [this] { return isStillWanted(); });
    const bool Held = co_await Holds->take();
    if (!Held && isStillWanted())
      co_return exchange_end{attempt_failure::Declined, {}};
  }
  if (!isStillWanted())
    co_return exchange_end{attempt_failure::NotWanted, {}};
  const link_age Age = Call->Facts.Idempotent ? link_age::Any : link_age::Fresh;
  Link = co_await Context.Links.open(Order.Backend, Age);
  if (!Link)
    co_return exchange_end{attempt_failure::NotConnected, {}};
  if (!isStillWanted())
    co_return exchange_end{attempt_failure::NotWanted, {}};
  Link->expireAt(Call->Facts.Deadline + DeadlineGrace);
  if (const auto Failure = co_await send(Errand))
    co_return exchange_end{Failure, {}};
  if (const auto Failure = co_await readHead())
    co_return exchange_end{Failure, {}};
  if (const auto Failure = judgeHead(Errand))
    co_return exchange_end{Failure, {}};
  const bool Events = Call->Kind == service_kind::Model && isEventStream();
  const bool OpenEvents = Call->Headed && isEventStream();
  // Only one attempt may pass its answer on, and from here on it is this one.
  if (!Call->mayRelay(Order.Attempt.Ordinal))
    co_return exchange_end{attempt_failure::BrokenSent, {}};
  if (OpenEvents)
    co_return co_await relayOpenEvents();
  if (Events)
    co_return co_await relayEvents();
  co_return co_await relayWhole();
}

bool backend_exchange::isBlocked() const {
  const auto Mark = markIfSuspected(*Context.Suspects, *Call);
  return Mark && Context.Suspects->blockedUntil(*Mark, boot_clock::now());
}

bool backend_exchange::isStillWanted() {
  // Its watcher runs when this thread comes to it; the close may have arrived already.
  if (Call->Caller->socket().peerClosed())
    Context.noteCallerGone(*Call);
  return !Abandoned && !Call->Finish && !Call->CallerGone &&
         boot_clock::now() < Call->Facts.Deadline && !isBlocked();
}

asio::awaitable<std::optional<attempt_failure>> backend_exchange::send(errand Errand) {
  const std::shared_ptr<const held_body> Body = Call->Request.Body;
  const bool Start = Errand == errand::Start;
  const std::string Head =
      Call->Headed ? headedAttemptHead(*Call, Order, Context.Interface, boot_clock::now())
      : Start      ? attemptHead(*Call, Order, boot_clock::now())
                   : resumeHead(*Call, resume_attempt{Order.Attempt, Order.Backend});
  // Told before the first byte is handed to the kernel: from here on "not run" has to be proved.
  Context.Outbox.push(attempt_sending{Order.Attempt});
  if (Start)
    ++Call->SentAttempts;
  Sent = Start;
  const asio::const_buffer BodyPart = Start && Body
                                          ? asio::const_buffer(Body->Text.data(), Body->Text.size())
                                          : asio::const_buffer();
  const std::array Buffers{asio::const_buffer(Head.data(), Head.size()), BodyPart};
  Call->LastSent = boot_clock::now();
  const std::size_t Taken = co_await Link->writeAll(Buffers);
  if (Taken == 0)
    co_return attempt_failure::BrokenUnsent;
  SentAll = Taken == asio::buffer_size(Buffers);
  // A server may decline and close before it has read everything: its answer is still looked for.
  co_return std::nullopt;
}

asio::awaitable<bool> backend_exchange::readMore() {
  const std::string_view Read = co_await Link->readSome();
  co_return !Abandoned && !Read.empty() && Feed->feed(Read);
}

asio::awaitable<std::optional<attempt_failure>> backend_exchange::readHead() {
  while (true) {
    if (Call->Request.Method == "HEAD")
      Feed->message().skip(true);
    while (!Feed->headDone()) {
      const std::string_view Read = co_await Link->readSome();
      if (Abandoned || (Read.empty() && !Link->expired()))
        co_return attempt_failure::BrokenSent;
      if (Read.empty())
        co_return attempt_failure::TimedOut;
      if (!Feed->feed(Read))
        co_return attempt_failure::BadAnswer;
    }
    if (Feed->message().get().result_int() >= FirstFinalStatus)
      co_return std::nullopt;
    // An interim answer (1xx); the final one follows on the same connection.
    const std::string Left = Feed->takeLeft();
    Feed.emplace(Context.Limits.HeaderBytes);
    if (!Feed->feed(Left))
      co_return attempt_failure::BadAnswer;
  }
}

bool backend_exchange::namesOtherAttempt() {
  const auto &Message = Feed->message().get();
  const auto Named = Message[beastView(AttemptHeader)];
  if (!Named.empty())
    return std::string_view(Named.data(), Named.size()) != toText(Order.Attempt);
  // Engines echo the attempt on every answer with content; a plain service need not know of it.
  const unsigned Status = Message.result_int();
  return Call->Kind == service_kind::Model && Status >= Ok && Status < FirstRedirect;
}

bool backend_exchange::isEventStream() {
  const auto Type = Feed->message().get()[http::field::content_type];
  return boost::beast::iequals(Type.substr(0, Type.find(';')), "text/event-stream");
}

bool backend_exchange::isErrorStatus(unsigned Status) const {
  if (Call->Kind == service_kind::Model)
    return Status >= FirstServerError;
  // A plain service's own errors are its answers; these three come from what stands before it.
  return Status == BadGateway || Status == Unavailable || Status == GatewayTimeout;
}

std::optional<attempt_failure> backend_exchange::judgeHead(errand Errand) {
  if (Call->Headed)
    return judgeHeadedAnswer();
  const auto &Message = Feed->message().get();
  const unsigned Status = Message.result_int();
  if (namesOtherAttempt())
    return attempt_failure::BadAnswer;
  if (Errand == errand::Resume)
    return Status == Ok && isEventStream()
               ? std::nullopt
               : std::optional<attempt_failure>(attempt_failure::BrokenMidway);
  const bool Declines = Status == Unavailable || Status == TooManyRequests;
  if (Declines && boost::beast::iequals(Message[beastView(StartedHeader)], "no"))
    return attempt_failure::Declined;
  if (isErrorStatus(Status))
    return attempt_failure::ErrorAnswer;
  return std::nullopt;
}

std::optional<attempt_failure> backend_exchange::judgeHeadedAnswer() {
  const auto &Message = Feed->message().get();
  const unsigned Status = Message.result_int();
  const answer_facts Facts = Context.Interface.ReadAnswer(Message, Call->SendName);
  if (Facts.OtherSend)
    return attempt_failure::BadAnswer;
  AtFault = Facts.AtFault;
  if (Facts.NotRun)
    return attempt_failure::Declined;
  if (Call->goesOn())
    return Status == Ok && isEventStream()
               ? std::nullopt
               : std::optional<attempt_failure>(attempt_failure::BrokenMidway);
  // A failure that no other attempt may better is the answer; it is passed on as it is.
  if (Status >= FirstServerError && Call->Facts.Idempotent && Order.MayRetry)
    return attempt_failure::ErrorAnswer;
  return std::nullopt;
}

asio::awaitable<void> backend_exchange::returnLink() {
  constexpr std::chrono::seconds TrailerLimit{1};
  // What of the request is still due would be read as the next one's.
  if (!SentAll || Unframed)
    co_return;
  Link->expireAt(boot_clock::now() + TrailerLimit);
  // Behind "[DONE]" the last chunk may still be under way.
  while (!Feed->done() && Feed->body().empty())
    if (!co_await readMore())
      co_return;
  if (!Feed->done() || !Feed->body().empty() || Feed->hasLeft() || !Feed->message().keep_alive())
    co_return;
  Context.Links.giveBack(Order.Backend, std::move(Link),
                         idleLimitOf(Feed->message().get()[http::field::keep_alive]));
}

} // namespace pollenstall
