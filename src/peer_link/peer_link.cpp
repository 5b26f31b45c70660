/** @file peer_link.cpp The thread that sends and receives messages between control hosts. */
#include "peer_link/peer_link_base.h"

#include "peer_link/framed_connection_base.h"
#include "peer_link/peer_codec_func.h"
#include "peer_link/peer_sender_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>

namespace pollenstall {

using boost::asio::ip::tcp;

namespace {

/// Limit on incoming connections: each peer has one, and perhaps one more that it has lost.
constexpr std::size_t MaxIncoming = 64;

} // namespace

class peer_link::state {
public:
  explicit state(peer_link_options Settings)
      : Options(std::move(Settings)), Outbox(Options.RingCapacity), Inbox(Options.RingCapacity),
        WorkGuard(boost::asio::make_work_guard(Io)) {
    Inbox.onWake(Options.NotifyOwner);
    Outbox.onWake([this] { boost::asio::post(Io, [this] { sendAll(); }); });
  }

  ~state() {
    Io.stop();
    if (Thread.joinable())
      Thread.join();
  }

  std::optional<listen_error> start() {
    auto Opened = framed_listener::open(Io, Options.Listen,
                                        [this](tcp::socket Socket) { accept(std::move(Socket)); });
    if (!succeeded(Opened))
      return errorOf(Opened);
    Listener = valueOf(std::move(Opened));
    Address = Listener->address();
    for (const auto &[Member, To] : Options.Peers)
      addSender(Member, To);
    for (const std::string &Seed : Options.Seeds)
      if (Seed != Address)
        SeedSenders.emplace(Seed, std::make_unique<peer_sender>(Io, Options, Seed));
    Thread = std::thread([this] { Io.run(); });
    return std::nullopt;
  }

  void announce(peer_addresses Addresses) {
    boost::asio::post(Io, [this, Addresses = std::move(Addresses)] {
      OwnAddresses = Addresses;
      updateHello();
    });
  }

  void send(consensus_message Message) {
    if (!Outbox.push(std::move(Message)))
      Dropped.fetch_add(1, std::memory_order_relaxed);
  }

  const peer_link_options Options;
  bounded_ring<consensus_message> Outbox;
  bounded_ring<peer_message> Inbox;
  std::string Address;
  std::atomic<std::uint64_t> Received{0};
  std::atomic<std::uint64_t> Undecodable{0};
  std::atomic<std::uint64_t> Dropped{0};

private:
  void updateHello() {
    HelloFrame = peerFrame(Options.Fleet, peer_hello{Options.Self,
                                                     OwnAddresses,
                                                     {KnownPeers.begin(), KnownPeers.end()},
                                                     Options.Domain});
    for (const auto &[Member, Sender] : Senders)
      Sender->setHelloFrame(HelloFrame);
    for (const auto &[Seed, SeedSender] : SeedSenders)
      SeedSender->setHelloFrame(HelloFrame);
  }

  void addSender(member_id Member, const std::string &To) {
    auto Sender = std::make_unique<peer_sender>(Io, Options, To);
    if (!HelloFrame.empty())
      Sender->setHelloFrame(HelloFrame);
    Senders.emplace(Member, std::move(Sender));
  }

  void sendAll() {
    Outbox.drain([this](consensus_message &&Message) {
      const auto Sender = Senders.find(Message.To.Member);
      const bool Sent = Sender != Senders.end() &&
                        Sender->second->send(peerFrame(Options.Fleet, peer_message(Message)));
      if (!Sent)
        Dropped.fetch_add(1, std::memory_order_relaxed);
    });
  }

  void accept(tcp::socket Socket) {
    if (Incoming.size() >= MaxIncoming)
      return; // the socket's destructor closes it
    const auto Created = std::make_shared<framed_connection>(std::move(Socket), framed_limits{});
    Incoming.insert(Created);
    Created->setCallbacks({{},
                           [this, Weak = std::weak_ptr(Created)](std::string &&Bytes) {
                             if (const auto From = Weak.lock())
                               received(From, Bytes);
                           },
                           [this, Weak = std::weak_ptr(Created)] { Incoming.erase(Weak.lock()); }});
    Created->start();
  }

  void received(const std::shared_ptr<framed_connection> &From, const std::string &Bytes) {
    auto Decoded = decodePeerMessage(Options.Fleet, Bytes);
    if (!succeeded(Decoded)) {
      // A sender of messages that do not decode is not a peer, so nothing more is read from it.
      Undecodable.fetch_add(1, std::memory_order_relaxed);
      From->close();
      Incoming.erase(From);
      return;
    }
    Received.fetch_add(1, std::memory_order_relaxed);
    if (const auto *Hello = std::get_if<peer_hello>(&valueOf(Decoded)))
      handleHello(*Hello);
    if (!Inbox.push(std::move(valueOf(Decoded))))
      Dropped.fetch_add(1, std::memory_order_relaxed);
  }

