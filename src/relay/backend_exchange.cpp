/** @file backend_exchange.cpp Connects, sends the request, checks the head and finishes the
 * exchange. */
#include "relay/backend_exchange_base.h"

#include "relay/attempt_head_func.h"
#include "relay/call_error_func.h"
#include "relay/request_fingerprint_func.h"
#include "relay/rethrow_func.h"
#include "relay/retry_after_func.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace pollenstall {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned FirstServerError = 500;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;

constexpr std::string_view AttemptHeader = "X-Pollenstall-Attempt";
constexpr std::string_view StartedHeader = "X-Pollenstall-Started";
constexpr std::string_view LeavingHeader = "X-Pollenstall-Leaving";

/// Returns the idle timeout from "timeout=SECONDS", reduced by a margin for network latency;
/// nothing if the server sent none.
std::optional<std::chrono::milliseconds> idleLimitOf(boost::beast::string_view KeepAlive) {
  constexpr std::string_view Key = "timeout=";
  constexpr std::chrono::milliseconds Margin{500};
  const std::string_view Text(KeepAlive.data(), KeepAlive.size());
  const std::size_t At = Text.find(Key);
  if (At == std::string_view::npos)
    return std::nullopt;
  std::int64_t Seconds = 0;
  const std::string_view SecondsText = Text.substr(At + Key.size());
  const auto Parsed =
      std::from_chars(SecondsText.data(), SecondsText.data() + SecondsText.size(), Seconds);
  if (Parsed.ec != std::errc{} || Seconds < 0)
    return std::nullopt;
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::milliseconds(std::chrono::seconds(Seconds)) - Margin);
}

boost::beast::string_view beastView(std::string_view Text) { return {Text.data(), Text.size()}; }

bool saysItLeaves(const http::response_header<> &Head) {
  return Head[beastView(LeavingHeader)] == "1";
}

} // namespace

void backend_exchange::start() {
  asio::co_spawn(
      Context.Io, [Self = shared_from_this()] { return Self->run(exchange_mode::Start); }, rethrow);
}

void backend_exchange::resume() {
  asio::co_spawn(
      Context.Io, [Self = shared_from_this()] { return Self->run(exchange_mode::Resume); },
      rethrow);
}

void backend_exchange::abandon() {
  Abandoned = true;
  if (Holds)
    Holds->release();
  if (Connection)
    Connection->abort();
}

asio::awaitable<void> backend_exchange::checkPath() {
  PathTimer.emplace(Context.Io);
  boost::system::error_code Ignored;
  const auto IsOver = [this] { return Ended || Abandoned || Answering; };
  while (true) {
    PathTimer->expires_after(Context.Pool.connector().checkInterval());
    co_await PathTimer->async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
    if (IsOver())
      co_return;
    const bool Reaches =
        co_await Context.Pool.connector().reachesThrough(Connection->carrier(), Order.Backend);
    if (IsOver())
      co_return;
    if (!Reaches)
      Context.Outbox.push(attempt_silent{Order.Attempt, attempt_failure::PathBroken});
  }
}

asio::awaitable<void> backend_exchange::run(exchange_mode Mode) {
  exchange_end End = co_await perform(Mode);
  Ended = true;
  if (PathTimer)
    PathTimer->cancel();
  const bool Broke =
      End.Failure == attempt_failure::BrokenSent || End.Failure == attempt_failure::TimedOut;
  if (Broke && isCarried() && !Answering)
    End.Failure = attempt_failure::PathBroken;
  if (Connection)
    Connection->endSilenceWatch();
  recordEnd(End);
  endRelaying();
  uncountIfNotRun(End);
  reportForSuspects(End);
  if (!Abandoned)
    report(End);
  if (!End.Failure && !Abandoned)
    co_await returnConnection();
  if (Connection)
    Connection->abort();
  if (Holds)
    Holds->release();
  --Call->OpenAttempts;
  OnEnd(*this);
}

void backend_exchange::giveUpIfBlocked() {
  if (Connection && !Ended && !Answering && isBlocked())
    Connection->expireAt(boot_clock::now());
}

void backend_exchange::giveUpUnusedHolds() {
  HoldsUnused = true;
  if (Connection)
    Connection->expireAt(boot_clock::now());
}

