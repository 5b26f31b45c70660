/** @file entry_hub.cpp The thread that carries messages between entries and this host. */
#include "entry_hub_base.h"

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
/// Two declarations of the largest size; an entry that reads more slowly is cut off.
constexpr std::size_t MaxQueuedBytes = 2 * MaxLinkReplyBytes;

framed_limits entryLimits() {
  framed_limits Limits;
  Limits.MaxFrame = MaxLinkRequestBytes;
  Limits.MaxQueued = MaxQueuedBytes;
  return Limits;
}

} // namespace

class entry_hub::state {
public:
  explicit state(entry_hub_plan Settings)
      : Plan(std::move(Settings)), Orders(RingCapacity), Events(RingCapacity),
        Guard(boost::asio::make_work_guard(Io)) {
    Events.onWake(Plan.WakeOwner);
    Orders.onWake([this] { boost::asio::post(Io, [this] { sendAll(); }); });
  }

  ~state() {
    Io.stop();
    if (Thread.joinable())
      Thread.join();
  }

  std::optional<listen_error> start() {
    auto Opened = framed_listener::open(Io, Plan.Listen,
                                        [this](tcp::socket Socket) { accept(std::move(Socket)); });
    if (!succeeded(Opened))
      return errorOf(Opened);
    Listener = valueOf(std::move(Opened));
    Address = Listener->address();
    Thread = std::thread([this] { Io.run(); });
    return std::nullopt;
  }

  const entry_hub_plan Plan;
  bounded_ring<hub_order> Orders;
  bounded_ring<hub_event> Events;
  std::string Address;
  std::atomic<std::uint64_t> Open{0};
  std::atomic<std::uint64_t> Garbage{0};
  std::atomic<std::uint64_t> Refused{0};

private:
  void accept(tcp::socket Socket) {
    if (Connections.size() >= MaxConnections) {
      Refused.fetch_add(1, std::memory_order_relaxed);
      return;
    }
    Last = Last.next();
    const auto Made = std::make_shared<framed_connection>(std::move(Socket), entryLimits());
    Made->tell({{},
                [this, Number = Last](std::string &&Bytes) { received(Number, Bytes); },
                [this, Number = Last] { closed(Number); }});
    Connections.emplace(Last, Made);
    Open.store(Connections.size(), std::memory_order_relaxed);
    Made->start();
  }

  void received(connection_number Number, const std::string &Bytes) {
    auto Decoded = decodeEnvelope<link_request>(Plan.Fleet, message_kind::ControlLink, Bytes,
                                                MaxLinkRequestBytes);
    const bool Valid = succeeded(Decoded) && hasValidStanding(valueOf(Decoded));
    if (!Valid)
      Garbage.fetch_add(1, std::memory_order_relaxed);
    // Without room the entry would wait for an answer that never comes; closed, it asks again.
    if (!Valid || !Events.push({Number, std::move(valueOf(Decoded))}))
      drop(Number);
  }

  static bool hasValidStanding(const link_request &Request) {
    const auto *Settle = std::get_if<link_claim_settle>(&Request);
    return Settle == nullptr || isStanding(Settle->Claim.Standing);
  }

  void drop(connection_number Number) {
    const auto Found = Connections.find(Number);
    if (Found == Connections.end())
      return;
    Found->second->close();
    closed(Number);
  }

  void closed(connection_number Number) {
    Connections.erase(Number);
    Open.store(Connections.size(), std::memory_order_relaxed);
    // Where the ring is full the session stays behind; its lease runs out by itself.
    Events.push({Number, connection_closed{}});
  }

  void sendAll() {
    Orders.drain([this](hub_order &&Order) {
      const auto Found = Connections.find(Order.Connection);
      if (Found == Connections.end())
        return;
      if (!Found->second->send(linkFrame(Plan.Fleet, Order.Reply)))
        return drop(Order.Connection);
      if (!std::holds_alternative<link_not_leader>(Order.Reply))
        return;
      Found->second->closeWhenWritten();
      closed(Order.Connection);
    });
  }

  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Guard;
  std::unique_ptr<framed_listener> Listener;
  std::map<connection_number, std::shared_ptr<framed_connection>> Connections;
  connection_number Last;
  std::thread Thread;
};

entry_hub::entry_hub(std::unique_ptr<state> Started) : State(std::move(Started)) {}
entry_hub::~entry_hub() = default;

result<std::unique_ptr<entry_hub>, listen_error> entry_hub::start(entry_hub_plan Plan) {
  auto Made = std::make_unique<state>(std::move(Plan));
  if (const auto Failure = Made->start())
    return *Failure;
  return std::unique_ptr<entry_hub>(new entry_hub(std::move(Made)));
}

std::string entry_hub::address() const { return State->Address; }
void entry_hub::send(hub_order Order) { State->Orders.push(std::move(Order)); }
std::size_t entry_hub::drain(const std::function<void(hub_event &&)> &Handle) {
  return State->Events.drain(Handle);
}
entry_hub_counters entry_hub::counters() const {
  return {State->Open.load(), State->Garbage.load(), State->Refused.load()};
}

} // namespace pollenstall
