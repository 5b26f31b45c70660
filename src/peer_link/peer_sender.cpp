/** @file peer_sender.cpp Reconnects to one peer with exponential backoff. */
#include "peer_link/peer_sender_base.h"

#include "address/address.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// A host without power drops packets, and the kernel retries a SYN only after a second, so hosts
/// that start one after the other would find each other late. This is twice the round trip to
/// another region.
constexpr std::chrono::milliseconds ConnectTimeout{250};

} // namespace

peer_sender::peer_sender(boost::asio::io_context &Context, const peer_link_options &Settings,
                         std::string To)
    : Io(Context), Options(Settings), Address(std::move(To)), Timer(Context),
      BackOff(Settings.BackOffMin) {
  connect();
}

peer_sender::~peer_sender() {
  if (Connection)
    Connection->close();
}

void peer_sender::changeAddress(const std::string &To) {
  if (To == Address || To.empty())
    return;
  Address = To;
  if (!Open)
    return;
  Connection->close();
  Open = false;
  connect();
}

void peer_sender::setHelloFrame(std::string Frame) {
  HelloFrame = std::move(Frame);
  if (Open)
    Connection->send(HelloFrame);
}

void peer_sender::reconnectNow() {
  if (Open || boot_clock::now() - LastAttemptAt < Options.BackOffMin)
    return;
  Connection->close();
  BackOff = Options.BackOffMin;
  connect();
}

bool peer_sender::send(std::string_view Frame) { return Open && Connection->send(Frame); }

void peer_sender::connect() {
  LastAttemptAt = boot_clock::now();
  Connection =
      std::make_shared<framed_connection>(boost::asio::ip::tcp::socket(Io), framed_limits{});
  const auto Endpoint = tcpEndpoint(Address);
  if (!Endpoint)
    return scheduleReconnect();
  framed_callbacks Callbacks;
  Callbacks.Opened = [this] { opened(); };
  Callbacks.Closed = [this] {
    Open = false;
    scheduleReconnect();
  };
  Connection->setCallbacks(std::move(Callbacks));
  Connection->connect(*Endpoint);
  Timer.expires_after(ConnectTimeout);
  Timer.async_wait([this](boost::system::error_code Cancelled) {
    if (Cancelled || Open)
      return;
    Connection->close();
    scheduleReconnect();
  });
}

void peer_sender::opened() {
  Open = true;
  Timer.cancel();
  BackOff = Options.BackOffMin;
  if (!HelloFrame.empty())
    Connection->send(HelloFrame);
}

void peer_sender::scheduleReconnect() {
  Timer.expires_after(BackOff);
  BackOff = std::min(BackOff * 2, Options.BackOffMax);
  Timer.async_wait([this](boost::system::error_code Cancelled) {
    if (!Cancelled)
      connect();
  });
}

} // namespace pollenstall
