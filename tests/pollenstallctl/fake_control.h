/** @file fake_control.h A control host's operators' API, reduced to what a test tells it to say. */
#ifndef POLLENSTALL_TESTS_POLLENSTALLCTL_FAKE_CONTROL_H
#define POLLENSTALL_TESTS_POLLENSTALLCTL_FAKE_CONTROL_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace pollenstall {

/// One call as the fake received it.
struct fake_call {
  std::string Method;
  std::string Path;
  std::string Authorization;
  boost::json::value Body;
};

/// What the fake says; it hangs up without an answer where there is none.
struct fake_reply {
  unsigned int Status{200};
  boost::json::value Body;
};

/// Answers one connection after another on a port of the kernel's choice.
class fake_control {
public:
  using answer_hook = std::function<std::optional<fake_reply>(const fake_call &)>;

  explicit fake_control(answer_hook Hook)
      : Answer(std::move(Hook)), Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Url("http://127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port())),
        Server([this] { serve(); }) {}

  ~fake_control() {
    Stopping = true;
    boost::asio::io_context Own;
    boost::asio::ip::tcp::socket Waker(Own);
    boost::system::error_code Ignored;
    Waker.connect(Acceptor.local_endpoint(), Ignored);
    Server.join();
  }

  fake_control(const fake_control &) = delete;
  fake_control &operator=(const fake_control &) = delete;

  /// @return "http://127.0.0.1:port".
  [[nodiscard]] const std::string &url() const { return Url; }

  /// @return The calls to a path so far.
  std::vector<fake_call> callsTo(const std::string &Path) {
    const std::lock_guard Lock(Mutex);
    std::vector<fake_call> Found;
    for (const fake_call &Call : Calls)
      if (Call.Path == Path)
        Found.push_back(Call);
    return Found;
  }

private:
  void serve() {
    while (true) {
      boost::system::error_code Error;
      boost::asio::ip::tcp::socket Socket(Context);
      Acceptor.accept(Socket, Error);
      if (Stopping || Error)
        return;
      answer(Socket);
    }
  }

  void answer(boost::asio::ip::tcp::socket &Socket) {
    namespace http = boost::beast::http;
    boost::beast::flat_buffer Buffer;
    http::request<http::string_body> Request;
    boost::system::error_code Error;
    http::read(Socket, Buffer, Request, Error);
    if (Error)
      return;
    fake_call Call{std::string(Request.method_string()),
                   std::string(Request.target()),
                   std::string(Request[http::field::authorization]),
                   {}};
    if (!Request.body().empty())
      Call.Body = boost::json::parse(Request.body());
    {
      const std::lock_guard Lock(Mutex);
      Calls.push_back(Call);
    }
    const auto Reply = Answer(Call);
    if (!Reply)
      return;
    http::response<http::string_body> Response(static_cast<http::status>(Reply->Status), 11);
    Response.body() = boost::json::serialize(Reply->Body);
    Response.prepare_payload();
    http::write(Socket, Response, Error);
  }

  answer_hook Answer;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::string Url;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<fake_call> Calls;
  std::thread Server;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_POLLENSTALLCTL_FAKE_CONTROL_H