void backend_exchange::uncountIfNotRun(const exchange_end &End) {
  if (Sent && End.Failure && provesNotRun(*End.Failure) && Call->SentAttempts > 0)
    --Call->SentAttempts;
}

void backend_exchange::reportForSuspects(const exchange_end &End) {
  const bool Broke = End.Failure == attempt_failure::BrokenSent ||
                     End.Failure == attempt_failure::BrokenMidway ||
                     End.Failure == attempt_failure::PathBroken;
  if (Broke && Connection && !Abandoned && !Connection->expired())
    return Context.Crashes.onBrokenConnection(Order.Backend, Call, Answering);
  if (End.Failure || !Context.AtSuspectCleared)
    return;
  if (const auto Fingerprint = fingerprintIfSuspected(*Context.Suspects, *Call))
    Context.AtSuspectCleared({*Fingerprint});
}

void backend_exchange::report(const exchange_end &End) {
  flushProgress();
  if (!End.Failure) {
    Context.Metrics.countAttemptEnd("complete");
    if (End.Usage.PromptTokens && Call->Kind == service_kind::Model)
      Context.Tokens.observe(Call->Facts.Model, Call->PromptBytes, *End.Usage.PromptTokens);
    Context.Outbox.push(attempt_completed{Order.Attempt, End.Usage.PromptTokens,
                                          End.Usage.AnswerTokens, End.Usage.CachedTokens,
                                          ServerError});
    return;
  }
  Context.Metrics.countAttemptEnd(std::string(attemptFailureText(*End.Failure)));
  Context.Outbox.push(attempt_failed{Order.Attempt, *End.Failure, AtFault});
}

asio::awaitable<exchange_end> backend_exchange::perform(exchange_mode Mode) {
  // Another attempt already answers the caller, and this one may not relay. Nothing has been sent
  // for it, so it has not run.
  Before = Call->relayedPart();
  if (Mode == exchange_mode::Start && !mayRelay())
    co_return exchange_end{attempt_failure::NotWanted, {}};
  if ((Mode == exchange_mode::Start && isPaused()) || stopsForEvacuation())
    co_return exchange_end{attempt_failure::NotWanted, {}};
  if (!Order.Holds.empty() && Mode == exchange_mode::Start) {
    // While it is being released, memory_holds may outlive this exchange; it no longer calls the
    // lambda then.
    Holds = std::make_shared<memory_holds>(
        Context, Order, [this] { return isStillWanted() && serversAllowRequest(); },
        [this] { giveUpUnusedHolds(); });
    const bool Held = co_await Holds->acquire();
    if (!Held && isStillWanted() && serversAllowRequest())
      co_return exchange_end{attempt_failure::Declined, {}};
  }
  if (!isStillWanted() || stopsForEvacuation())
    co_return exchange_end{attempt_failure::NotWanted, {}};
  const connection_reuse Reuse =
      Call->Facts.Idempotent ? connection_reuse::Allowed : connection_reuse::NewOnly;
  const mono_time Started = boot_clock::now();
  Connection = co_await Context.Pool.open(Order.Backend, Reuse);
  if (!Connection)
    co_return exchange_end{attempt_failure::NotConnected, {}};
  Call->LastPeer = Connection->carrier();
  Call->LastConnect = boot_clock::now() - Started;
  // Another answer may have asked for a pause meanwhile, or a domain been evacuated.
  if (!isStillWanted() || Context.Pauses.isPaused(Order.Backend, boot_clock::now()) ||
      stopsForEvacuation())
    co_return exchange_end{attempt_failure::NotWanted, {}};
  Connection->expireAt(Call->Facts.Deadline + DeadlineGrace);
  if (const auto Failure = co_await send(Mode))
    co_return exchange_end{Failure, {}};
  // Given up, work that must not be repeated could only lose its answer.
  if (isCarried() && Order.MayRetry && Call->Facts.Idempotent)
    asio::co_spawn(
        Context.Io, [Self = shared_from_this()] { return Self->checkPath(); }, rethrow);
  if (const auto Failure = co_await readHead())
    co_return exchange_end{Failure, {}};
  if (const auto Failure = checkAnswerHead(Mode))
    co_return exchange_end{Failure, {}};
  Progress.Framing = bodyFraming();
  Progress.IsEventStream = isEventStream();
  const bool HasEvents = isEventStream() && Progress.Framing != body_framing::Empty;
  const bool Events = Call->Kind == service_kind::Model && HasEvents;
  const bool OpenEvents = Call->HeaderRouted && HasEvents;
  // Another attempt may have begun to relay meanwhile; then this answer is dropped.
  if (!mayRelay())
    co_return yieldToOther();
  if (OpenEvents)
    co_return co_await relayOpenEvents();
  if (Events)
    co_return co_await relayEvents();
  co_return co_await relayWholeAnswer();
}

