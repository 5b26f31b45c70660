/** @file control_link.cpp The thread that finds the leading control host and keeps the lease. */
#include "control_link/control_link_base.h"

#include "address/address.h"
#include "control_link/control_link_codec_func.h"
#include "control_link/control_rotation_base.h"
#include "control_link/link_ledger_base.h"
#include "control_link/silence_watch_base.h"
#include "peer_link/peer_link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <thread>

namespace pollenstall {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// How often deadlines are looked at; a claim may be answered this much after its AnswerBy.
constexpr milliseconds TickInterval{10};
/// Renewals without an answer that are remembered; more mean that the host is silent.
constexpr std::size_t MaxOpenAsks = 64;
/// How long a crash is told on new connections: it may have been told to a leader that failed.
constexpr std::chrono::seconds CrashKept{10};
constexpr std::size_t MaxCrashes = 64;

framed_limits linkLimits() {
  framed_limits Limits;
  Limits.MaxFrame = MaxLinkReplyBytes;
  Limits.MaxQueued = MaxLinkReplyBytes;
  return Limits;
}

} // namespace

class control_link::state {
public:
  explicit state(control_link_plan Settings)
      : Plan(std::move(Settings)), Requests(Plan.RingCapacity), Events(Plan.RingCapacity),
        Timer(Io), Ledger(Plan.Process), Rotation(Plan.Controls, Plan.BackOffMin, Plan.BackOffMax) {
    Events.onWake(Plan.WakeEntry);
    Requests.onWake([this] { boost::asio::post(Io, [this] { takeRequests(); }); });
  }

  ~state() {
    Io.stop();
    if (Thread.joinable())
      Thread.join();
    if (Connection)
      Connection->close();
  }

  void start() {
    tick();
    Thread = std::thread([this] { Io.run(); });
  }

  const control_link_plan Plan;
  bounded_ring<control_link_request> Requests;
  bounded_ring<control_link_event> Events;
  std::atomic<std::uint64_t> Connects{0};
  std::atomic<std::uint64_t> Garbage{0};
  std::atomic<std::uint64_t> ClaimTimeouts{0};
  std::atomic<std::uint64_t> UnsettledEnds{0};

private:
  // ---- Time. ----

  void tick() {
    const mono_time Now = boot_clock::now();
    expireClaims(Now);
    if (Connection)
      watchConnection(Now);
    else
      connectWhenDue(Now);
    flushEvents();
    UnsettledEnds.store(Ledger.openEnds(), std::memory_order_relaxed);
    Timer.expires_after(TickInterval);
    Timer.async_wait([this](boost::system::error_code Cancelled) {
      if (!Cancelled)
        tick();
    });
  }

  void watchConnection(mono_time Now) {
    if (Silence.isOver(Now, Open ? Plan.AnswerWithin : Plan.ConnectWithin))
      return lose(Now, control_loss::Silent);
    if (Open && Now >= NextRenew)
      renew(Now);
  }

  void expireClaims(mono_time Now) {
    for (const claim_answered &Event : Ledger.expire(Now)) {
      ClaimTimeouts.fetch_add(1, std::memory_order_relaxed);
      emit(Event);
    }
    for (const link_claim_settle &Release : Ledger.takeReleases())
      send(Release);
  }

  // ---- Connection. ----

  void connectWhenDue(mono_time Now) {
    if (const auto Address = Rotation.next(Now))
      connect(*Address, Now);
  }

  void connect(const std::string &Address, mono_time Now) {
    const auto Endpoint = tcpEndpoint(Address);
    if (!Endpoint)
      return;
    Connection = std::make_shared<framed_connection>(tcp::socket(Io), linkLimits());
    Connection->tell({[this] { opened(); }, [this](std::string &&Bytes) { received(Bytes); },
                      [this] { lose(boot_clock::now(), control_loss::Closed); },
                      [this](std::size_t Bytes) { Silence.arrived(Bytes, boot_clock::now()); }});
    Silence.begin(Now);
    Connection->connect(*Endpoint);
  }

  void opened() {
    Open = true;
    Silence.begin(boot_clock::now());
    send(link_subscribe{Plan.Process, Plan.Domain, Plan.WorkAddress, Held.Revision});
    renew(boot_clock::now());
    for (const link_request &Message : Ledger.unanswered())
      send(Message);
    for (const auto &[Seen, Crash] : Crashes)
      send(Crash);
  }

  void lose(mono_time Now, control_loss Why) {
    Connection->close();
    Connection.reset();
    Open = false;
    Asks.clear();
    Rotation.noteLost(Served, Now);
    if (std::exchange(Served, false))
      emit(control_lost{Why, Silence.partBytes(), Silence.sinceMessage(Now)});
  }

