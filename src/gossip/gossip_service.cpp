/** @file gossip_service.cpp The thread that carries membership over UDP. */
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
constexpr int SocketBufferBytes = 1 << 20; // a joiner's records arrive in one burst
constexpr int DatagramsPerTurn = 64;       // then timers and announcements get their turn

} // namespace

/// All that belongs to the thread; only the rings, counters and posted work cross to others.
class gossip_service::duty {
public:
  explicit duty(gossip_options Chosen)
      : Options(std::move(Chosen)), Socket(Context), Timer(Context),
        Announcements(AnnouncementRingItems), Changes(ChangeRingItems) {
    // Here and not in start(): announcements may come as soon as others can reach the ring.
    Announcements.onWake([this] { boost::asio::post(Context, [this] { takeAnnouncements(); }); });
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
      return gossip_error::NotBound;
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
      takeAnnouncements();
      advance();
      waitForDatagram();
      Context.run();
    });
    const std::lock_guard<std::mutex> Lock(RunningGuard);
    Running = true;
  }

  void stop() {
    if (!Thread.joinable())
      return;
    {
      const std::lock_guard<std::mutex> Lock(RunningGuard);
      Running = false;
      boost::asio::post(Context, [this] {
        Fleet->leave(boot_clock::now());
        act();
        Context.stop();
      });
    }
    Thread.join();
  }

  std::string dump() {
    // Shared: the waiter may be gone while set_value() still returns.
    const auto Answer = std::make_shared<std::promise<std::string>>();
    std::future<std::string> Waiting = Answer->get_future();
    {
      // Posted work runs in order, so what is posted while Running is answered before the stop.
      const std::lock_guard<std::mutex> Lock(RunningGuard);
      if (!Running)
        return {};
      boost::asio::post(Context, [this, Answer] { Answer->set_value(Fleet->dump()); });
    }
    return Waiting.get();
  }

  bounded_ring<heard_announcement> &announcements() { return Announcements; }
  bounded_ring<membership_event> &changes() { return Changes; }
  [[nodiscard]] const gossip_counters &counters() const { return Counters; }
  [[nodiscard]] const peer_address &address() const { return Bound; }

private:
  void takeAnnouncements() {
    Announcements.drain([this](heard_announcement &&Heard) {
      const auto Taken = Fleet->announce(Heard.Announcement, Heard.Load, boot_clock::now());
      if (!succeeded(Taken))
        ++Counters.AnnouncementsRefused;
    });
    act();
  }

  void advance() {
    // Answers that wait in the socket are read before the timers find them overdue.
    readDatagrams();
    Fleet->advance(boot_clock::now());
    act();
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
    for (int Count = 0; Count < DatagramsPerTurn; ++Count) {
      udp::endpoint Sender;
      boost::system::error_code Error;
      // One byte over the limit: a longer datagram would otherwise be cut to a valid length.
      const std::size_t Size = Socket.receive_from(boost::asio::buffer(Buffer), Sender, 0, Error);
      if (Error == boost::asio::error::would_block)
        break;
      if (!Error) // an ICMP answer to something sent earlier is no datagram
        handleDatagram(std::span<const char>(Buffer).first(Size), Sender);
    }
    act();
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

  void act() {
    for (membership_action &Action : Fleet->takeActions())
      std::visit(overloaded{[this](send_message &Send) { transmit(Send); },
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

  void transmit(const send_message &Send) {
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
      ++Counters.SendErrors; // as good as lost on the way
      return;
    }
    ++Counters.DatagramsOut;
    Counters.BytesOut += Bytes.size();
  }

  gossip_options Options;
  boost::asio::io_context Context{1};
  udp::socket Socket;
  boost::asio::steady_timer Timer;
  bounded_ring<heard_announcement> Announcements;
  bounded_ring<membership_event> Changes;
  change_outbox Outbox;
  gossip_counters Counters;
  peer_address Bound;
  std::optional<fleet_membership> Fleet;
  std::array<char, MaxDatagramBytes + 1> Buffer{};
  std::mutex RunningGuard; ///< Of Running; stop() and dump() come from different threads.
  bool Running{false};     ///< Posted work will be carried out.
  std::thread Thread;
};

result<std::unique_ptr<gossip_service>, gossip_error>
gossip_service::create(gossip_options Options) {
  if (Options.Secret.Fleet.size() > MaxFleetBytes)
    return gossip_error::FleetTooLong;
  if (Options.Identity.Self.Host.empty())
    return gossip_error::NoOwnIdentity;
  auto Owned = std::make_unique<duty>(std::move(Options));
  const auto Bound = Owned->bind();
  if (!succeeded(Bound))
    return errorOf(Bound);
  return std::unique_ptr<gossip_service>(new gossip_service(std::move(Owned)));
}

gossip_service::gossip_service(std::unique_ptr<duty> Owned) : Duty(std::move(Owned)) {}
gossip_service::~gossip_service() { stop(); }

const peer_address &gossip_service::address() const { return Duty->address(); }
bounded_ring<heard_announcement> &gossip_service::announcements() { return Duty->announcements(); }
bounded_ring<membership_event> &gossip_service::changes() { return Duty->changes(); }
void gossip_service::start() { Duty->start(); }
void gossip_service::stop() { Duty->stop(); }
std::string gossip_service::dump() { return Duty->dump(); }
const gossip_counters &gossip_service::counters() const { return Duty->counters(); }

} // namespace pollenstall
