/** @file cancel_call.cpp DELETE /v1/attempts/<attempt>, once. */
#include "relay/cancel_call_func.h"

#include "relay/attempt_head_func.h"
#include "relay/short_call_func.h"

namespace pollenstall {

namespace {

constexpr unsigned Ok = 200;

} // namespace

boost::asio::awaitable<cancel_result> askToCancel(backend_links &Links, const relay_limits &Limits,
                                                  cancel_attempt Order) {
  const auto Answer = co_await callShortly(Links, Limits, Order.Backend, cancelHead(Order));
  const bool Confirmed = Answer && Answer->Status == Ok;
  co_return Confirmed ? cancel_result::Confirmed : cancel_result::Unconfirmed;
}

} // namespace pollenstall