  void loseUnreadable() {
    Garbage.fetch_add(1, std::memory_order_relaxed);
    lose(boot_clock::now(), control_loss::Unreadable);
  }

  template <typename Message> void send(const Message &Value) {
    // A full queue means a host that reads nothing; it is found silent and given up.
    if (Open)
      Connection->send(linkFrame(Plan.Fleet, link_request(Value)));
  }

  void renew(mono_time Now) {
    NextRenew = Now + Plan.RenewEvery;
    if (Asks.size() >= MaxOpenAsks)
      return;
    // The time is taken before the request can leave: the lease must end here before it ends there.
    Asks.emplace(++LastAsk, Now);
    send(link_renew{LastAsk, Plan.Process, Confirmed, DrainsSeen, Held.Revision});
  }

  // ---- Messages. ----

  void received(const std::string &Bytes) {
    const auto Decoded =
        decodeEnvelope<link_reply>(Plan.Fleet, message_kind::ControlLink, Bytes, MaxLinkReplyBytes);
    if (!succeeded(Decoded))
      return loseUnreadable();
    Silence.message(boot_clock::now());
    std::visit([this](const auto &Message) { handle(Message); }, valueOf(Decoded));
  }

  void served() {
    if (std::exchange(Served, true))
      return;
    Connects.fetch_add(1, std::memory_order_relaxed);
    Rotation.noteServed();
  }

  void handle(const link_declaration &Message) {
    auto Text = unpack(Message.Text, MaxLinkReplyBytes);
    if (!Text)
      return loseUnreadable();
    served();
    hold(Message.Revision, std::move(*Text));
  }

  void handle(const link_declaration_change &Message) {
    auto Text = Held.Revision == Message.Base ? applyPackedDifference(Held.Text, Message.Change)
                                              : std::nullopt;
    if (!Text) {
      // On the next connection this host says that it holds nothing, and is sent the whole text.
      Held = {};
      return loseUnreadable();
    }
    served();
    hold(Message.Revision, std::move(*Text));
  }

  void hold(revision Revision, std::string Text) {
    // An older one, from a former leader, is nothing to build on.
    if (Held.Revision && *Held.Revision >= Revision)
      return emit(declaration_received{Revision, std::move(Text)});
    Held = {Revision, Text};
    emit(declaration_received{Revision, std::move(Text)});
    // The control host sends the next entry its text once it knows that this one has arrived.
    renew(boot_clock::now());
  }

  void handle(const link_lease &Message) {
    const auto Ask = Asks.find(Message.Ask);
    if (Ask == Asks.end())
      return;
    served();
    const mono_time Sent = Ask->second;
    Asks.erase(Asks.begin(), std::next(Ask));
    if (Message.LeaseMillis > 0)
      emit(lease_extended{Message.Revision, Sent + milliseconds(Message.LeaseMillis)});
  }

  void handle(const link_declared &Message) {
    served();
    emit(declaration_announced{Message.Revision});
  }

  void handle(const link_not_leader &Message) {
    const mono_time Now = boot_clock::now();
    lose(Now, control_loss::Redirected);
    Rotation.noteRedirect(Message.Leader, Now);
    connectWhenDue(Now);
  }

  void handle(const link_claim_answer &Message) {
    if (!isVerdict(Message.Verdict))
      return;
    if (const auto Event = Ledger.answered(Message))
      emit(*Event);
  }

  void handle(const link_settle_answer &Message) { Ledger.settled(Message); }

  void handle(const link_backends &Message) {
    served();
    for (const backend_listing &Listing : Message.Listings)
      if (!isState(Listing.State))
        return;
    emit(backends_listed{Message.Whole, Message.Listings});
  }

  void handle(const link_fleet &Message) {
    served();
    Rotation.useHosts(Message.Controls);
    emit(entries_listed{Message.Entries});
  }

  void handle(const link_suspects &Message) {
    served();
    emit(suspects_listed{Message.Suspects});
  }

  void handle(const link_drains &Message) {
    served();
    DrainsSeen = Message.Version;
    emit(drains_changed{Message.Backends});
  }

  // ---- The entry's side. ----

  void takeRequests() {
    Requests.drain([this](control_link_request &&Request) {
      std::visit([this](const auto &One) { take(One); }, Request);
    });
    flushEvents();
  }

