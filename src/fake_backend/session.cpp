/** @file session.cpp HTTP connection based on Boost.Beast. */
#include "fake_backend/session_base.h"

#include <boost/asio/write.hpp>

#include <sstream>
#include <utility>

namespace pollenstall {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t MaxBodyBytes = 64ULL << 20U;

std::string encodeChunk(const std::string &Data) {
  std::ostringstream Chunk;
  Chunk << std::hex << Data.size() << "\r\n" << Data << "\r\n";
  return Chunk.str();
}

} // namespace

session::session(asio::ip::tcp::socket PeerSocket, request_handler RequestHandler)
    : Socket(std::move(PeerSocket)), DelayTimer(Socket.get_executor()),
      OnRequest(std::move(RequestHandler)) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
}

void session::readRequest() {
  Parser.emplace();
  Parser->body_limit(MaxBodyBytes);
  http::async_read(Socket, Buffer, *Parser,
                   [Session = shared_from_this()](boost::system::error_code Error, std::size_t) {
                     if (Error) {
                       Session->close();
                       return;
                     }
                     Session->KeepAlive = Session->Parser->keep_alive();
                     ++Session->RequestCount;
                     Session->watchPeer();
                     Session->OnRequest(Session, Session->Parser->release());
                   });
}

void session::watchPeer() {
  Socket.async_wait(asio::socket_base::wait_read,
                    [Session = shared_from_this(),
                     WatchedRequest = RequestCount](boost::system::error_code Error) {
                      if (Session->RequestCount != WatchedRequest || Session->Closed)
                        return;
                      if (Error || Session->peerDisconnected())
                        Session->close();
                      else if (!Session->Pipelined)
                        Session->watchPeer();
                    });
}

bool session::peerDisconnected() {
  // A wait may end without readable data; only a read can distinguish this from a close.
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
  DelayTimer.cancel();
  if (const auto Handler = std::exchange(OnDisconnect, nullptr))
    Handler();
}

void session::runAfter(std::chrono::milliseconds Delay, const callback &OnComplete) {
  if (Delay.count() == 0) {
    OnComplete();
    return;
  }
  DelayTimer.expires_after(Delay);
  DelayTimer.async_wait(
      [Session = shared_from_this(), OnComplete](boost::system::error_code Error) {
        if (!Error && !Session->Closed)
          OnComplete();
      });
}

void session::send(std::string &&Bytes, callback OnComplete) {
  if (Closed)
    return;
  WriteBuffer = std::move(Bytes);
  Writing = true;
  asio::async_write(Socket, asio::buffer(WriteBuffer),
                    [Session = shared_from_this(), OnComplete = std::move(OnComplete)](
                        boost::system::error_code Error, std::size_t) {
                      Session->Writing = false;
                      if (Error)
                        Session->close();
                      else
                        OnComplete();
                    });
}

void session::finishRequest(bool KeepOpen) {
  OnDisconnect = nullptr;
  if (!KeepOpen) {
    close();
    return;
  }
  ++RequestCount;
  readRequest();
}

void session::reply(backend_response &&Response, const callback &OnComplete) {
  Response.keep_alive(KeepAlive);
  Response.prepare_payload();
  std::ostringstream Serialized;
  Serialized << Response;
  send(Serialized.str(), [this, OnComplete] {
    if (OnComplete)
      OnComplete();
    finishRequest(KeepAlive);
  });
}

void session::replyTruncated(backend_response &&Response) {
  Response.prepare_payload();
  std::ostringstream Serialized;
  Serialized << Response;
  const std::string Message = Serialized.str();
  send(Message.substr(0, Message.size() - Response.body().size() / 2), [this] { close(); });
}

void session::openStream(const std::string &Attempt) {
  PendingHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"
                "Transfer-Encoding: chunked\r\n";
  if (!Attempt.empty())
    PendingHead += "X-Pollenstall-Attempt: " + Attempt + "\r\n";
  PendingHead += "\r\n";
}

void session::writeEvents(const std::string &Events, callback OnComplete) {
  send(std::exchange(PendingHead, {}) + encodeChunk(Events), std::move(OnComplete));
}

void session::finishStream(const std::string &Events, const callback &OnComplete) {
  const std::string Body = Events.empty() ? std::string() : encodeChunk(Events);
  send(std::exchange(PendingHead, {}) + Body + "0\r\n\r\n", [this, OnComplete] {
    OnComplete();
    finishRequest(KeepAlive);
  });
}

} // namespace pollenstall
