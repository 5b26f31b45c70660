/** @file caller_connection_base.h One caller's connection: reads requests, writes answers. */
#ifndef POLLENSTALL_RELAY_CALLER_CONNECTION_BASE_H
#define POLLENSTALL_RELAY_CALLER_CONNECTION_BASE_H

#include "relay/call_error_type.h"
#include "relay/header_filter_func.h"
#include "relay/relay_type.h"
#include "relay/request_head_type.h"
#include "relay/timed_socket_base.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pollenstall {

/// How the answer's length is told to the caller.
enum class answer_framing : std::uint8_t {
  Length,  ///< Content-Length.
  Chunked, ///< Until the last chunk.
  None,    ///< No body can follow (HEAD, 204, 304).
};

/// The head of an answer to a caller.
struct answer_head {
  unsigned Status{200};
  std::vector<header_line> Headers;
  answer_framing Framing{answer_framing::Length};
  std::uint64_t Length{0}; ///< For Length, and for None where the backend server named one.
  bool Close{false};       ///< The connection is closed behind the answer.
};

/// The connection ended, or nothing came in time; there is nobody to tell.
struct connection_ended {};

/// Used by one coroutine at a time: the session's, or the relaying exchange's.
class caller_connection {
public:
  caller_connection(socket_sweeper &Sweeper, boost::asio::ip::tcp::socket Open,
                    const relay_limits &Bounds);

  /// Reads and checks the next head. The error is to be answered, then the connection closed.
  boost::asio::awaitable<std::variant<request_head, call_error, connection_ended>> readHead();
  /// Reads the body that the head announces, at most Limit bytes.
  boost::asio::awaitable<std::variant<std::string, call_error, connection_ended>>
  readBody(const request_head &Head, std::size_t Limit);

  /// Starts an answer, with its first part of the body where that is known.
  boost::asio::awaitable<bool> writeHead(const answer_head &Head, std::string_view FirstPart = {});
  /// How far a part got without waiting.
  enum class part_state : std::uint8_t {
    Written,
    Waiting, ///< The caller is slow: flush() has to follow before anything else is written.
    Broken,
  };
  /// Goes on with the body as far as the kernel takes it at once.
  part_state tryPart(std::string_view Part);
  /// Writes what tryPart() left.
  boost::asio::awaitable<bool> flush();
  /// Goes on with the body, framed as the head said.
  boost::asio::awaitable<bool> writePart(std::string_view Part);
  /// Ends a chunked answer; the others end by their length.
  boost::asio::awaitable<bool> writeEnd();
  /// A whole small answer.
  boost::asio::awaitable<bool> writeWhole(answer_head Head, std::string_view Body);

  [[nodiscard]] timed_socket &socket() { return Socket; }

private:
  boost::asio::awaitable<std::variant<std::string, call_error, connection_ended>>
  readChunked(std::size_t Limit);
  boost::asio::awaitable<bool> write(std::span<const boost::asio::const_buffer> Buffers);
  boost::asio::awaitable<bool> writeContinue();
  [[nodiscard]] call_error slowError(std::string_view What) const;

  const relay_limits &Limits;
  timed_socket Socket;
  std::string Inbox;  ///< Read but not taken: part of a head, or the caller's next request.
  std::string Unsent; ///< Of a part that the kernel did not take at once.
  answer_framing Framing{answer_framing::Length};
};

/// @return The standard text of a status, for the status line.
std::string statusText(unsigned Status);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALLER_CONNECTION_BASE_H