  void take(const revision_confirmed &Request) {
    Confirmed = Request.Revision;
    if (Open)
      renew(boot_clock::now());
  }
  void take(const crash_report &Request) {
    const mono_time Now = boot_clock::now();
    std::erase_if(Crashes, [Now](const auto &Item) { return Now - Item.first > CrashKept; });
    for (std::size_t At = 0; At < Request.Fingerprints.size(); At += MaxCrashMarks) {
      const auto First = Request.Fingerprints.begin() + static_cast<std::ptrdiff_t>(At);
      const auto Count = std::min(MaxCrashMarks, Request.Fingerprints.size() - At);
      link_crash Crash{Request.Backend.Incarnation,
                       {First, First + static_cast<std::ptrdiff_t>(Count)}};
      send(Crash);
      Crashes.emplace_back(Now, std::move(Crash));
    }
    while (Crashes.size() > MaxCrashes)
      Crashes.pop_front();
  }
  void take(const suspect_cleared &Request) { send(link_clear_suspect{Request.Fingerprint}); }
  void take(const claim_wanted &Request) { send(Ledger.acquire(Request, wallClock())); }
  void take(const claim_ended &Request) { send(Ledger.settle(Request, wallClock())); }

  void emit(control_link_event Event) {
    Backlog.push_back(std::move(Event));
    flushEvents();
  }

  void flushEvents() {
    while (!Backlog.empty() && Events.push(std::move(Backlog.front())))
      Backlog.pop_front();
  }

  boost::asio::io_context Io{1};
  boost::asio::steady_timer Timer;
  std::shared_ptr<framed_connection> Connection;
  link_ledger Ledger;
  std::deque<control_link_event> Backlog; ///< Where the ring is full; no event may be lost.
  std::map<std::uint64_t, mono_time> Asks;
  std::uint64_t LastAsk{0};
  /// The newest declaration that arrived in this life, for differences to build on.
  struct held_text {
    std::optional<revision> Revision;
    std::string Text;
  };
  held_text Held;
  std::optional<revision> Confirmed;
  std::uint64_t DrainsSeen{0};
  std::deque<std::pair<mono_time, link_crash>> Crashes; ///< The last ones, for the next connection.
  control_rotation Rotation;
  mono_time NextRenew{};
  silence_watch Silence;
  bool Open{false};
  bool Served{false}; ///< A leader has answered on this connection.
  std::thread Thread;
};

control_link::control_link(std::unique_ptr<state> Started) : State(std::move(Started)) {}
control_link::~control_link() = default;

bool control_link::request(control_link_request Request) {
  return State->Requests.push(std::move(Request));
}

std::size_t control_link::drainEvents(const std::function<void(control_link_event &&)> &Handle) {
  return State->Events.drain(Handle);
}

control_link_counters control_link::counters() const {
  return {State->Connects.load(), State->Garbage.load(), State->ClaimTimeouts.load(),
          State->UnsettledEnds.load()};
}

control_link_builder::control_link_builder(std::vector<std::string> Controls, std::string Fleet) {
  requireInvariant(!Controls.empty(), "a control link knows a control host");
  Plan.Controls = std::move(Controls);
  Plan.Fleet = std::move(Fleet);
}

control_link_builder &control_link_builder::process(process_key Process,
                                                    failure_domain_name Domain) {
  Plan.Process = std::move(Process);
  Plan.Domain = std::move(Domain);
  return *this;
}

control_link_builder &control_link_builder::workAddress(std::string Address) {
  Plan.WorkAddress = std::move(Address);
  return *this;
}

control_link_builder &control_link_builder::onEvents(std::function<void()> Wake) {
  Plan.WakeEntry = std::move(Wake);
  return *this;
}

control_link_builder &control_link_builder::renewEvery(milliseconds Interval) {
  Plan.RenewEvery = Interval;
  return *this;
}

control_link_builder &control_link_builder::answerWithin(milliseconds Limit) {
  Plan.AnswerWithin = Limit;
  return *this;
}

control_link_builder &control_link_builder::connectWithin(milliseconds Limit) {
  Plan.ConnectWithin = Limit;
  return *this;
}

control_link_builder &control_link_builder::backOff(milliseconds Min, milliseconds Max) {
  Plan.BackOffMin = Min;
  Plan.BackOffMax = Max;
  return *this;
}

control_link_builder &control_link_builder::ringCapacity(std::size_t Items) {
  Plan.RingCapacity = Items;
  return *this;
}

std::unique_ptr<control_link> control_link_builder::start() {
  auto Made = std::make_unique<control_link::state>(Plan);
  Made->start();
  return std::unique_ptr<control_link>(new control_link(std::move(Made)));
}

} // namespace pollenstall
