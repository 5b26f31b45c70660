/** @file caller_session.cpp Handles a request from its head until it is queued. */
#include "relay/caller_session_base.h"

#include "relay/attempt_head_func.h"
#include "relay/call_error_func.h"
#include "relay/call_plan_func.h"
#include "relay/request_fingerprint_func.h"
#include "relay/rethrow_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::string_view NotReadyCode = "not_ready";
/// Ring slots reserved for events of admitted work.
constexpr std::size_t RingReserve = 1024;

bool hasBody(const request_head &Head) { return Head.Chunked || Head.ContentLength > 0; }

} // namespace

caller_session::caller_session(relay_context &Shared, asio::ip::tcp::socket Open)
    : Context(Shared), Caller(std::make_shared<caller_connection>(Shared.Sweeper, std::move(Open),
                                                                  Shared.Limits, Shared.Intake)),
      WatchEnded(Shared.Io) {
  ++Context.Connections;
  Context.Metrics.Connections.Set(static_cast<double>(Context.Connections));
}

caller_session::~caller_session() {
  --Context.Connections;
  Context.Metrics.Connections.Set(static_cast<double>(Context.Connections));
}

void caller_session::start() {
  asio::co_spawn(
      Context.Io, [Self = shared_from_this()] { return Self->run(); }, rethrow);
}

asio::awaitable<void> caller_session::run() {
  next_step Step = next_step::Continue;
  while (Step == next_step::Continue)
    Step = co_await serveNextRequest();
  if (Step == next_step::CloseAfterDrain)
    co_await Caller->socket().closeAfterDrain();
  Caller->socket().close();
}

asio::awaitable<caller_session::next_step> caller_session::serveNextRequest() {
  Context.IdleCallers.insert(&Caller->socket());
  auto Read = co_await Caller->readHead();
  Context.IdleCallers.erase(&Caller->socket());
  if (std::holds_alternative<connection_ended>(Read))
    co_return next_step::Close;
  if (auto *Error = std::get_if<call_error>(&Read)) {
    Context.Metrics.countBadMessage();
    co_return co_await refuse(std::move(*Error), "", next_step::CloseAfterDrain);
  }
  const request_head Head = std::move(std::get<request_head>(Read));
  co_return co_await serve(Head, boot_clock::now());
}

asio::awaitable<caller_session::next_step> caller_session::serve(const request_head &Head,
                                                                 mono_time Arrived) {
  // An unread body precedes the next request's head, so the connection must close in that case.
  const bool Reusable = Head.KeepAlive && !hasBody(Head);
  const next_step After = Reusable ? next_step::Continue : next_step::CloseAfterDrain;
  SendName = Context.Interface.isSet() ? Context.Interface.SendName(Head) : std::string();
  if (Context.Stopping)
    co_return co_await refuse(unavailableError("shutting_down", "This entry is stopping."), "",
                              next_step::CloseAfterDrain);
  auto Planned = co_await planWhenDeclared(Head, Arrived + Context.Limits.ReadyWait);
  if (!succeeded(Planned))
    co_return co_await refuse(errorOf(Planned), "", After);
  const call_plan Plan = valueOf(std::move(Planned));
  if (std::holds_alternative<models_call>(Plan.Kind))
    co_return co_await serveModels(Plan, Head);
  co_return co_await serveCall(Plan, Head, Arrived);
}

result<call_plan, call_error> caller_session::plan(const request_head &Head) const {
  if (!Context.isReady())
    return unavailableError(std::string(NotReadyCode), "This entry has no configuration in force.");
  auto Planned = Context.Interface.isSet()
                     ? planHeaderRoutedCall(Head, Context.Declaration, Context.Interface)
                     : planCall(Head, Context.Declaration);
  // The route or key may have been added in a newer declaration that this entry has not received
  // yet. "No such route" would be wrong, and the caller would not retry.
  if (!succeeded(Planned) && errorOf(Planned).Undeclared && Context.DeclarationStale)
    return unavailableError(std::string(NotReadyCode),
                            "A newer configuration is on its way to this entry.");
  return Planned;
}

/**
 * After the loss of all control hosts, or after a change, the next declaration arrives within
 * moments. A refused caller would retry within the same moment, and its second refusal is final.
 */
asio::awaitable<result<call_plan, call_error>>
caller_session::planWhenDeclared(const request_head &Head, mono_time Until) {
  constexpr std::chrono::milliseconds Pause{20};
  boost::system::error_code Ignored;
  asio::steady_timer Timer(Context.Io);
  auto Planned = plan(Head);
  while (!succeeded(Planned) && errorOf(Planned).Code == NotReadyCode && !Context.Stopping &&
         boot_clock::now() < Until) {
    Timer.expires_after(Pause);
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
    Planned = plan(Head);
  }
  co_return Planned;
}

asio::awaitable<caller_session::next_step> caller_session::serveModels(const call_plan &Plan,
                                                                       const request_head &Head) {
  const bool Reusable = Head.KeepAlive && !hasBody(Head);
  const next_step After = Reusable ? next_step::Continue : next_step::CloseAfterDrain;
  const auto Body = modelsBody(std::get<models_call>(Plan.Kind), Plan.Declaration->declaration());
  if (!succeeded(Body))
    co_return co_await refuse(errorOf(Body), Plan.Account.str(), After);
  answer_head Answer;
  Answer.Headers.push_back({"Content-Type", "application/json"});
  Answer.Close = !Reusable;
  const bool Written = co_await Caller->writeWhole(std::move(Answer), valueOf(Body));
  co_return Written ? After : next_step::Close;
}

