/** @file caller_connection_base.h One caller's connection: reads requests and writes answers. */
#ifndef POLLENSTALL_RELAY_CALLER_CONNECTION_BASE_H
#define POLLENSTALL_RELAY_CALLER_CONNECTION_BASE_H

#include "intake/intake.h"
#include "relay/call_error_type.h"
#include "relay/header_filter_func.h"
#include "relay/relay_type.h"
#include "relay/request_body_type.h"
#include "relay/request_head_type.h"
#include "relay/timed_socket_base.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pollenstall {

/// How the end of the answer's body is marked.
enum class answer_framing : std::uint8_t {
  Length,  ///< Content-Length.
  Chunked, ///< Ends with the last chunk.
  None,    ///< No body can follow (HEAD, 204, 304).
};

/// The head of an answer to a caller.
struct answer_head {
  unsigned Status{200};
  std::vector<header_line> Headers;
  answer_framing Framing{answer_framing::Length};
  std::uint64_t Length{
      0};            ///< For Length, and for None if the backend server sent a Content-Length.
  bool Close{false}; ///< Close the connection after the answer.
};

/// The connection ended or timed out while idle; no error answer can be sent.
struct connection_ended {};

/// Used by one coroutine at a time: the session's, or that of the exchange that relays the answer.
class caller_connection {
public:
  /// @param Memory What all callers share.
  caller_connection(socket_sweeper &Sweeper, boost::asio::ip::tcp::socket Open,
                    const relay_limits &Bounds, intake_account &Memory);

  /// Reads and checks the next head. On an error, the session must send the error answer and close
  /// the connection.
  boost::asio::awaitable<std::variant<request_head, call_error, connection_ended>> readHead();
  /// Reads the body that the head announces, up to Limit bytes.
  boost::asio::awaitable<std::variant<request_body, call_error, connection_ended>>
  readBody(const request_head &Head, std::size_t Limit);

  /// Starts an answer. FirstPart is the first part of the body, if it is already known.
  boost::asio::awaitable<bool> writeHead(const answer_head &Head, std::string_view FirstPart = {});
  /// The result of a write that does not wait.
  enum class part_state : std::uint8_t {
    Written,
    Waiting, ///< The caller is slow: flush() must run before anything else is written.
    Broken,
  };
  /// Writes the next part of the body as far as the kernel accepts it without waiting.
  part_state tryPart(std::string_view Part);
  /// Writes the rest of the last tryPart().
  boost::asio::awaitable<bool> flush();
  /// Writes the next part of the body with the framing of the head.
  boost::asio::awaitable<bool> writePart(std::string_view Part);
  /// Writes the last chunk of a chunked answer; other answers end by their length.
  boost::asio::awaitable<bool> writeEnd();
  /// Writes a complete small answer.
  boost::asio::awaitable<bool> writeWhole(answer_head Head, std::string_view Body);

  [[nodiscard]] timed_socket &socket() { return Socket; }

private:
  using body_text = std::variant<std::string, call_error, connection_ended>;

  boost::asio::awaitable<body_text> readCounted(std::size_t Length, intake_share &Share);
  boost::asio::awaitable<body_text> readChunked(std::size_t Limit, intake_share &Share);
  /// Returns the result for a message of which no more bytes arrive.
  template <typename Result>
  [[nodiscard]] Result incomplete(std::string_view Field, const intake_share &Share) const;
  /// Counts what remains of the bytes received once a head or body is taken from them.
  void settleReceived();
  boost::asio::awaitable<bool> write(std::span<const boost::asio::const_buffer> Buffers);
  boost::asio::awaitable<bool> writeContinue();
  [[nodiscard]] call_error timeoutError(std::string_view Field) const;

  const relay_limits &Limits;
  intake_account &Memory;
  timed_socket Socket;
  intake_share Input; ///< The connection, and what is received of a head.
  std::string
      Received; ///< Bytes read but not consumed: part of a head, or the caller's next request.
  std::string Unsent; ///< The rest of a part that the kernel did not accept immediately.
  answer_framing Framing{answer_framing::Length};
};

/// Returns the standard reason phrase of a status, for the status line.
std::string statusText(unsigned Status);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALLER_CONNECTION_BASE_H
