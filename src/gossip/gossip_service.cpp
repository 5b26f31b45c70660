/** @file gossip_service.cpp The thread that runs the membership protocol over UDP. */
#include "gossip/gossip_service_base.h"

#include "address/address.h"
#include "gossip/change_outbox_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <future>
#include <mutex>
#include <thread>

namespace pollenstall {

namespace {

using udp = boost::asio::ip::udp;

constexpr std::size_t AnnouncementRingItems = 1024;
constexpr std::size_t ChangeRingItems = 4096;
constexpr int SocketBufferBytes = 1 << 20; // the records for a joining host arrive in one burst
constexpr int DatagramsPerBatch = 64;      // timers and announcements are handled between batches

} // namespace

/// State of the gossip thread. Other threads access only the rings, the counters and posted work.
class gossip_service::event_loop {
public:
  explicit event_loop(gossip_options InitialOptions)
      : Options(std::move(InitialOptions)), Socket(Context), Timer(Context),
        Announcements(AnnouncementRingItems), Changes(ChangeRingItems) {
    // Set here and not in start(): announcements may arrive as soon as other threads can access the
    // ring.
    Announcements.onWake([this] { boost::asio::post(Context, [this] { handleAnnouncements(); }); });
  }

  result<done, gossip_error> bind() {
    const auto Endpoint = udpEndpoint(Options.Bind.str());
    if (!Endpoint)
      return gossip_error::BadAddress;
    boost::system::error_code Error;
    Socket.open(Endpoint->protocol(), Error);
    if (!Error)
      Socket.bind(*Endpoint, Error);
    if (Error)
      return gossip_error::BindFailed;
    Socket.non_blocking(true, Error);
    Socket.set_option(boost::asio::socket_base::receive_buffer_size(SocketBufferBytes), Error);
    Bound = peer_address(toText(Socket.local_endpoint(Error)));
    if (Options.Identity.Addresses.empty())
      Options.Identity.Addresses.push_back(Bound);
    return done{};
  }

  void start() {
    Fleet.emplace(Options.Identity, Options.Settings, Options.RandomSeed, boot_clock::now());
    Thread = std::thread([this] {
      handleAnnouncements();
      advance();
      waitForDatagram();
      Context.run();
    });
    const std::lock_guard<std::mutex> Lock(RunningMutex);
    Running = true;
  }

  void stop() {
    if (!Thread.joinable())
      return;
    {
      const std::lock_guard<std::mutex> Lock(RunningMutex);
      Running = false;
      boost::asio::post(Context, [this] {
        Fleet->leave(boot_clock::now());
        performActions();
        Context.stop();
      });
    }
    Thread.join();
  }

  std::string dump() {
    // Shared, because the waiting thread may have returned while set_value() still runs.
    const auto Answer = std::make_shared<std::promise<std::string>>();
    std::future<std::string> Pending = Answer->get_future();
    {
      // Posted work runs in order, so work that is posted while Running is set completes before the
      // stop.
      const std::lock_guard<std::mutex> Lock(RunningMutex);
      if (!Running)
        return {};
      boost::asio::post(Context, [this, Answer] { Answer->set_value(Fleet->dump()); });
    }
    return Pending.get();
  }

  bounded_ring<received_announcement> &announcements() { return Announcements; }
  bounded_ring<membership_event> &changes() { return Changes; }
  [[nodiscard]] const gossip_counters &counters() const { return Counters; }
  [[nodiscard]] const peer_address &address() const { return Bound; }

private:
  void handleAnnouncements() {
    Announcements.drain([this](received_announcement &&Received) {
      const auto Accepted =
          Fleet->announce(Received.Announcement, Received.Load, boot_clock::now());
      if (!succeeded(Accepted))
        ++Counters.AnnouncementsRefused;
    });
    performActions();
  }

  void advance() {
    // Reads pending answers from the socket before the timers treat them as overdue.
    readDatagrams();
    Fleet->advance(boot_clock::now());
    performActions();
  }

  void waitForDatagram() {
    Socket.async_wait(udp::socket::wait_read, [this](const boost::system::error_code &Error) {
      if (Error == boost::asio::error::operation_aborted)
        return;
      readDatagrams();
      waitForDatagram();
    });
  }

