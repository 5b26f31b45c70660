/** @file work_share.cpp UDP by Asio, one thread. */
#include "work_share/work_share_base.h"

#include "address/address.h"
#include "wire/wire.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <map>
#include <thread>

namespace pollenstall {

namespace asio = boost::asio;
using asio::ip::udp;

template <typename Archive> void serialize(Archive &Into, work_load &Load) {
  Into(Load.Life, Load.Requests, Load.Writers, Load.ReadMs, Load.Tokens, Load.GapMs);
}
template <typename Archive> void serialize(Archive &Into, work_report &Report) {
  Into(Report.Sender, Report.Sequence, Report.Loads);
}

namespace {

constexpr std::size_t RingCapacity = 1024;

} // namespace

class work_share::state {
public:
  state(std::string Name, process_key Process)
      : Fleet(std::move(Name)), Self(std::move(Process)), Orders(RingCapacity),
        Reports(RingCapacity), Socket(Io) {
    Orders.onWake([this] { asio::post(Io, [this] { sendAll(); }); });
  }

  ~state() {
    Io.stop();
    if (Thread.joinable())
      Thread.join();
  }

  result<done, work_share_error> open(const std::string &Bind) {
    const auto Local = udpEndpoint(Bind);
    if (!Local)
      return work_share_error{"not an address: " + Bind};
    boost::system::error_code Code;
    Socket.open(Local->protocol(), Code);
    if (!Code)
      Socket.bind(*Local, Code);
    if (Code)
      return work_share_error{Bind + ": " + Code.message()};
    Socket.non_blocking(true, Code);
    Listening = toText(Socket.local_endpoint());
    return done{};
  }

  void start() {
    receive();
    Thread = std::thread([this] { Io.run(); });
  }

  const std::string Fleet;
  const process_key Self;
  bounded_ring<share_order> Orders;
  bounded_ring<work_report> Reports;
  std::string Listening;

private:
  void sendAll() {
    // Only the newest counts: it says everything.
    std::optional<share_order> Last;
    Orders.drain([&Last](share_order &&Order) { Last = std::move(Order); });
    if (!Last)
      return;
    if (Last->Loads.size() > MaxReportLoads)
      Last->Loads.resize(MaxReportLoads);
    const std::string Bytes = encodeEnvelope(Fleet, message_kind::WorkShare,
                                             work_report{Self, ++Sequence, std::move(Last->Loads)});
    for (const std::string &Peer : Last->Peers) {
      const auto Address = udpEndpoint(Peer);
      boost::system::error_code Ignored; // As good as lost on the way.
      if (Address && Peer != Listening)
        Socket.send_to(asio::buffer(Bytes), *Address, 0, Ignored);
    }
  }

  void receive() {
    Socket.async_receive_from(asio::buffer(Input), From,
                              [this](boost::system::error_code Code, std::size_t Count) {
                                if (Code == asio::error::operation_aborted)
                                  return;
                                if (!Code)
                                  take({Input.data(), Count});
                                receive();
                              });
  }

  void take(std::span<const char> Bytes) {
    auto Decoded =
        decodeEnvelope<work_report>(Fleet, message_kind::WorkShare, Bytes, MaxReportBytes);
    if (!succeeded(Decoded) || valueOf(Decoded).Sender == Self)
      return;
    work_report &Report = valueOf(Decoded);
    std::pair<incarnation, std::uint64_t> &Last = Newest[Report.Sender.Host];
    const std::pair<incarnation, std::uint64_t> Now{Report.Sender.Life, Report.Sequence};
    if (Now <= Last)
      return; // Overtaken on the way.
    Last = Now;
    Reports.push(std::move(Report));
  }

  asio::io_context Io{1};
  udp::socket Socket;
  udp::endpoint From;
  std::array<char, MaxReportBytes> Input{};
  std::uint64_t Sequence{0};
  std::map<host_name, std::pair<incarnation, std::uint64_t>> Newest;
  std::thread Thread;
};

work_share::work_share(std::unique_ptr<state> Made) : State(std::move(Made)) {}
work_share::~work_share() = default;

result<std::unique_ptr<work_share>, work_share_error>
work_share::create(const std::string &Fleet, process_key Self, const std::string &Bind) {
  auto Made = std::make_unique<state>(Fleet, std::move(Self));
  const auto Opened = Made->open(Bind);
  if (!succeeded(Opened))
    return errorOf(Opened);
  return std::unique_ptr<work_share>(new work_share(std::move(Made)));
}

std::string work_share::address() const { return State->Listening; }
bounded_ring<share_order> &work_share::orders() { return State->Orders; }
bounded_ring<work_report> &work_share::reports() { return State->Reports; }
void work_share::start() { State->start(); }

} // namespace pollenstall
