/** @file message_feed_base.h Feeds a Beast parser with bytes as they are read. */
#ifndef POLLENSTALL_RELAY_MESSAGE_FEED_BASE_H
#define POLLENSTALL_RELAY_MESSAGE_FEED_BASE_H

#include "relay/appending_body_type.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>

namespace pollenstall {

/**
 * Keeps the bytes that the parser has not taken yet (part of a head or of a chunk's frame) and
 * gives them again with the next ones.
 * @tparam IsRequest Which side's messages.
 */
template <bool IsRequest> class message_feed {
public:
  using parser = boost::beast::http::parser<IsRequest, appending_body>;

  /// @param PendingLimit Bytes of heads, chunk frames and trailers that are kept at most.
  explicit message_feed(std::size_t PendingLimit) : Limit(PendingLimit) {
    Parser.header_limit(std::numeric_limits<std::uint32_t>::max());
    Parser.body_limit(boost::none);
    Parser.eager(true);
  }

  /// Takes bytes; the body's part of them is appended to body(). @return False on bytes that are
  /// not a message.
  bool feed(std::string_view Bytes) {
    if (!Pending.empty()) {
      Pending.append(Bytes);
      Bytes = Pending;
    }
    const std::size_t Used = put(Bytes);
    const std::string_view Left = Bytes.substr(Used);
    if (Pending.empty())
      Pending.assign(Left);
    else
      Pending.erase(0, Used);
    return !Code && Pending.size() <= Limit;
  }

  /// The connection ended. @return Whether the message is whole.
  bool finish() {
    boost::system::error_code End;
    if (!Parser.is_done())
      Parser.put_eof(End);
    return !End && Parser.is_done();
  }

  [[nodiscard]] bool headDone() const { return Parser.is_header_done(); }
  [[nodiscard]] bool done() const { return Parser.is_done(); }
  [[nodiscard]] std::string &body() { return Parser.get().body(); }
  [[nodiscard]] parser &message() { return Parser; }
  /// @return Bytes behind the message.
  [[nodiscard]] std::string takeLeft() { return std::move(Pending); }
  [[nodiscard]] bool hasLeft() const { return !Pending.empty(); }

private:
  /// @return How many bytes the parser took.
  std::size_t put(std::string_view Bytes) {
    std::size_t Used = 0;
    while (Used < Bytes.size() && !Parser.is_done()) {
      const std::size_t Taken =
          Parser.put(boost::asio::buffer(Bytes.data() + Used, Bytes.size() - Used), Code);
      Used += Taken;
      if (Code == boost::beast::http::error::need_more) {
        Code = {};
        break;
      }
      if (Code || Taken == 0)
        break;
    }
    return Used;
  }

  std::size_t Limit;
  parser Parser;
  std::string Pending;
  boost::system::error_code Code;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_MESSAGE_FEED_BASE_H
