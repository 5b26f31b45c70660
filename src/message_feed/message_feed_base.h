/** @file message_feed_base.h Feeds received bytes to a Beast parser. */
#ifndef POLLENSTALL_MESSAGE_FEED_MESSAGE_FEED_BASE_H
#define POLLENSTALL_MESSAGE_FEED_MESSAGE_FEED_BASE_H

#include "message_feed/appending_body_type.h"
#include "message_feed/folded_line_scan_base.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/**
 * Keeps the bytes that the parser has not consumed (part of a head or of a chunk header) and passes
 * them again with the next ones.
 * @tparam IsRequest True for requests, false for responses.
 */
template <bool IsRequest> class message_feed {
public:
  using parser = boost::beast::http::parser<IsRequest, appending_body>;

  /// @param PendingLimit Maximum number of unconsumed bytes of heads, chunk headers and trailers.
  explicit message_feed(std::size_t PendingLimit) : Limit(PendingLimit) {
    Parser.header_limit(std::numeric_limits<std::uint32_t>::max());
    Parser.body_limit(boost::none);
    Parser.on_chunk_header(AtChunk);
  }
  message_feed(const message_feed &) = delete;
  message_feed &operator=(const message_feed &) = delete;

  /// Parses bytes; body bytes are appended to body(). @return False if the bytes are not valid
  /// HTTP.
  bool feed(std::string_view Bytes) {
    if (!Pending.empty()) {
      Pending.append(Bytes);
      Bytes = Pending;
    }
    const std::size_t Used = put(Bytes);
    const std::string_view Unconsumed = Bytes.substr(Used);
    if (Pending.empty())
      Pending.assign(Unconsumed);
    else
      Pending.erase(0, Used);
    // What follows a whole message is no part of it.
    return !Code && (done() || Pending.size() <= Limit);
  }

  /// Handles the end of the connection. @return Whether the message is complete.
  bool finish() {
    // Beast's parser aborts at an end before the first byte.
    if (!Parser.got_some())
      return false;
    boost::system::error_code End;
    if (!Parser.is_done())
      Parser.put_eof(End);
    return !End && Parser.is_done();
  }

  /// Makes room for further bytes of the body, without the twice as much that a string would take
  /// by itself. @return What the body then takes, in bytes.
  std::size_t makeRoom(std::size_t More) {
    constexpr std::size_t StepPart = 4;
    std::string &Body = body();
    const std::size_t Needed = Body.size() + More;
    if (Needed > Body.capacity())
      Body.reserve(std::max(Needed, Body.capacity() + Body.capacity() / StepPart));
    return Body.capacity();
  }

  [[nodiscard]] bool headDone() const { return Parser.is_header_done(); }
  [[nodiscard]] bool done() const { return Parser.is_done(); }
  [[nodiscard]] std::string &body() { return Parser.get().body(); }
  [[nodiscard]] parser &message() { return Parser; }
  /// Returns the bytes after the message.
  [[nodiscard]] std::string takeRemainder() { return std::move(Pending); }
  [[nodiscard]] bool hasRemainder() const { return !Pending.empty(); }

private:
  using head = typename parser::value_type::header_type;
  using chunk_hook =
      std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code &)>;

  /// Keeps the head before the parser adds the trailers to it: a reader that has passed on the head
  /// by then and one that has not would differ in what they pass on.
  /// @param Extensions Of the last chunk; the trailers, all of which have arrived, follow its line.
  void keepHead(boost::beast::string_view Extensions) {
    constexpr std::size_t LineEndBytes = 2;
    Trailers = Extensions.data() + Extensions.size() + LineEndBytes;
    if (*Trailers != '\r')
      HeadOnly = Parser.get().base();
  }

  /// Removes the trailers from the head. @param End Of the bytes that the parser has consumed.
  void dropTrailers(const char *End) {
    if (!HeadOnly || !Parser.is_done())
      return;
    Parser.get().base() = std::move(*HeadOnly);
    HeadOnly.reset();
    if (!folded_line_scan().scan({Trailers, static_cast<std::size_t>(End - Trailers)}))
      Code = boost::beast::http::error::bad_value;
  }

  /// Returns the number of bytes that the parser consumed.
  std::size_t put(std::string_view Bytes) {
    std::size_t Used = 0;
    while (Used < Bytes.size() && !Parser.is_done() && mayParse(Bytes.substr(Used))) {
      Parser.eager(Parser.is_header_done());
      const std::size_t Consumed =
          Parser.put(boost::asio::buffer(Bytes.data() + Used, Bytes.size() - Used), Code);
      Used += Consumed;
      dropTrailers(Bytes.data() + Used);
      if (Code == boost::beast::http::error::need_more) {
        Code = {};
        break;
      }
      if (Code || Consumed == 0)
        break;
    }
    return Used;
  }

  /// Beast's parser asserts that it does not get the start of an empty body, which has five bytes
  /// or more, and then the rest of it.
  bool mayParse(std::string_view Unparsed) {
    constexpr std::size_t SmallestChunkedBody = 5;
    if (!Parser.is_header_done() || !Parser.chunked())
      return true;
    ChunksBegun = ChunksBegun || Unparsed.size() >= SmallestChunkedBody || Unparsed.front() != '0';
    return ChunksBegun;
  }

  std::size_t Limit;
  chunk_hook AtChunk{[this](std::uint64_t Size, boost::beast::string_view Extensions,
                            boost::system::error_code &) {
    if (Size == 0)
      keepHead(Extensions);
  }};
  parser Parser; ///< Refers to the hook.
  std::optional<head> HeadOnly;
  const char *Trailers{nullptr};
  std::string Pending;
  bool ChunksBegun{false};
  boost::system::error_code Code;
};

} // namespace pollenstall

#endif // POLLENSTALL_MESSAGE_FEED_MESSAGE_FEED_BASE_H
