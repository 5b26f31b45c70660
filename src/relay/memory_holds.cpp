/** @file memory_holds.cpp Acquires, renews and releases memory holds at engines. */
#include "relay/memory_holds_base.h"

#include "relay/attempt_head_func.h"
#include "relay/rethrow_func.h"
#include "relay/unary_call_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr unsigned Ok = 200;
/// Between two questions to a server that did not respond to the first.
constexpr std::chrono::milliseconds RepeatedQuestionPause{200};
constexpr int MaxReleaseAttempts = 3;
constexpr std::chrono::milliseconds ReleasePause{200};

} // namespace

asio::awaitable<bool> memory_holds::requestHold(const memory_hold &Hold,
                                                on_refusal OnRefusal) const {
  const backend_call Call = Context.Interface.AcquireHold(
      {holdName(Attempt, Hold.Backend), Hold.Amount, Context.Limits.Holds.lifetime()});
  // A renewal concerns memory that a running request holds.
  std::function<bool()> MaySend;
  if (OnRefusal == on_refusal::Stop)
    MaySend = [this] { return !Released && IsNeeded(); };
  const auto Answer = co_await unaryCall(Context.Pool, Context.Limits, Hold.Backend,
                                         backendCallText(Call, Hold.Backend), std::move(MaySend));
  co_return Answer && Answer->Status == Ok;
}

asio::awaitable<bool> memory_holds::acquire() {
  if (Holds.empty())
    co_return true;
  MayHold = true;
  Watch = hold_watch(Context.Limits.Holds, boot_clock::now());
  const bool Held = co_await requestAll(on_refusal::Stop);
  if (!Held || Released) {
    release();
    co_return false;
  }
  End = hold_end::AttemptEnded;
  asio::co_spawn(
      Context.Io, [Self = shared_from_this()] { return Self->renew(); }, rethrow);
  asio::co_spawn(
      Context.Io, [Self = shared_from_this()] { return Self->watchUse(); }, rethrow);
  co_return true;
}

asio::awaitable<bool> memory_holds::requestAll(on_refusal OnRefusal) {
  bool Held = true;
  RequestInFlight = true;
  for (const memory_hold &Hold : Holds)
    if (!Released && (OnRefusal == on_refusal::Continue || (Held && IsNeeded())))
      Held = co_await requestHold(Hold, OnRefusal) && Held;
    else
      Held = false;
  RequestInFlight = false;
  if (Released)
    startRelease();
  co_return Held;
}

asio::awaitable<void> memory_holds::renew() {
  while (!Released) {
    co_await pause(Context.Limits.Holds.renewInterval());
    if (Released)
      co_return;
    if (!Watch.mayRenew(boot_clock::now()))
      continue;
    ++Renewals;
    co_await requestAll(on_refusal::Continue);
  }
}

asio::awaitable<void> memory_holds::pause(std::chrono::milliseconds Time) {
  boost::system::error_code Ignored;
  asio::steady_timer Timer(Context.Io, Time);
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

asio::awaitable<std::optional<unary_answer>> memory_holds::askState(backend_key Engine) {
  if (!Context.Interface.AskState)
    co_return std::nullopt;
  const std::string Text = backendCallText(Context.Interface.AskState(), Engine);
  co_return co_await unaryCall(Context.Pool, QuestionLimits, Engine, Text);
}

asio::awaitable<void> memory_holds::askForUse() {
  // In turn: one holder may be out of reach while the others answer.
  const backend_key Holder = Holds[Questions++ % Holds.size()].Backend;
  const auto Report = co_await askState(Holder);
  const bool IsReport = Report && Report->Status == Ok && Context.Interface.ReadHold;
  const hold_state State = IsReport
                               ? Context.Interface.ReadHold(Report->Body, holdName(Attempt, Holder))
                               : hold_state::Unknown;
  if (Released || !Watch.recordReport(State, boot_clock::now()))
    co_return;
  if (!Context.Interface.AskState)
    co_return Watch.recordServer(true, boot_clock::now());
  const auto Answer = co_await askState(Answerer);
  Watch.recordServer(Answer.has_value(), boot_clock::now());
}

asio::awaitable<void> memory_holds::watchUse() {
  const std::chrono::milliseconds Interval = Context.Limits.Holds.renewInterval();
  while (true) {
    co_await pause(Watch.missedQuestion() ? RepeatedQuestionPause : Interval);
    if (!Released && Watch.needsQuestion(boot_clock::now()))
      co_await askForUse();
    if (Released)
      co_return;
    const hold_verdict Verdict = Watch.judge(boot_clock::now());
    if (Verdict == hold_verdict::Keep)
      continue;
    End = Verdict == hold_verdict::Unused ? hold_end::Unused : hold_end::ServerSilent;
    co_return OnUnused();
  }
}

void memory_holds::reportEnd() {
  const auto SinceBegun = [this](mono_time When) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(When - Watch.start());
  };
  const mono_time Now = boot_clock::now();
  hold_record Record;
  Record.Attempt = Attempt;
  Record.Backend = Answerer;
  Record.Holders = Holds.size();
  Record.HeldFor = SinceBegun(Now);
  for (const memory_hold &Hold : Holds)
    Record.Amount = tokens(Record.Amount.value() + Hold.Amount.value());
  if (const auto FirstUse = Watch.firstUse())
    Record.UsedAfter = SinceBegun(*FirstUse);
  Record.UnusedFor = SinceBegun(Now) - SinceBegun(Watch.lastUse());
  Record.Renewals = Renewals;
  Record.Questions = Questions;
  Record.End = End;
  Context.Metrics.countHoldsEnd(End);
  Context.Metrics.observeUnusedHold(std::chrono::duration<double>(Record.UnusedFor).count());
  if (Context.AtHoldsEnded)
    Context.AtHoldsEnded(Record);
}

void memory_holds::release() {
  if (!MayHold || std::exchange(Released, true))
    return;
  reportEnd();
  if (!RequestInFlight)
    startRelease();
}

void memory_holds::startRelease() {
  asio::co_spawn(
      Context.Io, [Self = shared_from_this()] { return Self->sendReleases(); }, rethrow);
}

asio::awaitable<void> memory_holds::sendReleases() {
  boost::system::error_code Ignored;
  asio::steady_timer Timer(Context.Io);
  for (const memory_hold &Hold : Holds) {
    const backend_call Call = Context.Interface.ReleaseHold(holdName(Attempt, Hold.Backend));
    const std::string Text = backendCallText(Call, Hold.Backend);
    for (int ReleaseAttempt = 0; ReleaseAttempt < MaxReleaseAttempts && !Context.Ended;
         ++ReleaseAttempt) {
      if (co_await unaryCall(Context.Pool, Context.Limits, Hold.Backend, Text))
        break; // Any answer will do: the engine holds nothing under this name any more.
      Timer.expires_after(ReleasePause);
      co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
    }
  }
}

} // namespace pollenstall