  void readDatagrams() {
    for (int Count = 0; Count < DatagramsPerBatch; ++Count) {
      udp::endpoint Sender;
      boost::system::error_code Error;
      // The buffer is one byte larger than the limit; otherwise a longer datagram would be
      // truncated to a valid length.
      const std::size_t Size = Socket.receive_from(boost::asio::buffer(Buffer), Sender, 0, Error);
      if (Error == boost::asio::error::would_block)
        break;
      if (!Error) // the socket may report an ICMP error of an earlier send
        handleDatagram(std::span<const char>(Buffer).first(Size), Sender);
    }
    performActions();
  }

  void handleDatagram(std::span<const char> Bytes, const udp::endpoint &Sender) {
    ++Counters.DatagramsIn;
    Counters.BytesIn += Bytes.size();
    const auto Message = decodeDatagram(Options.Secret, Bytes);
    if (!succeeded(Message)) {
      countDrop(errorOf(Message));
      return;
    }
    Fleet->receive(valueOf(Message), peer_address(toText(Sender)), boot_clock::now());
  }

  void countDrop(datagram_error Error) {
    switch (Error) {
    case datagram_error::TooLarge:
      ++Counters.DroppedTooLarge;
      break;
    case datagram_error::Unauthenticated:
      ++Counters.DroppedUnauthenticated;
      break;
    case datagram_error::OtherFleet:
      ++Counters.DroppedOtherFleet;
      break;
    case datagram_error::Malformed:
      ++Counters.DroppedMalformed;
      break;
    }
  }

  void performActions() {
    for (membership_action &Action : Fleet->takeActions())
      std::visit(overloaded{[this](send_message &Send) { sendDatagram(Send); },
                            [this](auto &Event) { Outbox.add(std::move(Event)); }},
                 Action);
    Outbox.flush(Changes);
    const mono_duration Sleep = Fleet->nextWake() - boot_clock::now();
    Timer.expires_after(std::max(Sleep, mono_duration::zero()));
    Timer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        advance();
    });
  }

  void sendDatagram(const send_message &Send) {
    const auto Endpoint = udpEndpoint(Send.To.str());
    if (!Endpoint) {
      ++Counters.SendErrors;
      return;
    }
    const std::string Bytes = encodeDatagram(Options.Secret, Send.Message);
    requireInvariant(Bytes.size() <= MaxDatagramBytes, "a membership message fits a datagram");
    boost::system::error_code Error;
    Socket.send_to(boost::asio::buffer(Bytes), *Endpoint, 0, Error);
    if (Error) {
      ++Counters.SendErrors; // not retried; the protocol tolerates lost datagrams
      return;
    }
    ++Counters.DatagramsOut;
    Counters.BytesOut += Bytes.size();
  }

  gossip_options Options;
  boost::asio::io_context Context{1};
  udp::socket Socket;
  boost::asio::steady_timer Timer;
  bounded_ring<received_announcement> Announcements;
  bounded_ring<membership_event> Changes;
  change_outbox Outbox;
  gossip_counters Counters;
  peer_address Bound;
  std::optional<fleet_membership> Fleet;
  std::array<char, MaxDatagramBytes + 1> Buffer{};
  std::mutex RunningMutex; ///< Protects Running; stop() and dump() run on different threads.
  bool Running{false};     ///< Whether posted work will be executed.
  std::thread Thread;
};

result<std::unique_ptr<gossip_service>, gossip_error>
gossip_service::create(gossip_options Options) {
  if (Options.Secret.Fleet.size() > MaxFleetBytes)
    return gossip_error::FleetNameTooLong;
  if (Options.Identity.Self.Host.empty())
    return gossip_error::MissingHostName;
  auto NewLoop = std::make_unique<event_loop>(std::move(Options));
  const auto Bound = NewLoop->bind();
  if (!succeeded(Bound))
    return errorOf(Bound);
  return std::unique_ptr<gossip_service>(new gossip_service(std::move(NewLoop)));
}

gossip_service::gossip_service(std::unique_ptr<event_loop> NewLoop) : Loop(std::move(NewLoop)) {}
gossip_service::~gossip_service() { stop(); }

const peer_address &gossip_service::address() const { return Loop->address(); }
bounded_ring<received_announcement> &gossip_service::announcements() {
  return Loop->announcements();
}
bounded_ring<membership_event> &gossip_service::changes() { return Loop->changes(); }
void gossip_service::start() { Loop->start(); }
void gossip_service::stop() { Loop->stop(); }
std::string gossip_service::dump() { return Loop->dump(); }
const gossip_counters &gossip_service::counters() const { return Loop->counters(); }

} // namespace pollenstall
