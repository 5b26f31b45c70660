/** @file work_share.cpp UDP transport by Asio on one thread. */
#include "work_share/work_share_base.h"

#include "address/address.h"
#include "rate_limit/rate_limit.h"
#include "work_exchange/work_exchange.h"
#include "work_share/permit_codec_func.h"
#include "work_share/retry_codec_func.h"
#include "work_share/waiting_codec_func.h"
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
/// Minimum time between two updates for placement, and delay of the timer for the next round.
/// Computing an update iterates over all backend servers.
constexpr mono_duration PublishInterval = std::chrono::milliseconds(5);

} // namespace

class work_share::state {
public:
  state(std::string FleetName, process_key Process, const permit_tuning &PermitValues)
      : Fleet(std::move(FleetName)), Self(std::move(Process)), PermitTuning(PermitValues),
        Commands(RingCapacity), PeerUpdates(RingCapacity), PermitReplies(RingCapacity),
        RetryMessages(RingCapacity), Socket(Io), Timer(Io) {
    Commands.onWake([this] { asio::post(Io, [this] { processCommands(); }); });
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
    LocalAddress = toText(Socket.local_endpoint());
    View.emplace(Self, LocalAddress);
    Permits.emplace(Self, LocalAddress, PermitTuning);
    return done{};
  }

  void start() {
    receive();
    runRound();
    Thread = std::thread([this] { Io.run(); });
  }

  const std::string Fleet;
  const process_key Self;
  const permit_tuning PermitTuning;
  bounded_ring<share_command> Commands;
  bounded_ring<peer_work_update> PeerUpdates;
  bounded_ring<permit_reply> PermitReplies;
  bounded_ring<received_retry_message> RetryMessages;
  std::string LocalAddress;
  std::atomic<std::uint64_t> SentDatagrams{0};
  std::atomic<std::uint64_t> SentBytes{0};
  std::atomic<std::uint64_t> ReceivedDatagrams{0};
  std::atomic<std::uint64_t> PermitDatagrams{0};

private:
  void processCommands() {
    // Each own_work_update replaces earlier ones, so only the latest is applied.
    std::optional<own_work_update> LatestOwnWork;
    bool Urgent = false;
    Commands.drain([&](share_command &&Command) {
      if (const auto *Update = std::get_if<entries_update>(&Command))
        return setEntries(*Update);
      if (std::holds_alternative<lease_ended>(Command))
        return Permits->setEntries({}, boot_clock::now());
      if (const auto *Outgoing = std::get_if<permit_messages>(&Command)) {
        for (const permit_message &Message : Outgoing->Messages)
          Permits->send(Message, boot_clock::now());
        return;
      }
      if (const auto *Loans = std::get_if<retry_datagrams>(&Command)) {
        for (const retry_datagram &Datagram : Loans->Datagrams)
          sendBytes(Datagram.To, encodeRetryMessage(Fleet, Datagram.Message));
        return;
      }
      LatestOwnWork = std::move(std::get<own_work_update>(Command));
      Urgent = Urgent || LatestOwnWork->Urgent;
    });
    if (LatestOwnWork) {
      View->setOwnLoads(LatestOwnWork->Loads, Urgent, boot_clock::now());
      View->setOwnWaiting(LatestOwnWork->Waiting, boot_clock::now());
    }
    runRound();
  }

  void setEntries(const entries_update &Update) {
    View->setEntries(Update.Entries, boot_clock::now());
    std::vector<std::string> Addresses;
    for (const work_entry &Entry : Update.Entries)
      Addresses.push_back(Entry.Address);
    Permits->setEntries(Addresses, boot_clock::now());
  }

  void runPermits(mono_time Now) {
    Permits->advance(Now);
    for (const permit_datagram &Datagram : Permits->takeDatagrams())
      if (sendBytes(Datagram.To, encodePermitMessage(Fleet, Datagram.Message)))
        PermitDatagrams.fetch_add(1, std::memory_order_relaxed);
    for (const permit_reply &Reply : Permits->takeReplies())
      PermitReplies.push(permit_reply(Reply));
  }

  /// Sends due datagrams, publishes changes to placement, and sets the timer for the next round.
  void runRound() {
    const mono_time Now = boot_clock::now();
    runPermits(Now);
    for (const work_datagram &Datagram : View->dueDatagrams(Now))
      send(Datagram);
    if (Now - LastPublishAt >= PublishInterval) {
      LastPublishAt = Now;
      std::vector<work_load> Changed = View->changedPeerLoads(Now);
      auto Waiting = View->changedPeerWaiting(Now);
      if (!Changed.empty() || Waiting)
        PeerUpdates.push({std::move(Changed), View->exchangeStats(), std::move(Waiting)});
    }
    const mono_time Wake =
        std::min(View->nextWake(Now), Permits->nextWake().value_or(mono_time::max()));
    Timer.expires_after(std::max(Wake - Now, PublishInterval));
    Timer.async_wait([this](boost::system::error_code TimerError) {
      if (!TimerError)
        runRound();
    });
  }