bool backend_exchange::isBlocked() const {
  return findBlock(*Context.Suspects, *Call, boot_clock::now()).has_value();
}

bool backend_exchange::isStillWanted() {
  // The close may have arrived although the session's watcher has not run yet.
  if (Call->Caller->socket().peerClosed())
    Context.noteCallerGone(*Call);
  // An earlier attempt that was silent may have gone on.
  const bool IsUnanswered = Before == Call->relayedPart();
  return !Abandoned && !HoldsUnused && IsUnanswered && !Call->Finish && !Call->CallerGone &&
         boot_clock::now() < Call->Facts.Deadline && !isBlocked();
}

bool backend_exchange::isPaused() const {
  const mono_time Now = boot_clock::now();
  const auto HolderIsPaused = [&](const memory_hold &Hold) {
    return Context.Pauses.isPaused(Hold.Backend, Now);
  };
  return Context.Pauses.isPaused(Order.Backend, Now) ||
         std::any_of(Order.Holds.begin(), Order.Holds.end(), HolderIsPaused);
}

asio::awaitable<std::optional<attempt_failure>> backend_exchange::send(exchange_mode Mode) {
  const std::shared_ptr<const request_body> Body = Call->Request.Body;
  const bool Start = Mode == exchange_mode::Start;
  const std::string Head =
      Call->HeaderRouted
          ? headerRoutedAttemptHead(*Call, Order, Context.Interface, boot_clock::now())
      : Start ? attemptHead(*Call, Order, boot_clock::now())
              : resumeHead(*Call, resume_attempt{Order.Attempt, Order.Backend});
  // Report before the first byte is passed to the kernel: from here on "not run" must be proved.
  Context.Outbox.push(attempt_sending{Order.Attempt});
  Begun = true;
  if (Start)
    ++Call->SentAttempts;
  Sent = Start;
  const asio::const_buffer BodyPart = Start && Body
                                          ? asio::const_buffer(Body->Text.data(), Body->Text.size())
                                          : asio::const_buffer();
  const std::array Buffers{asio::const_buffer(Head.data(), Head.size()), BodyPart};
  Call->LastSent = boot_clock::now();
  const std::size_t Written = co_await Connection->writeAll(Buffers);
  if (Written == 0)
    co_return attempt_failure::BrokenUnsent;
  Progress.UnsentBytes = asio::buffer_size(Buffers) - Written;
  // A server may decline and close before it has read everything, so the answer is still read.
  co_return std::nullopt;
}

asio::awaitable<bool> backend_exchange::readMore() {
  const std::string_view Read = co_await Connection->readSome();
  co_return !Abandoned && !Read.empty() && Feed.feed(Read);
}

asio::awaitable<std::optional<attempt_failure>> backend_exchange::readHead() {
  while (!Feed.headDone()) {
    const std::string_view Read = co_await Connection->readSome();
    if (Abandoned || (Read.empty() && !Connection->expired()))
      co_return attempt_failure::BrokenSent;
    if (Read.empty())
      co_return attempt_failure::TimedOut;
    if (!Feed.feed(Read))
      co_return attempt_failure::BadAnswer;
  }
  co_return std::nullopt;
}

bool backend_exchange::namesOtherAttempt() {
  const auto &Message = Feed.message().get();
  const auto NamedAttempt = Message[beastView(AttemptHeader)];
  if (!NamedAttempt.empty())
    return std::string_view(NamedAttempt.data(), NamedAttempt.size()) != toText(Order.Attempt);
  // Engines echo the attempt in every successful answer; a plain service need not know about
  // attempts.
  const unsigned Status = Message.result_int();
  return Call->Kind == service_kind::Model && Status >= Ok && Status < FirstRedirect;
}

