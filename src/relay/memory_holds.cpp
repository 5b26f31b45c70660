/** @file memory_holds.cpp Takes, renews and gives back memory at engines. */
#include "relay/memory_holds_base.h"

#include "relay/attempt_head_func.h"
#include "relay/rethrow_func.h"
#include "relay/short_call_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr unsigned Ok = 200;
/// What an entry that dies leaves behind is free after this.
constexpr std::chrono::milliseconds HoldLasts{3'500};
/// Three may be lost in a row.
constexpr std::chrono::milliseconds RenewInterval{900};
constexpr int ReleaseTries = 3;
constexpr std::chrono::milliseconds ReleasePause{200};

} // namespace

asio::awaitable<bool> memory_holds::ask(const memory_hold &Hold) const {
  const backend_call Call =
      Context.Interface.TakeHold({holdName(Attempt, Hold.Backend), Hold.Amount, HoldLasts});
  const auto Answer = co_await callShortly(Context.Links, Context.Limits, Hold.Backend,
                                           backendCallText(Call, Hold.Backend));
  co_return Answer && Answer->Status == Ok;
}

asio::awaitable<bool> memory_holds::take() {
  if (Holds.empty())
    co_return true;
  Asked = true;
  const bool Held = co_await askAll(on_refusal::Stop);
  if (!Held || Released) {
    release();
    co_return false;
  }
  asio::co_spawn(
      Context.Io, [Self = shared_from_this()] { return Self->renew(); }, rethrow);
  co_return true;
}

asio::awaitable<bool> memory_holds::askAll(on_refusal Then) {
  bool Held = true;
  Asking = true;
  for (const memory_hold &Hold : Holds)
    if (!Released && (Then == on_refusal::GoOn || (Held && IsNeeded())))
      Held = co_await ask(Hold) && Held;
    else
      Held = false;
  Asking = false;
  if (Released)
    startEnd();
  co_return Held;
}

asio::awaitable<void> memory_holds::renew() {
  boost::system::error_code Ignored;
  asio::steady_timer Timer(Context.Io);
  while (!Released) {
    Timer.expires_after(RenewInterval);
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
    if (!Released)
      co_await askAll(on_refusal::GoOn);
  }
}

void memory_holds::release() {
  if (!Asked || std::exchange(Released, true))
    return;
  if (!Asking)
    startEnd();
}

void memory_holds::startEnd() {
  asio::co_spawn(
      Context.Io, [Self = shared_from_this()] { return Self->end(); }, rethrow);
}

asio::awaitable<void> memory_holds::end() {
  boost::system::error_code Ignored;
  asio::steady_timer Timer(Context.Io);
  for (const memory_hold &Hold : Holds) {
    const backend_call Call = Context.Interface.EndHold(holdName(Attempt, Hold.Backend));
    const std::string Text = backendCallText(Call, Hold.Backend);
    for (int Try = 0; Try < ReleaseTries && !Context.Ended; ++Try) {
      if (co_await callShortly(Context.Links, Context.Limits, Hold.Backend, Text))
        break; // Whatever it says: it holds nothing under this name any more.
      Timer.expires_after(ReleasePause);
      co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
    }
  }
}

} // namespace pollenstall
