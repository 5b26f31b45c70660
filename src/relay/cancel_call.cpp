/** @file cancel_call.cpp Sends DELETE /v1/attempts/<attempt> once. */
#include "relay/cancel_call_func.h"

#include "relay/attempt_head_func.h"
#include "relay/unary_call_func.h"

#include <boost/json.hpp>

namespace pollenstall {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;

} // namespace

cancel_result parseCancelResult(unsigned Status, std::string_view Body) {
  if (Status != Ok)
    return cancel_result::Unconfirmed;
  json::error_code Code;
  const json::value Parsed = json::parse(json::string_view(Body.data(), Body.size()), Code);
  const json::object *Object = Code ? nullptr : Parsed.if_object();
  const json::value *State = Object ? Object->if_contains("state") : nullptr;
  if (!State || !State->is_string())
    return cancel_result::Unconfirmed;
  // A cancel on its own connection can overtake the start that it refers to.
  if (*State == "unknown")
    return cancel_result::NeverSeen;
  const bool Ended = *State == "cancelled" || *State == "finished";
  return Ended ? cancel_result::Confirmed : cancel_result::Unconfirmed;
}

boost::asio::awaitable<cancel_result> sendCancel(backend_connection_pool &Pool,
                                                 const relay_limits &Limits, cancel_attempt Order) {
  const auto Answer = co_await unaryCall(Pool, Limits, Order.Backend, cancelHead(Order));
  co_return Answer ? parseCancelResult(Answer->Status, Answer->Body) : cancel_result::Unconfirmed;
}

} // namespace pollenstall
