/** @file scripted_server.cpp Serves one connection after another in one thread. */
#include "support/scripted_server_base.h"

#include "support/eventually_func.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>

#include <chrono>
#include <sstream>

namespace pollenstall {

namespace asio = boost::asio;
using asio::ip::tcp;

scripted_server::scripted_server(script RequestedScript, request_reading RequestedReading)
    : Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      Answer(std::move(RequestedScript)), Reading(RequestedReading), Thread([this] { serve(); }) {
  // Accepted sockets inherit the size.
  constexpr int SmallBuffer = 4096;
  if (Reading == request_reading::HeadOnly)
    Acceptor.set_option(asio::socket_base::receive_buffer_size(SmallBuffer));
}

scripted_server::~scripted_server() {
  {
    const std::lock_guard<std::mutex> Lock(Guard);
    Stopping = true;
  }
  // A connection wakes the thread that waits in accept().
  boost::system::error_code Ignored;
  tcp::socket Last(Io);
  Last.connect(Acceptor.local_endpoint(), Ignored);
  Thread.join();
}

backend_key scripted_server::key() const {
  return {backend_address("127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port())),
          incarnation(1)};
}

std::vector<received_request> scripted_server::requests() const {
  const std::lock_guard<std::mutex> Lock(Guard);
  return Requests;
}

bool scripted_server::hasPendingConnection() {
  pollfd PollRequest{Acceptor.native_handle(), POLLIN, 0};
  return ::poll(&PollRequest, 1, 0) == 1;
}

void scripted_server::serve() {
  while (true) {
    boost::system::error_code Code;
    tcp::socket Socket = Acceptor.accept(Code);
    {
      const std::lock_guard<std::mutex> Lock(Guard);
      if (Stopping || Code)
        return;
    }
    const std::optional<received_request> Request = readRequest(Socket);
    if (!Request)
      continue;
    {
      const std::lock_guard<std::mutex> Lock(Guard);
      Requests.push_back(*Request);
    }
    Answer(Socket, *Request);
  }
}

std::optional<received_request> scripted_server::readRequest(tcp_socket &Socket) const {
  const std::string HeadEnd = "\r\n\r\n";
  boost::system::error_code Code;
  std::string Bytes;
  if (Reading == request_reading::HeadOnly) {
    while (!Code && !Bytes.ends_with(HeadEnd))
      asio::read(Socket, asio::dynamic_buffer(Bytes), asio::transfer_exactly(1), Code);
    return Code ? std::nullopt : std::optional(received_request{Bytes, {}});
  }
  const std::size_t End = asio::read_until(Socket, asio::dynamic_buffer(Bytes), HeadEnd, Code);
  if (Code)
    return std::nullopt;
  received_request Request{Bytes.substr(0, End), Bytes.substr(End)};
  const std::size_t LengthOffset = Request.Head.find("Content-Length: ");
  const std::size_t Length =
      LengthOffset == std::string::npos ? 0 : std::stoul(Request.Head.substr(LengthOffset + 16));
  if (Request.Body.size() < Length)
    asio::read(Socket, asio::dynamic_buffer(Request.Body),
               asio::transfer_exactly(Length - Request.Body.size()), Code);
  return Request;
}

void waitUntilFull(tcp::socket &Socket) {
  constexpr std::chrono::milliseconds Interval{20};
  std::size_t Before = 0;
  eventually([&] {
    std::this_thread::sleep_for(Interval);
    const std::size_t Now = Socket.available();
    return Now > 0 && Now == std::exchange(Before, Now);
  });
}

void sendText(tcp::socket &Socket, const std::string &Text) {
  boost::system::error_code Ignored;
  asio::write(Socket, asio::buffer(Text), Ignored);
}

void waitForClose(scripted_server::tcp_socket &Socket) {
  boost::system::error_code Code;
  std::string Ignored;
  asio::read(Socket, asio::dynamic_buffer(Ignored), Code);
}

void resetConnection(tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

std::string eventText(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: part " + std::to_string(Id) + "\n\n";
}

std::string chunkOf(const std::string &Part) {
  std::ostringstream Out;
  Out << std::hex << Part.size() << "\r\n" << Part << "\r\n";
  return Out.str();
}

} // namespace pollenstall
