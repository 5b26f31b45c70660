/** @file relay.cpp Accepts callers' connections and executes the decision thread's orders. */
#include "relay/relay_base.h"

#include "address/address.h"
#include "relay/attempt_list_func.h"
#include "relay/backend_exchange_base.h"
#include "relay/caller_session_base.h"
#include "relay/cancel_call_func.h"
#include "relay/relay_context_type.h"
#include "relay/rethrow_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace pollenstall {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds HousekeepingInterval{20};
constexpr std::chrono::milliseconds AcceptPause{50};
/// Maximum time that a caller that stopped reading can keep the session after its request has
/// ended.
constexpr std::chrono::seconds LastWriteLimit{2};

} // namespace

class relay::state {
public:
  state(asio::io_context &Io, const process_key &Self, const relay_limits &Limits,
        std::shared_ptr<prometheus::Registry> Source, bounded_ring<dispatch_event> &Events)
      : Registry(std::move(Source)), Metrics(*Registry),
        Context(Io, Self, Limits, Metrics, Events, Self.Incarnation.value()), Acceptor(Io),
        Housekeeping(Io) {}

  result<std::string, relay_error> listen(std::string_view Address) {
    const auto Listening = listenOn(Acceptor, Address);
    if (!succeeded(Listening))
      return relay_error{errorOf(Listening)};
    asio::co_spawn(Context.Io, accept(), rethrow);
    Context.Sweeper.start();
    runHousekeeping();
    return toText(Acceptor.local_endpoint());
  }

  void execute(start_attempt &&Order) {
    const auto Call = Context.Calls.find(Order.Attempt.Request);
    if (Call == Context.Calls.end()) {
      Context.Outbox.push(attempt_failed{Order.Attempt, attempt_failure::NotWanted});
      return;
    }
    Context.Metrics.countAttempt();
    Call->second->LastAttempt = Order.Attempt;
    Call->second->LastBackend = Order.Backend;
    exchangeFor(Call->second, std::move(Order))->start();
  }

  void execute(resume_attempt &&Order) {
    const auto Call = Context.Calls.find(Order.Attempt.Request);
    // Only an event stream can be resumed; a caller that has part of another answer must not get
    // events.
    if (Call == Context.Calls.end() || Call->second->Stage != answer_stage::Stream) {
      Context.Outbox.push(attempt_failed{Order.Attempt, attempt_failure::BadAnswer});
      return;
    }
    start_attempt Again;
    Again.Attempt = Order.Attempt;
    Again.Backend = Order.Backend;
    exchangeFor(Call->second, std::move(Again))->resume();
  }

  void execute(cancel_order &&Order) {
    const attempt_id Attempt = Order.Cancel.Attempt;
    if (const auto Found = Exchanges.find(Attempt); Found != Exchanges.end())
      Found->second->abandon();
    if (!Order.SupportsCancel)
      Context.Outbox.push(cancel_confirmed{Attempt});
    else if (Cancels.insert(Attempt).second)
      asio::co_spawn(Context.Io, cancel(Order.Cancel), rethrow);
  }

  void execute(finish_request &&Order) {
    const auto Found = Context.Calls.find(Order.Request);
    if (Found == Context.Calls.end())
      return;
    const std::shared_ptr<relayed_call> Call = std::move(Found->second);
    Context.Calls.erase(Found);
    Context.Metrics.OpenCalls.Set(static_cast<double>(Context.Calls.size()));
    Call->Finish = Order;
    if (Call->RelayingAttempts > 0 && Order.Outcome != final_outcome::Complete)
      Call->Caller->socket().expireAt(boot_clock::now() + LastWriteLimit);
    Call->Changed.notify();
  }

  void execute(suspects_update &&Order) {
    Context.Suspects = std::move(Order.List);
    if (!Context.Suspects->empty())
      for (const auto &[Attempt, Exchange] : Exchanges)
        Exchange->giveUpIfBlocked();
  }

  void execute(evacuations_update &&Order) {
    Context.Evacuations = std::move(Order.Evacuations);
    for (const auto &[Attempt, Exchange] : Exchanges)
      Exchange->giveUpIfEvacuated();
    reportEvacuations();
  }