  /// @return False if the address is not valid. A failure to send is handled like a lost datagram.
  bool sendBytes(const std::string &To, const std::string &Bytes) {
    const udp::endpoint *Endpoint = endpointOf(To);
    if (!Endpoint)
      return false;
    boost::system::error_code Ignored;
    Socket.send_to(asio::buffer(Bytes), *Endpoint, 0, Ignored);
    return true;
  }

  void send(const work_datagram &Datagram) {
    // A report to several receivers is encoded once.
    if (Datagram.Report.Sequence != CachedSequence) {
      CachedSequence = Datagram.Report.Sequence;
      CachedDatagram = Datagram.Report.Waiting ? encodeWaitingReport(Fleet, Datagram.Report)
                                               : encodeWorkReport(Fleet, Datagram.Report);
    }
    if (!sendBytes(Datagram.To, CachedDatagram))
      return;
    SentDatagrams.fetch_add(1, std::memory_order_relaxed);
    SentBytes.fetch_add(CachedDatagram.size(), std::memory_order_relaxed);
  }

  const udp::endpoint *endpointOf(const std::string &Address) {
    constexpr std::size_t MaxEndpoints = 4096;
    const auto Found = Endpoints.find(Address);
    if (Found != Endpoints.end())
      return &Found->second;
    const auto Parsed = udpEndpoint(Address);
    if (!Parsed)
      return nullptr;
    if (Endpoints.size() >= MaxEndpoints)
      Endpoints.clear();
    return &Endpoints.emplace(Address, *Parsed).first->second;
  }

  void receive() {
    Socket.async_receive_from(asio::buffer(Buffer), SenderEndpoint,
                              [this](boost::system::error_code Code, std::size_t Count) {
                                if (Code == asio::error::operation_aborted)
                                  return;
                                if (!Code)
                                  handleDatagram({Buffer.data(), Count});
                                receivePending();
                                receive();
                                runRound();
                              });
  }

  /// Receives all pending datagrams in the same iteration of the event loop, since an iteration
  /// costs more CPU time than handling a datagram.
  void receivePending() {
    boost::system::error_code Code;
    while (true) {
      const std::size_t Count = Socket.receive_from(asio::buffer(Buffer), SenderEndpoint, 0, Code);
      if (Code)
        return;
      handleDatagram({Buffer.data(), Count});
    }
  }

  void handleDatagram(std::span<const char> Bytes) {
    auto Report = decodeWorkReport(Fleet, Bytes);
    if (!succeeded(Report) && errorOf(Report) == wire_error::OtherKind)
      Report = decodeWaitingReport(Fleet, Bytes);
    if (!succeeded(Report)) {
      if (errorOf(Report) == wire_error::OtherKind)
        handlePermitDatagram(Bytes);
      return;
    }
    ReceivedDatagrams.fetch_add(1, std::memory_order_relaxed);
    View->receive(valueOf(Report), toText(SenderEndpoint), boot_clock::now());
  }

  void handlePermitDatagram(std::span<const char> Bytes) {
    const auto Message = decodePermitMessage(Fleet, Bytes);
    if (succeeded(Message))
      return Permits->receive(valueOf(Message), toText(SenderEndpoint), boot_clock::now());
    if (errorOf(Message) == wire_error::OtherKind)
      handleRetryDatagram(Bytes);
  }

  void handleRetryDatagram(std::span<const char> Bytes) {
    const auto Message = decodeRetryMessage(Fleet, Bytes);
    if (succeeded(Message))
      RetryMessages.push({toText(SenderEndpoint), valueOf(Message)});
  }

  asio::io_context Io{1};
  udp::socket Socket;
  udp::endpoint SenderEndpoint;
  std::array<char, MaxReportBytes> Buffer{};
  asio::steady_timer Timer;
  std::optional<work_view> View;
  std::optional<permit_exchange> Permits;
  mono_time LastPublishAt{};
  std::uint64_t CachedSequence{0};
  std::string CachedDatagram;
  std::unordered_map<std::string, udp::endpoint> Endpoints;
  std::thread Thread;
};

work_share::work_share(std::unique_ptr<state> NewState) : State(std::move(NewState)) {}
work_share::~work_share() = default;

result<std::unique_ptr<work_share>, work_share_error>
work_share::create(const std::string &Fleet, process_key Self, const std::string &Bind,
                   const permit_tuning &Permits) {
  auto NewState = std::make_unique<state>(Fleet, std::move(Self), Permits);
  const auto Opened = NewState->open(Bind);
  if (!succeeded(Opened))
    return errorOf(Opened);
  return std::unique_ptr<work_share>(new work_share(std::move(NewState)));
}

std::string work_share::address() const { return State->LocalAddress; }
bounded_ring<share_command> &work_share::commands() { return State->Commands; }
bounded_ring<peer_work_update> &work_share::peerUpdates() { return State->PeerUpdates; }
bounded_ring<permit_reply> &work_share::permitReplies() { return State->PermitReplies; }
bounded_ring<received_retry_message> &work_share::retryMessages() { return State->RetryMessages; }
work_share_counts work_share::counts() const {
  return {State->SentDatagrams, State->SentBytes, State->ReceivedDatagrams, State->PermitDatagrams};
}
void work_share::start() { State->start(); }

} // namespace pollenstall
