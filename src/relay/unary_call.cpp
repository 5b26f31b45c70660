/** @file unary_call.cpp One bounded request on a pooled connection. */
#include "relay/unary_call_func.h"

#include "message_feed/message_feed.h"

#include <array>

namespace pollenstall {

namespace asio = boost::asio;

asio::awaitable<std::optional<unary_answer>>
unaryCall(backend_connection_pool &Pool, const relay_limits &Limits, backend_key Backend,
          std::string Request, std::function<bool()> MaySend, std::size_t MaxAnswerBytes) {
  backend_connection Connection = co_await Pool.open(Backend, connection_reuse::Allowed);
  if (!Connection || (MaySend && !MaySend()))
    co_return std::nullopt;
  Connection->expireAt(boot_clock::now() + Limits.CancelTimeout);
  const std::array Buffers{asio::const_buffer(Request.data(), Request.size())};
  if (co_await Connection->writeAll(Buffers) != Request.size())
    co_return std::nullopt;
  answer_feed Feed(Limits.HeaderBytes);
  while (!Feed.done()) {
    const std::string_view Read = co_await Connection->readSome();
    // Without a length and chunks, the answer ends when the server closes the connection.
    if (Read.empty() && Connection->receivingEnd() == connection_end::Closed && Feed.finish())
      break;
    if (Read.empty() || !Feed.feed(Read) || Feed.body().size() > MaxAnswerBytes)
      co_return std::nullopt;
  }
  unary_answer Answer{Feed.message().get().result_int(), std::move(Feed.body())};
  if (Feed.message().keep_alive() && !Feed.hasRemainder())
    Pool.returnToPool(Backend, std::move(Connection));
  co_return Answer;
}

} // namespace pollenstall