  void execute(path_servers_update &&Order) {
    path_table &Paths = Context.Pool.connector().paths();
    for (const path_server &Server : Order.Added)
      Paths.addServer(Server);
    for (const backend_key &Server : Order.Removed)
      Paths.removeServer(Server);
  }

  void execute(tunnel_entries_update &&Order) {
    Context.Pool.connector().setEntries(Order.Entries);
  }

  void execute(list_attempts &&Order) {
    asio::co_spawn(Context.Io, list(std::move(Order.Backend)), rethrow);
  }

  void execute(declaration_in_force &&Order) {
    Context.Declaration = std::move(Order.View);
    Context.DeclaredUntil = Order.Until;
    Context.DeclarationStale = Order.Stale;
    if (!Context.Declaration || !Context.Declaration->declaration().Callers)
      return;
    const caller_limits &Callers = *Context.Declaration->declaration().Callers;
    Context.Limits.HeaderBytes = Callers.HeaderBytes;
    Context.Limits.HeaderTimeout = Callers.HeaderTimeout;
    Context.Limits.IdleTimeout = Callers.IdleTimeout;
  }

  /// Ends every coroutine, so that none outlives the objects that its sockets refer to.
  void stop() {
    Stopped = true;
    Context.Ended = true;
    Context.Tunnels.stop();
    error_code Ignored;
    Acceptor.close(Ignored);
    Housekeeping.cancel();
    for (const auto &[Attempt, Exchange] : Exchanges)
      Exchange->abandon();
    for (const auto &[RequestNumber, Call] : Context.Calls) {
      Call->Finish =
          finish_request{RequestNumber,
                         Call->mayHaveRun() ? final_outcome::Unknown : final_outcome::NotRun,
                         failure_reason::ShuttingDown,
                         {}};
      Call->Changed.notify();
    }
    Context.Sweeper.stop();
  }

  void useTunnels(const std::string &Fleet, const tunnel_peer &OwnPeer, std::uint64_t Seed,
                  std::function<void(const path_change &)> AtPathChange) {
    backend_connector &Connector = Context.Pool.connector();
    Connector.useTunnels(Fleet, tunnel_peers(OwnPeer.Address, OwnPeer.Domain, Seed));
    Connector.onPathChange(std::move(AtPathChange));
    Connector.onTunnelResult(
        [this](std::optional<tunnel_failure> Failure) { Metrics.countTunnelOpened(Failure); });
    Context.Tunnels.onRequest([this](std::optional<tunnel_failure> Failure, const std::string &) {
      Metrics.countTunnelCarried(Failure);
    });
  }

  [[nodiscard]] bool stopped() const { return Stopped; }

  [[nodiscard]] std::string dump() const {
    boost::json::object State;
    State["connections"] = Context.Connections;
    State["open_requests"] = Context.Calls.size();
    State["open_exchanges"] = Exchanges.size();
    State["cancels_under_way"] = Cancels.size();
    State["idle_backend_connections"] = Context.Pool.idle();
    State["servers_through_peers"] = Context.Pool.connector().paths().detours();
    boost::json::array Detoured;
    for (const backend_key &Server : Context.Pool.connector().paths().detouredServers())
      Detoured.emplace_back(toText(Server));
    State["through_peers"] = std::move(Detoured);
    State["tunnels_carried"] = Context.Tunnels.open();
    boost::json::object Carried;
    for (const auto &[Entry, Count] : Context.Tunnels.carried())
      Carried[Entry] = Count;
    State["tunnels_carried_for"] = std::move(Carried);
    State["evacuations_version"] =
        Context.Evacuations ? Context.Evacuations->list().version().value_or(0) : 0;
    State["requests_in_evacuated_domains"] = requestsInEvacuatedDomains();
    State["body_bytes"] = Context.Intake.messageBytes();
    State["callers_memory_bytes"] = Context.Intake.used();
    State["callers_gave_way"] = Context.Intake.gaveWay();
    State["answer_memory_bytes"] = Context.Answers.used();
    State["events_waiting"] = Context.Outbox.queued();
    State["takes_requests"] = Context.Declaration != nullptr && !Context.Stopping;
    return boost::json::serialize(State);
  }

