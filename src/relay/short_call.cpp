/** @file short_call.cpp One bounded exchange on a kept connection. */
#include "relay/short_call_func.h"

#include "relay/message_feed_base.h"

#include <array>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxAnswerBytes = 4U << 20U;

} // namespace

asio::awaitable<std::optional<short_answer>> callShortly(backend_links &Links,
                                                         const relay_limits &Limits,
                                                         backend_key Backend, std::string Head) {
  backend_link Link = co_await Links.open(Backend, link_age::Any);
  if (!Link)
    co_return std::nullopt;
  Link->expireAt(boot_clock::now() + Limits.CancelTimeout);
  const std::array Buffers{asio::const_buffer(Head.data(), Head.size())};
  if (co_await Link->writeAll(Buffers) != Head.size())
    co_return std::nullopt;
  message_feed<false> Feed(Limits.HeaderBytes);
  while (!Feed.done()) {
    const std::string_view Read = co_await Link->readSome();
    if (Read.empty() || !Feed.feed(Read) || Feed.body().size() > MaxAnswerBytes)
      co_return std::nullopt;
  }
  short_answer Answer{Feed.message().get().result_int(), std::move(Feed.body())};
  if (Feed.message().keep_alive() && !Feed.hasLeft())
    Links.giveBack(Backend, std::move(Link));
  co_return Answer;
}

} // namespace pollenstall
