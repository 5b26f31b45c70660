/** @file fake_control.h A fake operator API of a control host, with scripted responses. */
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

/// A request that the fake received.
struct fake_request {
  std::string Method;
  std::string Path;
  std::string Authorization;
  boost::json::value Body;
};

/// A scripted response. Without one, the fake closes the connection without a response.
struct fake_reply {
  unsigned int Status{200};
  boost::json::value Body;
};

/// Serves one connection at a time on an ephemeral port.
class fake_control {
public:
  using reply_function = std::function<std::optional<fake_reply>(const fake_request &)>;

  explicit fake_control(reply_function Function)
      : MakeReply(std::move(Function)),
        Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Url("http://127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port())),
        Server([this] { serve(); }) {}

  ~fake_control() {
    Stopping = true;
    boost::asio::io_context WakerContext;
    boost::asio::ip::tcp::socket Waker(WakerContext);
    boost::system::error_code Ignored;
    Waker.connect(Acceptor.local_endpoint(), Ignored);
    Server.join();
  }

  fake_control(const fake_control &) = delete;
  fake_control &operator=(const fake_control &) = delete;

  /// @return The URL "http://127.0.0.1:port".
  [[nodiscard]] const std::string &url() const { return Url; }

  /// @return The requests to a path, in order of arrival.
  std::vector<fake_request> requestsTo(const std::string &Path) {
    const std::lock_guard Lock(Mutex);
    std::vector<fake_request> Matching;
    for (const fake_request &FakeRequest : FakeRequests)
      if (FakeRequest.Path == Path)
        Matching.push_back(FakeRequest);
    return Matching;
  }

private:
  void serve() {
    while (true) {
      boost::system::error_code Error;
      boost::asio::ip::tcp::socket Socket(Context);
      Acceptor.accept(Socket, Error);
      if (Stopping || Error)
        return;
      serveConnection(Socket);
    }
  }

  void serveConnection(boost::asio::ip::tcp::socket &Socket) {
    namespace http = boost::beast::http;
    boost::beast::flat_buffer Buffer;
    http::request<http::string_body> Request;
    boost::system::error_code Error;
    http::read(Socket, Buffer, Request, Error);
    if (Error)
      return;
    fake_request FakeRequest{std::string(Request.method_string()),
                             std::string(Request.target()),
                             std::string(Request[http::field::authorization]),
                             {}};
    if (!Request.body().empty())
      FakeRequest.Body = boost::json::parse(Request.body());
    {
      const std::lock_guard Lock(Mutex);
      FakeRequests.push_back(FakeRequest);
    }
    const auto Reply = MakeReply(FakeRequest);
    if (!Reply)
      return;
    http::response<http::string_body> Response(static_cast<http::status>(Reply->Status), 11);
    Response.body() = boost::json::serialize(Reply->Body);
    Response.prepare_payload();
    http::write(Socket, Response, Error);
  }

  reply_function MakeReply;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::string Url;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<fake_request> FakeRequests;
  std::thread Server;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_POLLENSTALLCTL_FAKE_CONTROL_H