  /// Handles a hello. A host that is not in the settings may be admitted later; replies go to the
  /// address at which it listens.
  void handleHello(const peer_hello &Hello) {
    bool Changed = recordPeer(Hello.Member, Hello.Addresses, true);
    // The host is up. An attempt that began while it was down need not time out first.
    if (const auto Sender = Senders.find(Hello.Member); Sender != Senders.end())
      Sender->second->reconnectNow();
    for (const auto &[Member, Addresses] : Hello.KnownPeers)
      Changed = recordPeer(Member, Addresses, false) || Changed;
    if (Changed && !HelloFrame.empty())
      updateHello();
  }

  /// Stores the addresses of a host.
  /// @param FromItself Whether the host reported its own addresses. @return Whether they are new.
  bool recordPeer(member_id Member, const peer_addresses &Addresses, bool FromItself) {
    if (Member == Options.Self || Addresses.Peers.empty() || Addresses.Peers == Address)
      return false;
    const auto Before = KnownPeers.find(Member);
    if (Before != KnownPeers.end() && (Before->second == Addresses || !FromItself))
      return false;
    // A new member id at a known address means that the previous member lost its disk. A report
    // from another host may be stale.
    const auto SameAddress =
        std::find_if(KnownPeers.begin(), KnownPeers.end(), [&](const auto &Other) {
          return Other.first != Member && Other.second.Peers == Addresses.Peers;
        });
    if (SameAddress != KnownPeers.end() && !FromItself)
      return false;
    if (SameAddress != KnownPeers.end())
      forgetPeer(SameAddress->first);
    if (KnownPeers.size() >= MaxIncoming)
      return false;
    KnownPeers[Member] = Addresses;
    SeedSenders.erase(Addresses.Peers);
    connectTo(Member, Addresses.Peers);
    return true;
  }

  void forgetPeer(member_id Member) {
    KnownPeers.erase(Member);
    if (Options.Peers.count(Member) == 0)
      Senders.erase(Member);
  }

  void connectTo(member_id Member, const std::string &To) {
    if (Options.Peers.count(Member) != 0)
      return;
    const auto Sender = Senders.find(Member);
    if (Sender != Senders.end())
      Sender->second->changeAddress(To);
    else
      addSender(Member, To);
  }

  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> WorkGuard;
  std::unique_ptr<framed_listener> Listener;
  std::map<member_id, std::unique_ptr<peer_sender>> Senders;
  std::map<std::string, std::unique_ptr<peer_sender>>
      SeedSenders; ///< To seeds whose ids are unknown.
  std::map<member_id, peer_addresses> KnownPeers;
  peer_addresses OwnAddresses;
  std::set<std::shared_ptr<framed_connection>> Incoming;
  std::string HelloFrame;
  std::thread Thread;
};

peer_link::peer_link(std::unique_ptr<state> Started) : State(std::move(Started)) {}
peer_link::~peer_link() = default;

std::string peer_link::address() const { return State->Address; }

void peer_link::announce(peer_addresses Addresses) { State->announce(std::move(Addresses)); }

void peer_link::send(consensus_message Message) { State->send(std::move(Message)); }

std::size_t peer_link::drain(const std::function<void(peer_message &&)> &Handle) {
  return State->Inbox.drain(Handle);
}

peer_link_counters peer_link::counters() const {
  return {State->Received.load(), State->Undecodable.load(), State->Dropped.load()};
}

peer_link_builder::peer_link_builder(std::string Fleet, member_id Self, std::string Listen) {
  Options.Fleet = std::move(Fleet);
  Options.Self = Self;
  Options.Listen = std::move(Listen);
}

peer_link_builder &peer_link_builder::domain(failure_domain_name Domain) {
  Options.Domain = std::move(Domain);
  return *this;
}

peer_link_builder &peer_link_builder::peer(member_id Member, std::string Address) {
  if (Member != Options.Self)
    Options.Peers.emplace(Member, std::move(Address));
  return *this;
}

peer_link_builder &peer_link_builder::seed(std::string Address) {
  Options.Seeds.push_back(std::move(Address));
  return *this;
}

peer_link_builder &peer_link_builder::onMessages(std::function<void()> Wake) {
  Options.NotifyOwner = std::move(Wake);
  return *this;
}

peer_link_builder &peer_link_builder::backOff(std::chrono::milliseconds Min,
                                              std::chrono::milliseconds Max) {
  Options.BackOffMin = Min;
  Options.BackOffMax = Max;
  return *this;
}

result<std::unique_ptr<peer_link>, listen_error> peer_link_builder::start() {
  auto Created = std::make_unique<peer_link::state>(Options);
  if (const auto Failure = Created->start())
    return *Failure;
  return std::unique_ptr<peer_link>(new peer_link(std::move(Created)));
}

} // namespace pollenstall