asio::awaitable<caller_session::next_step>
caller_session::serveCall(const call_plan &Plan, const request_head &Head, mono_time Arrived) {
  if (!Context.Outbox.hasRoom(RingReserve))
    co_return co_await refuse(overloadedError(), Plan.Account.str(), next_step::CloseAfterDrain);
  auto Read = co_await Caller->readBody(Head, Plan.BodyLimit);
  if (std::holds_alternative<connection_ended>(Read))
    co_return next_step::Close;
  if (auto *Error = std::get_if<call_error>(&Read))
    co_return co_await refuse(std::move(*Error), Plan.Account.str(), next_step::CloseAfterDrain);
  const bool KeepsConnection = Head.KeepAlive && !Context.Draining;
  const next_step After = KeepsConnection ? next_step::Continue : next_step::CloseAfterDrain;
  auto Admitted = admit(Plan, Head, std::move(std::get<request_body>(Read)), Arrived);
  if (!succeeded(Admitted))
    co_return co_await refuse(errorOf(Admitted), Plan.Account.str(), After);
  co_return co_await executeCall(valueOf(std::move(Admitted)), Head.KeepAlive);
}

result<std::shared_ptr<relayed_call>, call_error> caller_session::admit(const call_plan &Plan,
                                                                        const request_head &Head,
                                                                        request_body &&Body,
                                                                        mono_time Arrived) {
  auto Planned = planBody(Plan, Head, Body.Text, Context.Tokens, Arrived);
  if (!succeeded(Planned))
    return errorOf(Planned);
  auto Call = makeCall(valueOf(std::move(Planned)), Plan, Head,
                       std::make_shared<const request_body>(std::move(Body)));
  if (auto Refused = suspectError(*Call))
    return std::move(*Refused);
  if (auto Refused = stoppingError(*Call))
    return std::move(*Refused);
  return Call;
}

std::optional<call_error> caller_session::stoppingError(const relayed_call &Call) const {
  if (!Context.WorkEndsAt)
    return std::nullopt;
  // If the stop ended the request, its caller would not know whether it may send it again.
  const auto Longest =
      Context.Durations.longest(Call.Facts.Service, lengthClassOf(Call.Facts.Prompt));
  if (!Longest || boot_clock::now() + *Longest <= *Context.WorkEndsAt)
    return std::nullopt;
  return unavailableError("shutting_down",
                          "This entry is stopping; the request may take longer than it has left.");
}

std::optional<call_error> caller_session::suspectError(const relayed_call &Call) const {
  const mono_time Now = boot_clock::now();
  const auto Block = findBlock(*Context.Suspects, Call, Now);
  if (!Block)
    return std::nullopt;
  const auto &[Fingerprint, Until] = *Block;
  call_error Error =
      unavailableError("request_crashes_servers",
                       (Fingerprint.isPromptPart()
                            ? "Servers crashed when requests with the same part of the prompt ran ("
                            : "Servers crashed each time an identical request ran (") +
                           toText(Fingerprint) + "). It is refused until the retry time.");
  Error.RetryAfter = std::chrono::ceil<std::chrono::seconds>(Until - Now);
  Error.Repeatable = false;
  return Error;
}

std::shared_ptr<relayed_call> caller_session::makeCall(checked_call Planned, const call_plan &Plan,
                                                       const request_head &Head,
                                                       std::shared_ptr<const request_body> Body) {
  Context.LastRequest = Context.LastRequest.next();
  Planned.Facts.Id = Context.LastRequest;
  auto Call = std::make_shared<relayed_call>(Context.Io, std::move(Planned), Caller);
  Call->RequestId = Context.Self.Host.str() + "-" +
                    std::to_string(Context.Self.Incarnation.value()) + "-" +
                    std::to_string(Context.LastRequest.value());
  Call->Request.Method = Head.Method;
  Call->Request.Target = Head.Target;
  Call->Request.Host = Head.header("Host");
  Call->Request.Headers = forwardedRequestHeaders(Head.Fields);
  Call->Request.TraceParent = traceParentFrom(Head.header("traceparent"), Context.Random);
  Call->Request.Body = std::move(Body);
  if (const auto *HeaderRouted = std::get_if<header_routed_call>(&Plan.Kind)) {
    Call->HeaderRouted = true;
    Call->SendName = SendName;
    Call->LastEvent = HeaderRouted->Head.LastEvent;
    Call->Request.Headers = endToEndHeaders(Head.Fields, Context.Interface.IsSystemHeader);
  }
  return Call;
}

asio::awaitable<caller_session::next_step>
caller_session::executeCall(std::shared_ptr<relayed_call> Call, bool KeepAlive) {
  Context.Calls.emplace(Call->Facts.Id, Call);
  Context.Metrics.OpenCalls.Set(static_cast<double>(Context.Calls.size()));
  Context.Outbox.push(request_arrived{Call->Facts});
  Watching = true;
  asio::co_spawn(
      Context.Io, [Self = shared_from_this(), Call] { return Self->watchCaller(Call); }, rethrow);
  while (!Call->isFinished())
    co_await Call->Changed.wait();
  co_await endWatch();
  co_return co_await conclude(*Call, KeepAlive);
}

asio::awaitable<void> caller_session::watchCaller(std::shared_ptr<relayed_call> Call) {
  timed_socket &Socket = Caller->socket();
  while (!Call->isFinished() && co_await Socket.waitReadable()) {
    if (Socket.peerClosed())
      Context.noteCallerGone(*Call);
    if (Call->CallerGone || Socket.hasInput())
      break; // With the next request already received, only a failing write can reveal a
             // disconnect.
  }
  Watching = false;
  WatchEnded.notify();
}

asio::awaitable<void> caller_session::endWatch() {
  boost::system::error_code Ignored;
  while (Watching) {
    Caller->socket().raw().cancel(Ignored);
    co_await WatchEnded.wait();
  }
}

} // namespace pollenstall
