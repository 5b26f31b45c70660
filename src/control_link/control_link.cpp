/** @file control_link.cpp The thread that finds the leading control host and renews the lease. */
#include "control_link/control_link_base.h"

#include "address/address.h"
#include "control_link/claim_call_tracker_base.h"
#include "control_link/control_link_codec_func.h"
#include "control_link/control_rotation_base.h"
#include "control_link/receive_idle_monitor_base.h"
#include "peer_link/peer_link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <set>
#include <thread>

namespace pollenstall {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// Interval at which deadlines are checked; a claim may be answered this late after its AnswerBy.
constexpr milliseconds TickInterval{10};
/// Maximum of unanswered renewals. At this limit, no further renewal is sent until the control host
/// answers or the connection is closed.
constexpr std::size_t MaxUnansweredRenewals = 64;
/// How long after a crash report it is resent on new connections: the leader that received it may
/// have failed.
constexpr std::chrono::seconds CrashResendPeriod{10};
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
  explicit state(control_link_options Settings)
      : Options(std::move(Settings)), Requests(Options.RingCapacity), Events(Options.RingCapacity),
        Timer(Io), Calls(Options.Process),
        Rotation(Options.ControlAddresses, Options.BackOffMin, Options.BackOffMax) {
    Events.onWake(Options.NotifyEntry);
    Requests.onWake([this] { boost::asio::post(Io, [this] { drainRequests(); }); });
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

  const control_link_options Options;
  bounded_ring<control_link_request> Requests;
  bounded_ring<control_link_event> Events;
  std::atomic<std::uint64_t> Connects{0};
  std::atomic<std::uint64_t> Undecodable{0};
  std::atomic<std::uint64_t> ClaimTimeouts{0};
  std::atomic<std::uint64_t> UnrecordedOutcomes{0};

private:
  // ---- Time. ----

  void tick() {
    const mono_time Now = boot_clock::now();
    timeOutClaims(Now);
    resendClaims(Now);
    if (Connection)
      checkConnection(Now);
    else
      connectWhenDue(Now);
    flushEvents();
    UnrecordedOutcomes.store(Calls.unrecordedOutcomes(), std::memory_order_relaxed);
    Timer.expires_after(TickInterval);
    Timer.async_wait([this](boost::system::error_code Cancelled) {
      if (!Cancelled)
        tick();
    });
  }

  void checkConnection(mono_time Now) {
    if (IdleMonitor.isIdleLongerThan(Now, Open ? Options.AnswerTimeout : Options.ConnectionTimeout))
      return closeConnection(Now, control_loss_reason::Silent);
    if (Open && Now >= NextRenew)
      renew(Now);
  }

  void timeOutClaims(mono_time Now) {
    for (const claim_answered &Event : Calls.timeOut(Now)) {
      ClaimTimeouts.fetch_add(1, std::memory_order_relaxed);
      emit(Event);
    }
  }

  /// Without a connection, all unanswered calls are sent once there is one.
  void resendClaims(mono_time Now) {
    if (!Open)
      return;
    for (const link_request &Message : Calls.takeOverdue(Now))
      send(Message);
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
    Connection->setCallbacks(
        {[this] { opened(); }, [this](std::string &&Bytes) { received(Bytes); },
         [this] { closeConnection(boot_clock::now(), control_loss_reason::Closed); },
         [this](std::size_t Bytes) { IdleMonitor.recordBytes(Bytes, boot_clock::now()); }});
    IdleMonitor.reset(Now);
    Connection->connect(*Endpoint);
  }

  void opened() {
    Open = true;
    IdleMonitor.reset(boot_clock::now());
    send(link_subscribe{Options.Process, Options.Domain, Options.WorkAddress, StoredText.Revision});
    renew(boot_clock::now());
    for (const link_request &Message : Calls.takeUnanswered(boot_clock::now()))
      send(Message);
    for (const auto &[ReportedAt, Crash] : Crashes)
      send(Crash);
  }

  void closeConnection(mono_time Now, control_loss_reason Reason) {
    Connection->close();
    Connection.reset();
    Open = false;
    UnansweredRenewals.clear();
    Rotation.recordConnectionLoss(LeaderAnswered, Now);
    if (std::exchange(LeaderAnswered, false))
      emit(control_connection_lost{Reason, IdleMonitor.partialMessageBytes(),
                                   IdleMonitor.sinceLastMessage(Now)});
  }

  void closeUndecodable() {
    Undecodable.fetch_add(1, std::memory_order_relaxed);
    closeConnection(boot_clock::now(), control_loss_reason::Unreadable);
  }

  template <typename Message> void send(const Message &Value) {
    // A full queue means that the host reads nothing; the idle timeout closes the connection.
    if (Open)
      Connection->send(linkFrame(Options.Fleet, link_request(Value)));
  }

  void renew(mono_time Now) {
    NextRenew = Now + Options.LeaseRenewInterval;
    if (UnansweredRenewals.size() >= MaxUnansweredRenewals)
      return;
    // The time is taken before the request is sent: the lease must end here before it ends at the
    // leader.
    UnansweredRenewals.emplace(++LastRenewId, Now);
    const link_renew Renewal{LastRenewId, Options.Process, Confirmed, DrainsSeen,
                             StoredText.Revision};
    if (!EvacuationsReceived)
      return send(Renewal);
    link_renew_evacuations Message{Renewal, *EvacuationsReceived, std::nullopt, 0};
    if (ConfirmedEvacuations) {
      Message.Confirmed = ConfirmedEvacuations->Version;
      Message.RequestsLeft = ConfirmedEvacuations->RequestsLeft;
    }
    send(Message);
  }

  // ---- Messages. ----

  void received(const std::string &Bytes) {
    const auto Decoded = decodeEnvelope<link_reply>(Options.Fleet, message_kind::ControlLink, Bytes,
                                                    MaxLinkReplyBytes);
    if (!succeeded(Decoded))
      return closeUndecodable();
    IdleMonitor.recordMessage(boot_clock::now());
    std::visit([this](const auto &Message) { handle(Message); }, valueOf(Decoded));
  }

  void recordLeader() {
    if (std::exchange(LeaderAnswered, true))
      return;
    Connects.fetch_add(1, std::memory_order_relaxed);
    Rotation.recordLeaderAnswer();
  }

  void handle(const link_declaration &Message) {
    auto Text = unpack(Message.Text, MaxLinkReplyBytes);
    if (!Text)
      return closeUndecodable();
    recordLeader();
    storeText(Message.Revision, std::move(*Text));
  }

  void handle(const link_declaration_change &Message) {
    auto Text = StoredText.Revision == Message.Base
                    ? applyPackedDifference(StoredText.Text, Message.Change)
                    : std::nullopt;
    if (!Text) {
      // On the next connection this entry reports no stored text, and receives the complete text.
      StoredText = {};
      return closeUndecodable();
    }
    recordLeader();
    storeText(Message.Revision, std::move(*Text));
  }

  void storeText(revision Revision, std::string Text) {
    // An older declaration, from a former leader, does not replace the stored text.
    if (StoredText.Revision && *StoredText.Revision >= Revision)
      return emit(declaration_received{Revision, std::move(Text)});
    StoredText = {Revision, Text};
    emit(declaration_received{Revision, std::move(Text)});
    // The control host limits the bytes of declaration texts in flight. This renewal reports that
    // the text has arrived, so that the control host can send it to further entries.
    renew(boot_clock::now());
  }

  void handle(const link_lease &Message) {
    const auto Renewal = UnansweredRenewals.find(Message.RenewId);
    if (Renewal == UnansweredRenewals.end())
      return;
    recordLeader();
    const mono_time Sent = Renewal->second;
    UnansweredRenewals.erase(UnansweredRenewals.begin(), std::next(Renewal));
    if (Message.LeaseMillis > 0)
      emit(lease_extended{Message.Revision, Sent + milliseconds(Message.LeaseMillis)});
  }

  void handle(const link_declaration_announced &Message) {
    recordLeader();
    emit(declaration_announced{Message.Revision});
  }

  void handle(const link_not_leader &Message) {
    const mono_time Now = boot_clock::now();
    closeConnection(Now, control_loss_reason::Redirected);
    Rotation.recordRedirect(Message.Leader, Now);
    connectWhenDue(Now);
  }

  void handle(const link_claim_answer &Message) {
    if (!isValidClaimStatus(Message.Verdict))
      return;
    if (const auto Event = Calls.handleClaimAnswer(Message))
      emit(*Event);
  }

  void handle(const link_settle_answer &Message) { Calls.handleSettleAnswer(Message); }

  void handle(const link_backends &Message) {
    recordLeader();
    for (const backend_listing &Listing : Message.Listings)
      if (!isValidListingState(Listing.State))
        return;
    emit(backends_listed{Message.IsFullList, Message.Listings});
  }

  void handle(const link_fleet &Message) {
    recordLeader();
    Rotation.updateHosts(Message.Controls);
    emit(entries_listed{Message.Entries});
  }

  void handle(const link_suspects &Message) {
    recordLeader();
    emit(suspects_listed{Message.Suspects});
  }

  void handle(const link_drains &Message) {
    recordLeader();
    DrainsSeen = Message.Version;
    emit(drains_changed{Message.Backends});
  }

  void handle(const link_evacuations &Message) {
    recordLeader();
    // An older list, from a former leader, does not replace the newer one.
    if (EvacuationsReceived && Message.Version < *EvacuationsReceived)
      return;
    Evacuated = {Message.Domains.begin(), Message.Domains.end()};
    storeEvacuations(Message.Version);
  }

  void handle(const link_evacuation_change &Message) {
    recordLeader();
    if (EvacuationsReceived && Message.Version <= *EvacuationsReceived)
      return;
    // On the next connection the leader sends the list, since this entry reports an older one.
    if (!EvacuationsReceived || Message.Version != *EvacuationsReceived + 1)
      return closeUndecodable();
    if (Message.Restored)
      Evacuated.erase(Message.Domain);
    else
      Evacuated.insert(Message.Domain);
    storeEvacuations(Message.Version);
  }

  void storeEvacuations(std::uint64_t Version) {
    EvacuationsReceived = Version;
    emit(evacuations_changed{Version, {Evacuated.begin(), Evacuated.end()}});
  }

  // ---- Requests of the entry. ----

  void drainRequests() {
    Requests.drain([this](control_link_request &&Request) {
      std::visit([this](const auto &Alternative) { handleRequest(Alternative); }, Request);
    });
    flushEvents();
  }

  void handleRequest(const confirm_revision &Request) {
    Confirmed = Request.Revision;
    if (Open)
      renew(boot_clock::now());
  }
  void handleRequest(const crash_report &Request) {
    const mono_time Now = boot_clock::now();
    std::erase_if(Crashes,
                  [Now](const auto &Crash) { return Now - Crash.first > CrashResendPeriod; });
    for (std::size_t At = 0; At < Request.Fingerprints.size(); At += MaxCrashFingerprints) {
      const auto First = Request.Fingerprints.begin() + static_cast<std::ptrdiff_t>(At);
      const auto Count = std::min(MaxCrashFingerprints, Request.Fingerprints.size() - At);
      link_crash Crash{Request.Backend.Incarnation,
                       {First, First + static_cast<std::ptrdiff_t>(Count)}};
      send(Crash);
      Crashes.emplace_back(Now, std::move(Crash));
    }
    while (Crashes.size() > MaxCrashes)
      Crashes.pop_front();
  }
  void handleRequest(const suspect_cleared &Request) {
    send(link_clear_suspect{Request.Fingerprint});
  }
  void handleRequest(const suspect_run_begun &Request) {
    send(link_suspect_run{Request.Fingerprint});
  }
  void handleRequest(const confirm_evacuations &Request) {
    ConfirmedEvacuations = Request;
    if (Open)
      renew(boot_clock::now());
  }
  void handleRequest(const request_claim &Request) {
    send(Calls.acquire(Request, wallClock(), boot_clock::now()));
  }
  void handleRequest(const report_claim_outcome &Request) {
    send(Calls.settle(Request, wallClock(), boot_clock::now()));
  }

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
  claim_call_tracker Calls;
  std::deque<control_link_event> Backlog; ///< Used if the ring is full; no event may be lost.
  std::map<std::uint64_t, mono_time> UnansweredRenewals;
  std::uint64_t LastRenewId{0};
  /// The newest declaration received in this incarnation; differences refer to it.
  struct stored_text {
    std::optional<revision> Revision;
    std::string Text;
  };
  stored_text StoredText;
  std::optional<revision> Confirmed;
  std::uint64_t DrainsSeen{0};
  /// link_evacuations::Version received last in this incarnation.
  std::optional<std::uint64_t> EvacuationsReceived;
  std::set<failure_domain_name> Evacuated; ///< The list of this version.
  std::optional<confirm_evacuations> ConfirmedEvacuations;
  std::deque<std::pair<mono_time, link_crash>>
      Crashes; ///< Recent crash reports with their times, to be resent on the next connection.
  control_rotation Rotation;
  mono_time NextRenew{};
  receive_idle_monitor IdleMonitor;
  bool Open{false};
  bool LeaderAnswered{false}; ///< On this connection.
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
  return {State->Connects.load(), State->Undecodable.load(), State->ClaimTimeouts.load(),
          State->UnrecordedOutcomes.load()};
}

std::unique_ptr<control_link> control_link_builder::start() {
  auto NewState = std::make_unique<control_link::state>(Options);
  NewState->start();
  return std::unique_ptr<control_link>(new control_link(std::move(NewState)));
}

} // namespace pollenstall
