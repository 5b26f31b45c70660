/** @file session.cpp HTTP by Boost.Beast over one socket. */
#include "fake_backend/session_base.h"

#include <boost/asio/write.hpp>

#include <sstream>
#include <utility>

namespace pollenstall {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t BodyLimit = 64ULL << 20U;

std::string chunkOf(const std::string &Text) {
  std::ostringstream Chunk;
  Chunk << std::hex << Text.size() << "\r\n" << Text << "\r\n";
  return Chunk.str();
}

} // namespace

session::session(asio::ip::tcp::socket Peer, request_hook OnRequest)
    : Socket(std::move(Peer)), Delayed(Socket.get_executor()), Request(std::move(OnRequest)) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
}

void session::readRequest() {
  Parser.emplace();
  Parser->body_limit(BodyLimit);
  http::async_read(Socket, Buffer, *Parser,
                   [Self = shared_from_this()](boost::system::error_code Error, std::size_t) {
                     if (Error) {
                       Self->close();
                       return;
                     }
                     Self->KeepAlive = Self->Parser->keep_alive();
                     ++Self->Turn;
                     Self->watchPeer();
                     Self->Request(Self, Self->Parser->release());
                   });
}

void session::watchPeer() {
  Socket.async_wait(asio::socket_base::wait_read,
                    [Self = shared_from_this(), Mine = Turn](boost::system::error_code Error) {
                      if (Self->Turn != Mine || Self->Closed)
                        return;
                      if (Error || Self->peerLeft())
                        Self->close();
                      else if (!Self->Pipelined)
                        Self->watchPeer();
                    });
}

bool session::peerLeft() {
  // A wait may end without anything to read: only a read tells a close from that.
  char Byte = 0;
  boost::system::error_code Error;
  Socket.non_blocking(true, Error);
  Socket.receive(asio::buffer(&Byte, 1), asio::socket_base::message_peek, Error);
  Pipelined = !Error;
  return Error && Error != asio::error::would_block;
}

void session::close() {
  if (std::exchange(Closed, true))
    return;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  Delayed.cancel();
  if (const auto Hook = std::exchange(Broken, nullptr))
    Hook();
}

void session::after(std::chrono::milliseconds Delay, const plain_hook &Then) {
  if (Delay.count() == 0) {
    Then();
    return;
  }
  Delayed.expires_after(Delay);
  Delayed.async_wait([Self = shared_from_this(), Then](boost::system::error_code Error) {
    if (!Error && !Self->Closed)
      Then();
  });
}

void session::send(std::string &&Bytes, plain_hook Then) {
  if (Closed)
    return;
  Out = std::move(Bytes);
  Writing = true;
  asio::async_write(Socket, asio::buffer(Out),
                    [Self = shared_from_this(),
                     Then = std::move(Then)](boost::system::error_code Error, std::size_t) {
                      Self->Writing = false;
                      if (Error)
                        Self->close();
                      else
                        Then();
                    });
}

void session::answered(bool Reuse) {
  Broken = nullptr;
  if (!Reuse) {
    close();
    return;
  }
  ++Turn;
  readRequest();
}

void session::reply(backend_response &&Response, const plain_hook &Then) {
  Response.keep_alive(KeepAlive);
  Response.prepare_payload();
  std::ostringstream Text;
  Text << Response;
  send(Text.str(), [this, Then] {
    if (Then)
      Then();
    answered(KeepAlive);
  });
}

void session::replyHalf(backend_response &&Response) {
  Response.prepare_payload();
  std::ostringstream Text;
  Text << Response;
  const std::string Whole = Text.str();
  send(Whole.substr(0, Whole.size() - Response.body().size() / 2), [this] { close(); });
}

void session::openStream(const std::string &Attempt) {
  Head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"
         "Transfer-Encoding: chunked\r\n";
  if (!Attempt.empty())
    Head += "X-Pollenstall-Attempt: " + Attempt + "\r\n";
  Head += "\r\n";
}

void session::writeEvents(const std::string &Events, plain_hook Then) {
  send(std::exchange(Head, {}) + chunkOf(Events), std::move(Then));
}

void session::finishStream(const std::string &Events, const plain_hook &Then) {
  const std::string Body = Events.empty() ? std::string() : chunkOf(Events);
  send(std::exchange(Head, {}) + Body + "0\r\n\r\n", [this, Then] {
    Then();
    answered(KeepAlive);
  });
}

} // namespace pollenstall