bool backend_exchange::isEventStream() {
  const auto Type = Feed.message().get()[http::field::content_type];
  return boost::beast::iequals(Type.substr(0, Type.find(';')), "text/event-stream");
}

bool backend_exchange::isErrorStatus(unsigned Status) const {
  if (Call->Kind == service_kind::Model)
    return Status >= FirstServerError;
  // A plain service's own errors are valid answers; these three come from a proxy in front of it.
  return Status == BadGateway || Status == Unavailable || Status == GatewayTimeout;
}

std::optional<attempt_failure> backend_exchange::checkAnswerHead(exchange_mode Mode) {
  if (Call->HeaderRouted)
    return checkHeaderRoutedAnswer();
  const auto &Message = Feed.message().get();
  const unsigned Status = Message.result_int();
  if (namesOtherAttempt())
    return attempt_failure::BadAnswer;
  if (Mode == exchange_mode::Resume)
    return Status == Ok && isEventStream()
               ? std::nullopt
               : std::optional<attempt_failure>(attempt_failure::BrokenMidway);
  // Without the header, the answer may concern this caller only.
  const bool Declines = (Status == Unavailable || Status == TooManyRequests) &&
                        boost::beast::iequals(Message[beastView(StartedHeader)], "no");
  noteServer(Declines ? readRetryAfter(Message) : no_pause{}, saysItLeaves(Message));
  if (Declines)
    return attempt_failure::Declined;
  if (isErrorStatus(Status))
    return attempt_failure::ErrorAnswer;
  return std::nullopt;
}

void backend_exchange::reportRateLimit(const rate_limit_statement &Stated) {
  const bool StatesNone = std::holds_alternative<no_rate_limit>(Stated);
  if (Context.AtRateLimit && (Order.Permit.isSet() || !StatesNone))
    Context.AtRateLimit({Order.Backend, Order.Attempt, Stated, Order.Permit});
}

void backend_exchange::noteServer(const pause_statement &Pause, bool Leaving) {
  if (std::holds_alternative<no_pause>(Pause) && !Leaving)
    return;
  if (const auto *Length = std::get_if<std::chrono::milliseconds>(&Pause))
    Context.Pauses.record(Order.Backend, *Length, boot_clock::now());
  if (Context.AtServerNotice)
    Context.AtServerNotice({Order.Backend, Order.Attempt, Pause, Leaving});
}

std::optional<attempt_failure> backend_exchange::checkHeaderRoutedAnswer() {
  const auto &Message = Feed.message().get();
  const unsigned Status = Message.result_int();
  const answer_facts Facts = Context.Interface.ReadAnswer(Message, Call->SendName);
  if (Facts.AnswersOtherRequest)
    return attempt_failure::BadAnswer;
  reportRateLimit(Facts.RateLimit);
  noteServer(Facts.Pause, Facts.Leaving);
  AtFault = Facts.AtFault;
  if (Facts.NotRun)
    return attempt_failure::Declined;
  if (Call->canContinueStream())
    return Status == Ok && isEventStream()
               ? std::nullopt
               : std::optional<attempt_failure>(attempt_failure::BrokenMidway);
  // If no other attempt runs or may follow, an error answer is the final answer and is relayed
  // unchanged.
  ServerError = Status >= FirstServerError;
  const bool IsLast = !Order.MayRetry && Call->OpenAttempts == 1;
  if (Status >= FirstServerError && Call->Facts.Idempotent && !IsLast)
    return attempt_failure::ErrorAnswer;
  return std::nullopt;
}

asio::awaitable<void> backend_exchange::returnConnection() {
  constexpr std::chrono::seconds TrailerLimit{1};
  // Unsent bytes of this request would be read as part of the next one.
  if (Progress.UnsentBytes > 0 || EndsWithConnection)
    co_return;
  Connection->expireAt(boot_clock::now() + TrailerLimit);
  // After "[DONE]" the last chunk may still be in flight.
  while (!Feed.done() && Feed.body().empty())
    if (!co_await readMore())
      co_return;
  if (!Feed.done() || !Feed.body().empty() || Feed.hasRemainder() || !Feed.message().keep_alive())
    co_return;
  Context.Pool.returnToPool(Order.Backend, std::move(Connection),
                            idleLimitOf(Feed.message().get()[http::field::keep_alive]),
                            Order.MaxIdleConnections);
}

} // namespace pollenstall
