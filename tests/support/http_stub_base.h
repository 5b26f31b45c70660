/** @file http_stub_base.h A small HTTP server inside the test that answers by a callback. */
#ifndef POLLENSTALL_SUPPORT_HTTP_STUB_BASE_H
#define POLLENSTALL_SUPPORT_HTTP_STUB_BASE_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pollenstall {

using stub_request = boost::beast::http::request<boost::beast::http::string_body>;
using stub_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Serves one request per connection and records the requests.
class http_stub {
public:
  /// @param Answer Called on the thread of the stub.
  explicit http_stub(std::function<stub_response(const stub_request &)> Answer);
  ~http_stub();
  http_stub(const http_stub &) = delete;
  http_stub &operator=(const http_stub &) = delete;

  /// @return "ip:port".
  [[nodiscard]] std::string address() const;
  /// @return The requests received until now.
  [[nodiscard]] std::vector<stub_request> requests() const;

private:
  void accept();
  void serve(boost::asio::ip::tcp::socket Socket);

  std::function<stub_response(const stub_request &)> Answer;
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  mutable std::mutex Guard;
  std::vector<stub_request> Requests;
  std::thread Server;
};

/// @return An answer with a JSON body.
stub_response stubJson(unsigned int Status, const std::string &Json);

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_HTTP_STUB_BASE_H
