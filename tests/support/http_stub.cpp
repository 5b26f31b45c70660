/** @file http_stub.cpp Accepts connections and answers requests in one thread. */
#include "support/eventually_func.h"
#include "support/http_stub_base.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <sstream>

namespace pollenstall {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

struct exchange_state {
  explicit exchange_state(tcp::socket Socket) : Stream(std::move(Socket)) {}
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  stub_request Request;
  stub_response Response;
};

} // namespace

http_stub::http_stub(std::function<stub_response(const stub_request &)> AnswerHook)
    : Answer(std::move(AnswerHook)),
      Acceptor(Io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  accept();
  Server = std::thread([this] { Io.run(); });
}

http_stub::~http_stub() {
  Io.stop();
  Server.join();
}

std::string http_stub::address() const {
  std::ostringstream Text;
  Text << Acceptor.local_endpoint();
  return Text.str();
}

std::vector<stub_request> http_stub::requests() const {
  const std::lock_guard<std::mutex> Lock(Guard);
  return Requests;
}

void http_stub::accept() {
  Acceptor.async_accept([this](boost::system::error_code Error, tcp::socket Socket) {
    if (!Error)
      serve(std::move(Socket));
    accept();
  });
}

void http_stub::serve(tcp::socket Socket) {
  const auto Exchange = std::make_shared<exchange_state>(std::move(Socket));
  Exchange->Stream.expires_after(TestLimit);
  http::async_read(Exchange->Stream, Exchange->Buffer, Exchange->Request,
                   [this, Exchange](boost::system::error_code Error, std::size_t) {
                     if (Error)
                       return;
                     {
                       const std::lock_guard<std::mutex> Lock(Guard);
                       Requests.push_back(Exchange->Request);
                     }
                     Exchange->Response = Answer(Exchange->Request);
                     Exchange->Response.keep_alive(false);
                     Exchange->Response.prepare_payload();
                     http::async_write(Exchange->Stream, Exchange->Response,
                                       [Exchange](boost::system::error_code, std::size_t) {});
                   });
}

stub_response stubJson(unsigned int Status, const std::string &Json) {
  stub_response Response;
  Response.result(Status);
  Response.set(http::field::content_type, "application/json");
  Response.body() = Json;
  return Response;
}

} // namespace pollenstall
