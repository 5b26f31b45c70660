/** @file entry_listener.cpp The thread that sends and receives entries' messages. */
#include "entry_listener_base.h"

#include "control_link/control_link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <map>
#include <thread>

namespace pollenstall {

using boost::asio::ip::tcp;

namespace {

constexpr std::size_t RingCapacity = 8192;
constexpr std::size_t MaxConnections = 1024;
/// Two declarations of the largest size. The connection of an entry that reads too slowly for this
/// is closed.
constexpr std::size_t MaxQueuedBytes = 2 * MaxLinkReplyBytes;

framed_limits entryLimits() {
  framed_limits Limits;
  Limits.MaxFrame = MaxLinkRequestBytes;
  Limits.MaxQueued = MaxQueuedBytes;
  return Limits;
}

} // namespace

class entry_listener::state {
public:
  explicit state(entry_listener_options Settings)
      : Options(std::move(Settings)), Replies(RingCapacity), Events(RingCapacity),
        Guard(boost::asio::make_work_guard(Io)) {
    Events.onWake(Options.NotifyOwner);
    Replies.onWake([this] { boost::asio::post(Io, [this] { sendAll(); }); });
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
    Thread = std::thread([this] { Io.run(); });
    return std::nullopt;
  }

  const entry_listener_options Options;
  bounded_ring<outgoing_reply> Replies;
  bounded_ring<entry_event> Events;
  std::string Address;
  std::atomic<std::uint64_t> Open{0};
  std::atomic<std::uint64_t> Undecodable{0};
  std::atomic<std::uint64_t> Refused{0};

private:
  void accept(tcp::socket Socket) {
    if (Connections.size() >= MaxConnections) {
      Refused.fetch_add(1, std::memory_order_relaxed);
      return;
    }
    LastId = LastId.next();
    const auto Connection = std::make_shared<framed_connection>(std::move(Socket), entryLimits());
    Connection->setCallbacks({{},
                              [this, Id = LastId](std::string &&Bytes) { received(Id, Bytes); },
                              [this, Id = LastId] { closed(Id); }});
    Connections.emplace(LastId, Connection);
    Open.store(Connections.size(), std::memory_order_relaxed);
    Connection->start();
  }

  void received(connection_number Id, const std::string &Bytes) {
    auto Decoded = decodeEnvelope<link_request>(Options.Fleet, message_kind::ControlLink, Bytes,
                                                MaxLinkRequestBytes);
    const bool Valid = succeeded(Decoded) && hasValidClaimState(valueOf(Decoded));
    if (!Valid)
      Undecodable.fetch_add(1, std::memory_order_relaxed);
    // If the ring is full, the entry would wait for an answer that never comes. It resends its
    // requests after the connection is closed.
    if (!Valid || !Events.push({Id, std::move(valueOf(Decoded))}))
      closeConnection(Id);
  }

  static bool hasValidClaimState(const link_request &Request) {
    const auto *Settle = std::get_if<link_claim_settle>(&Request);
    return Settle == nullptr || isValidClaimState(Settle->Claim.State);
  }

  void closeConnection(connection_number Id) {
    const auto Found = Connections.find(Id);
    if (Found == Connections.end())
      return;
    Found->second->close();
    closed(Id);
  }

  void closed(connection_number Id) {
    Connections.erase(Id);
    Open.store(Connections.size(), std::memory_order_relaxed);
    // If the ring is full, the session remains until its lease expires.
    Events.push({Id, connection_closed{}});
  }

  void sendAll() {
    Replies.drain([this](outgoing_reply &&Outgoing) {
      const auto Found = Connections.find(Outgoing.Connection);
      if (Found == Connections.end())
        return;
      if (!Found->second->send(linkFrame(Options.Fleet, Outgoing.Reply)))
        return closeConnection(Outgoing.Connection);
      if (!std::holds_alternative<link_not_leader>(Outgoing.Reply))
        return;
      Found->second->closeWhenWritten();
      closed(Outgoing.Connection);
    });
  }

  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Guard;
  std::unique_ptr<framed_listener> Listener;
  std::map<connection_number, std::shared_ptr<framed_connection>> Connections;
  connection_number LastId;
  std::thread Thread;
};

entry_listener::entry_listener(std::unique_ptr<state> Started) : State(std::move(Started)) {}
entry_listener::~entry_listener() = default;

result<std::unique_ptr<entry_listener>, listen_error>
entry_listener::start(entry_listener_options Options) {
  auto Created = std::make_unique<state>(std::move(Options));
  if (const auto Failure = Created->start())
    return *Failure;
  return std::unique_ptr<entry_listener>(new entry_listener(std::move(Created)));
}

std::string entry_listener::address() const { return State->Address; }
void entry_listener::send(outgoing_reply Reply) { State->Replies.push(std::move(Reply)); }
std::size_t entry_listener::drain(const std::function<void(entry_event &&)> &Handle) {
  return State->Events.drain(Handle);
}
entry_listener_counters entry_listener::counters() const {
  return {State->Open.load(), State->Undecodable.load(), State->Refused.load()};
}

} // namespace pollenstall
