/** @file work_share.cpp UDP by Asio, one thread. */
#include "work_share/work_share_base.h"

#include "address/address.h"
#include "work_exchange/work_exchange.h"
#include "work_share/work_report_codec_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <thread>
#include <unordered_map>

namespace pollenstall {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t RingCapacity = 1024;
/// Between two looks at what placement is to be told, which goes through all backend servers.
constexpr mono_duration TellInterval = std::chrono::milliseconds(5);

} // namespace

class work_share::state {
public:
  state(std::string Name, process_key Process)
      : Fleet(std::move(Name)), Self(std::move(Process)), Orders(RingCapacity),
        Others(RingCapacity), Socket(Io), Timer(Io) {
    Orders.onWake([this] { asio::post(Io, [this] { takeOrders(); }); });
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
    Board.emplace(Self, Listening);
    return done{};
  }

  void start() {
    receive();
    proceed();
    Thread = std::thread([this] { Io.run(); });
  }

  const std::string Fleet;
  const process_key Self;
  bounded_ring<share_order> Orders;
  bounded_ring<others_work> Others;
  std::string Listening;
  std::atomic<std::uint64_t> SentDatagrams{0};
  std::atomic<std::uint64_t> SentBytes{0};
  std::atomic<std::uint64_t> TakenDatagrams{0};

private:
  void takeOrders() {
    // Of what this entry has the newest says everything.
    std::optional<own_work> Newest;
    bool Urgent = false;
    Orders.drain([&](share_order &&Order) {
      if (auto *Known = std::get_if<entries_known>(&Order)) {
        Board->useEntries(Known->Entries, boot_clock::now());
        return;
      }
      Newest = std::move(std::get<own_work>(Order));
      Urgent = Urgent || Newest->Urgent;
    });
    if (Newest)
      Board->setOwn(Newest->Loads, Urgent, boot_clock::now());
    proceed();
  }

  /// Sends what is due, tells placement, and sets the timer for the next time.
  void proceed() {
    const mono_time Now = boot_clock::now();
    for (const work_datagram &Datagram : Board->due(Now))
      send(Datagram);
    if (Now - ToldAt >= TellInterval) {
      ToldAt = Now;
      if (std::vector<work_load> Changed = Board->othersChanged(Now); !Changed.empty())
        Others.push({std::move(Changed), Board->facts()});
    }
    Timer.expires_after(std::max(Board->nextWake(Now) - Now, TellInterval));
    Timer.async_wait([this](boost::system::error_code Cancelled) {
      if (!Cancelled)
        proceed();
    });
  }

  void send(const work_datagram &Datagram) {
    const udp::endpoint *To = endpointOf(Datagram.To);
    if (!To)
      return;
    // Reports to several differ in nothing but their receiver.
    if (Datagram.Report.Sequence != EncodedSequence) {
      EncodedSequence = Datagram.Report.Sequence;
      Encoded = encodeWorkReport(Fleet, Datagram.Report);
    }
    boost::system::error_code Ignored; // As good as lost on the way.
    Socket.send_to(asio::buffer(Encoded), *To, 0, Ignored);
    SentDatagrams.fetch_add(1, std::memory_order_relaxed);
    SentBytes.fetch_add(Encoded.size(), std::memory_order_relaxed);
  }

  const udp::endpoint *endpointOf(const std::string &Address) {
    constexpr std::size_t MostEndpoints = 4096;
    const auto Known = Endpoints.find(Address);
    if (Known != Endpoints.end())
      return &Known->second;
    const auto Read = udpEndpoint(Address);
    if (!Read)
      return nullptr;
    if (Endpoints.size() >= MostEndpoints)
      Endpoints.clear();
    return &Endpoints.emplace(Address, *Read).first->second;
  }

  void receive() {
    Socket.async_receive_from(asio::buffer(Input), From,
                              [this](boost::system::error_code Code, std::size_t Count) {
                                if (Code == asio::error::operation_aborted)
                                  return;
                                if (!Code)
                                  take({Input.data(), Count});
                                drain();
                                receive();
                                proceed();
                              });
  }

  /// What else has come is taken in the same turn: a turn costs more than a report.
  void drain() {
    boost::system::error_code Code;
    while (true) {
      const std::size_t Count = Socket.receive_from(asio::buffer(Input), From, 0, Code);
      if (Code)
        return;
      take({Input.data(), Count});
    }
  }

  void take(std::span<const char> Bytes) {
    const auto Report = decodeWorkReport(Fleet, Bytes);
    if (!succeeded(Report))
      return;
    TakenDatagrams.fetch_add(1, std::memory_order_relaxed);
    Board->take(valueOf(Report), toText(From), boot_clock::now());
  }

  asio::io_context Io{1};
  udp::socket Socket;
  udp::endpoint From;
  std::array<char, MaxReportBytes> Input{};
  asio::steady_timer Timer;
  std::optional<work_board> Board;
  mono_time ToldAt{};
  std::uint64_t EncodedSequence{0};
  std::string Encoded;
  std::unordered_map<std::string, udp::endpoint> Endpoints;
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
bounded_ring<others_work> &work_share::others() { return State->Others; }
work_share_counts work_share::counts() const {
  return {State->SentDatagrams, State->SentBytes, State->TakenDatagrams};
}
void work_share::start() { State->start(); }

} // namespace pollenstall
