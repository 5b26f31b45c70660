/** @file load_call_base.h One request on a connection that later requests can reuse. */
#ifndef POLLENSTALL_LOAD_LOAD_CALL_BASE_H
#define POLLENSTALL_LOAD_LOAD_CALL_BASE_H

#include "load/answer_check_base.h"
#include "load/load_prompt_func.h"
#include "load/load_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace pollenstall {

/// A connection and its read buffer, which may hold bytes beyond the last response.
struct load_connection {
  explicit load_connection(boost::asio::io_context &IoContext) : Stream(IoContext) {}
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  bool Connected{false};

  /// @return Whether the peer closed the idle connection, or sent unexpected bytes.
  [[nodiscard]] bool closedByPeer();
};
using load_connection_ptr = std::unique_ptr<load_connection>;

/// Parameters of a call.
struct load_call_plan {
  std::size_t Class{0};
  bool Stream{true};
  std::int64_t AnswerTokens{0};
  std::chrono::steady_clock::time_point ScheduledAt;
  std::chrono::milliseconds Timeout{0};
  boost::asio::ip::tcp::endpoint Target;
  boost::beast::http::request<boost::beast::http::string_body> Request;
  std::uint64_t PromptHash{0};
};

/// An asynchronous call. start() begins it; it invokes its callback exactly once, at its end.
class load_call : public std::enable_shared_from_this<load_call> {
public:
  /// Receives the sample, and the connection if it can be reused.
  using end_callback = std::function<void(const load_sample &, load_connection_ptr)>;

  load_call(load_call_plan Parameters, load_connection_ptr InitialConnection,
            end_callback Callback);

  void start();

private:
  void write();
  void readHead();
  void readBody();
  void processBody();
  void fail(boost::system::error_code Error);
  void end(load_outcome Outcome, bool Reuse);

  load_call_plan Plan;
  load_connection_ptr Connection;
  end_callback EndCallback;
  answer_check Check;
  boost::beast::http::response_parser<boost::beast::http::string_body> Parser;
  load_sample Sample;
};

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_CALL_BASE_H