  std::shared_ptr<prometheus::Registry> Registry;
  relay_metrics Metrics;
  relay_context Context;
  bounded_ring<attempts_listed> *Lists{nullptr};
  bounded_ring<evacuations_in_use> *EvacuationReports{nullptr};

private:
  [[nodiscard]] std::uint32_t requestsInEvacuatedDomains() const {
    return static_cast<std::uint32_t>(
        std::count_if(Exchanges.begin(), Exchanges.end(),
                      [](const auto &Item) { return Item.second->runsInEvacuatedDomain(); }));
  }

  void reportEvacuations() {
    if (!Context.Evacuations || EvacuationReports == nullptr)
      return;
    const mono_time Now = boot_clock::now();
    const std::uint64_t Version = Context.Evacuations->list().version().value_or(0);
    if (!EvacuationReporter.mayReport(Version, Now))
      return;
    const evacuations_in_use Report{Version, requestsInEvacuatedDomains()};
    // A full ring refuses the report; it is repeated at the next housekeeping.
    if (!EvacuationReporter.isNews(Report) || EvacuationReports->push(evacuations_in_use(Report)))
      EvacuationReporter.recordReport(Report, Now);
  }

  std::shared_ptr<backend_exchange> exchangeFor(const std::shared_ptr<relayed_call> &Call,
                                                start_attempt Order) {
    const attempt_id Attempt = Order.Attempt;
    ++Call->OpenAttempts;
    auto Exchange = std::make_shared<backend_exchange>(
        Context, Call, std::move(Order),
        [this](const backend_exchange &Ended) { removeExchange(Ended); });
    Exchanges.insert_or_assign(Attempt, Exchange);
    Context.Metrics.OpenStreams.Set(static_cast<double>(Exchanges.size()));
    return Exchange;
  }

  void removeExchange(const backend_exchange &Ended) {
    const auto Found = Exchanges.find(Ended.attempt());
    // A resume may already have replaced the broken exchange while it was closing.
    if (Found != Exchanges.end() && Found->second.get() == &Ended)
      Exchanges.erase(Found);
    Context.Metrics.OpenStreams.Set(static_cast<double>(Exchanges.size()));
  }

  asio::awaitable<void> cancel(cancel_attempt Order) {
    const cancel_result Result = co_await sendCancel(Context.Pool, Context.Limits, Order);
    Cancels.erase(Order.Attempt);
    if (Result != cancel_result::Unconfirmed)
      Context.Outbox.push(cancel_confirmed{Order.Attempt, Result == cancel_result::NeverSeen});
  }

  asio::awaitable<void> list(backend_key Backend) {
    auto Attempts = co_await listAttempts(Context.Pool, Context.Limits, Backend);
    // A full ring drops the list; the next request brings a newer one.
    if (Attempts && Lists)
      Lists->push({std::move(Backend), std::move(*Attempts)});
  }

  asio::awaitable<void> accept() {
    while (Acceptor.is_open()) {
      error_code Code;
      asio::ip::tcp::socket Socket(Context.Io);
      co_await Acceptor.async_accept(Socket, asio::redirect_error(asio::use_awaitable, Code));
      if (Code == asio::error::operation_aborted)
        co_return;
      if (Code || !hasFreeConnection())
        co_await pauseAccepting();
      if (!Code)
        std::make_shared<caller_session>(Context, std::move(Socket))->start();
    }
  }

  /// Waits while all connections are in use: callers wait in the kernel's accept queue instead of
  /// being disconnected.
  asio::awaitable<void> pauseAccepting() {
    error_code Ignored;
    asio::steady_timer Timer(Context.Io);
    do {
      Timer.expires_after(AcceptPause);
      co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
    } while (!Stopped && !hasFreeConnection());
  }

  /// Returns whether another connection may be accepted; one without progress may give way to it.
  bool hasFreeConnection() {
    return Context.Connections < Context.Limits.MaxConnections ||
           Context.Intake.freeConnection(boot_clock::now());
  }

