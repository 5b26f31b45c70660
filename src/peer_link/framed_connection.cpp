/** @file framed_connection.cpp Asynchronous reads and writes of frames. */
#include "peer_link/framed_connection_base.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pollenstall {

using boost::asio::ip::tcp;

framed_connection::framed_connection(tcp::socket Connected, const framed_limits &Bounds)
    : Socket(std::move(Connected)), Limits(Bounds), Callbacks(std::make_shared<framed_callbacks>()),
      Reader(Bounds.MaxFrame) {}

void framed_connection::setCallbacks(framed_callbacks CurrentCallbacks) {
  Callbacks = std::make_shared<framed_callbacks>(std::move(CurrentCallbacks));
}

void framed_connection::prepareSocket() {
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  const unsigned Timeout = static_cast<unsigned>(Limits.SendTimeout.count());
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout, sizeof(Timeout));
}

void framed_connection::connect(const tcp::endpoint &To) {
  Socket.async_connect(To, [Self = shared_from_this()](boost::system::error_code Error) {
    if (!Self->Socket.is_open())
      return;
    if (Error)
      return Self->fail();
    Self->start();
    const auto CurrentCallbacks = Self->Callbacks;
    if (CurrentCallbacks->Opened)
      CurrentCallbacks->Opened();
  });
}

void framed_connection::start() {
  Open = true;
  prepareSocket();
  read();
}

void framed_connection::read() {
  Socket.async_read_some(
      boost::asio::buffer(Input),
      [Self = shared_from_this()](boost::system::error_code Error, std::size_t Count) {
        if (!Self->Open)
          return;
        if (Error)
          return Self->fail();
        Self->received(Count);
      });
}

void framed_connection::received(std::size_t Count) {
  if (const auto CurrentCallbacks = Callbacks; CurrentCallbacks->Arrived)
    CurrentCallbacks->Arrived(Count);
  Reader.append(std::string_view(Input.data(), Count));
  while (Open && !ClosingWhenWritten) {
    auto Next = Reader.next();
    if (!succeeded(Next))
      return fail();
    if (!valueOf(Next))
      break;
    const auto CurrentCallbacks = Callbacks;
    if (CurrentCallbacks->Received)
      CurrentCallbacks->Received(std::move(*valueOf(Next)));
  }
  if (Open)
    read();
}

bool framed_connection::send(std::string_view Frame) {
  if (!Open || ClosingWhenWritten || QueuedBytes.size() + Frame.size() > Limits.MaxQueued)
    return false;
  QueuedBytes.append(Frame);
  if (Writing.empty())
    write();
  return true;
}

void framed_connection::write() {
  Writing.swap(QueuedBytes);
  boost::asio::async_write(
      Socket, boost::asio::buffer(Writing),
      [Self = shared_from_this()](boost::system::error_code Error, std::size_t /*Count*/) {
        Self->Writing.clear();
        if (!Self->Open)
          return;
        if (Error)
          return Self->fail();
        if (!Self->QueuedBytes.empty())
          Self->write();
        else if (Self->ClosingWhenWritten)
          Self->closeSocket();
      });
}

void framed_connection::closeSocket() {
  Open = false;
  Callbacks = std::make_shared<framed_callbacks>();
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

void framed_connection::fail() {
  const auto CurrentCallbacks = Callbacks;
  closeSocket();
  if (CurrentCallbacks->Closed)
    CurrentCallbacks->Closed();
}

void framed_connection::close() { closeSocket(); }

void framed_connection::closeWhenWritten() {
  if (Writing.empty())
    return closeSocket();
  ClosingWhenWritten = true;
  Callbacks = std::make_shared<framed_callbacks>();
}

} // namespace pollenstall
