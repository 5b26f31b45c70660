/** @file cancel_call.cpp DELETE /v1/attempts/<attempt>, once. */
#include "relay/cancel_call_func.h"

#include "relay/attempt_head_func.h"
#include "relay/message_feed_base.h"

#include <array>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr unsigned Ok = 200;
constexpr std::size_t MaxAnswerBytes = 64U << 10U;

} // namespace

asio::awaitable<cancel_result> askToCancel(backend_links &Links, const relay_limits &Limits,
                                           cancel_attempt Order) {
  backend_link Link = co_await Links.open(Order.Backend, link_age::Any);
  if (!Link)
    co_return cancel_result::Unconfirmed;
  Link->expireAt(boot_clock::now() + Limits.CancelTimeout);
  const std::string Head = cancelHead(Order);
  const std::array Buffers{asio::const_buffer(Head.data(), Head.size())};
  if (co_await Link->writeAll(Buffers) != Head.size())
    co_return cancel_result::Unconfirmed;
  message_feed<false> Feed(Limits.HeaderBytes);
  while (!Feed.done()) {
    const std::string_view Read = co_await Link->readSome();
    if (Read.empty() || !Feed.feed(Read) || Feed.body().size() > MaxAnswerBytes)
      co_return cancel_result::Unconfirmed;
  }
  const bool Confirmed = Feed.message().get().result_int() == Ok;
  if (Feed.message().keep_alive() && !Feed.hasLeft())
    Links.giveBack(Order.Backend, std::move(Link));
  co_return Confirmed ? cancel_result::Confirmed : cancel_result::Unconfirmed;
}

} // namespace pollenstall