  void runHousekeeping() {
    Housekeeping.expires_after(HousekeepingInterval);
    Housekeeping.async_wait([this](const error_code &Code) {
      if (Code || Stopped)
        return;
      Context.Outbox.flush();
      Context.Pool.closeIdle(boot_clock::now());
      Context.Metrics.Detours.Set(static_cast<double>(Context.Pool.connector().paths().detours()));
      Context.Metrics.TunnelsCarried.Set(static_cast<double>(Context.Tunnels.open()));
      Context.Metrics.BodyBytes.Set(static_cast<double>(Context.Intake.messageBytes()));
      Context.Metrics.CallersMemory.Set(static_cast<double>(Context.Intake.used()));
      Context.Metrics.setGaveWay(Context.Intake.gaveWay());
      Context.Metrics.AnswerMemory.Set(static_cast<double>(Context.Answers.used()));
      reportEvacuations();
      runHousekeeping();
    });
  }

  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer Housekeeping;
  std::map<attempt_id, std::shared_ptr<backend_exchange>> Exchanges;
  std::set<attempt_id> Cancels; ///< Cancel requests in flight.
  evacuation_reporter EvacuationReporter;
  bool Stopped{false};
};

relay::relay(std::unique_ptr<state> Built) : State(std::move(Built)) {}
relay::~relay() = default;

result<std::string, relay_error> relay::listen(std::string_view Address) {
  return State->listen(Address);
}

void relay::handle(relay_order &&Order) {
  if (State->stopped())
    return;
  std::visit(
      [this](auto &&Concrete) { State->execute(std::forward<decltype(Concrete)>(Concrete)); },
      std::move(Order));
}

void relay::beginDrain(mono_time WorkEndsAt) {
  State->Context.Draining = true;
  State->Context.WorkEndsAt = WorkEndsAt;
  // A caller that kept its connection would send its next request here and be refused once this
  // host accepts none; without the connection it goes to another host.
  for (timed_socket *Socket : State->Context.IdleCallers)
    Socket->expireAt(boot_clock::now());
}
void relay::beginStop() {
  State->Context.Stopping = true;
  State->Context.Tunnels.refuseNew();
}
result<done, relay_error> relay::listenForTunnels(std::string_view Address) {
  const auto Listening = State->Context.Tunnels.listen(Address);
  if (!succeeded(Listening))
    return relay_error{errorOf(Listening)};
  return done{};
}
std::size_t relay::openTunnels() const { return State->Context.Tunnels.open(); }
void relay::stop() { State->stop(); }
std::size_t relay::openCalls() const { return State->Context.Calls.size(); }
std::string relay::dump() const { return State->dump(); }

std::unique_ptr<relay> relay_builder::build() {
  auto State = std::make_unique<relay::state>(Io, Self, Limits, Registry, Ring);
  State->Context.Interface = Interface;
  State->Context.AtCallEnd = AtCallEnd;
  State->Context.AtAnswerBroken = AtAnswerBroken;
  State->Context.AtHoldsEnded = AtHoldsEnded;
  State->Context.Sweeper.onStall(AtStall);
  State->Context.Pool.connector().simulatePartition(Partition);
  if (OwnPeer)
    State->useTunnels(Fleet, *OwnPeer, Self.Incarnation.value(), AtPathChange);
  State->Context.Pool.connector().onConnectFailure(AtConnectFailure);
  State->Lists = Lists;
  State->EvacuationReports = EvacuationReports;
  // A full ring drops the answer; the next one states the limit again.
  if (RateLimits != nullptr)
    State->Context.AtRateLimit = [Target = RateLimits](rate_limit_answer Answer) {
      Target->push(std::move(Answer));
    };
  // A full ring drops the notice; this thread obeys it all the same.
  if (ServerNotices != nullptr)
    State->Context.AtServerNotice = [Target = ServerNotices](server_notice Notice) {
      Target->push(std::move(Notice));
    };
  if (CrashUpdates != nullptr) {
    // A full ring drops the update; the next crash reports the same request again.
    State->Context.Crashes.onCrash(
        [Updates = CrashUpdates](crash_report Crash) { Updates->push(std::move(Crash)); });
    State->Context.Crashes.onSuspectRun(
        [Updates = CrashUpdates](suspect_run_begun Run) { Updates->push(Run); });
    State->Context.AtSuspectCleared = [Updates = CrashUpdates](suspect_cleared Cleared) {
      Updates->push(Cleared);
    };
  }
  return std::unique_ptr<relay>(new relay(std::move(State)));
}

} // namespace pollenstall
