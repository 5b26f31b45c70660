/** @file relay.cpp Accepts callers and carries out the decision thread's orders. */
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

#include <set>

namespace pollenstall {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds HousekeepingInterval{20};
constexpr std::chrono::milliseconds AcceptPause{50};
/// A caller that has taken nothing when its request ends keeps the session this long at most.
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
    keepHouse();
    return toText(Acceptor.local_endpoint());
  }

  void on(start_attempt &&Order) {
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

  void on(resume_attempt &&Order) {
    const auto Call = Context.Calls.find(Order.Attempt.Request);
    // Only events can be gone on with; what else a caller has part of must not get them.
    if (Call == Context.Calls.end() || Call->second->Stage != answer_stage::Stream) {
      Context.Outbox.push(attempt_failed{Order.Attempt, attempt_failure::BadAnswer});
      return;
    }
    start_attempt Again;
    Again.Attempt = Order.Attempt;
    Again.Backend = Order.Backend;
    exchangeFor(Call->second, std::move(Again))->resume();
  }

  void on(cancel_order &&Order) {
    const attempt_id Attempt = Order.Cancel.Attempt;
    if (const auto Found = Exchanges.find(Attempt); Found != Exchanges.end())
      Found->second->abandon();
    if (!Order.TakesCancels)
      Context.Outbox.push(cancel_confirmed{Attempt});
    else if (Cancels.insert(Attempt).second)
      asio::co_spawn(Context.Io, cancel(Order.Cancel), rethrow);
  }

  void on(finish_request &&Order) {
    const auto Found = Context.Calls.find(Order.Request);
    if (Found == Context.Calls.end())
      return;
    const std::shared_ptr<relayed_call> Call = std::move(Found->second);
    Context.Calls.erase(Found);
    Context.Metrics.OpenCalls.Set(static_cast<double>(Context.Calls.size()));
    Call->Finish = Order;
    if (Call->Relaying && Order.Outcome != final_outcome::Complete)
      Call->Caller->socket().expireAt(boot_clock::now() + LastWriteLimit);
    Call->Changed.notify();
  }

  void on(suspects_known &&Order) { Context.Suspects = std::move(Order.List); }

  void on(list_attempts &&Order) {
    asio::co_spawn(Context.Io, list(std::move(Order.Backend)), rethrow);
  }

  void on(declaration_in_force &&Order) {
    Context.Declaration = std::move(Order.View);
    Context.DeclaredUntil = Order.Until;
    Context.DeclarationLags = Order.Lags;
    if (!Context.Declaration || !Context.Declaration->declaration().Callers)
      return;
    const caller_limits &Callers = *Context.Declaration->declaration().Callers;
    Context.Limits.HeaderBytes = Callers.HeaderBytes;
    Context.Limits.HeaderTimeout = Callers.HeaderTimeout;
    Context.Limits.IdleTimeout = Callers.IdleTimeout;
  }

  /// Ends every coroutine, so that none is left whose sockets outlive what they belong to.
  void stop() {
    Stopped = true;
    Context.Ended = true;
    error_code Ignored;
    Acceptor.close(Ignored);
    Housekeeping.cancel();
    for (const auto &[Attempt, Exchange] : Exchanges)
      Exchange->abandon();
    for (const auto &[Number, Call] : Context.Calls) {
      Call->Finish =
          finish_request{Number,
                         Call->mayHaveRun() ? final_outcome::Unknown : final_outcome::NotRun,
                         failure_reason::ShuttingDown,
                         {}};
      Call->Changed.notify();
    }
    Context.Sweeper.stop();
  }

  [[nodiscard]] bool stopped() const { return Stopped; }

  [[nodiscard]] std::string dump() const {
    boost::json::object State;
    State["connections"] = Context.Connections;
    State["open_requests"] = Context.Calls.size();
    State["open_exchanges"] = Exchanges.size();
    State["cancels_under_way"] = Cancels.size();
    State["idle_backend_connections"] = Context.Links.idle();
    State["body_bytes"] = Context.BodyBytes;
    State["events_waiting"] = Context.Outbox.waiting();
    State["takes_requests"] = Context.Declaration != nullptr && !Context.Stopping;
    return boost::json::serialize(State);
  }

  std::shared_ptr<prometheus::Registry> Registry;
  relay_metrics Metrics;
  relay_context Context;
  bounded_ring<attempts_listed> *Lists{nullptr};

private:
  std::shared_ptr<backend_exchange> exchangeFor(const std::shared_ptr<relayed_call> &Call,
                                                start_attempt Order) {
    const attempt_id Attempt = Order.Attempt;
    auto Exchange = std::make_shared<backend_exchange>(
        Context, Call, std::move(Order), [this](const backend_exchange &Ended) { forget(Ended); });
    Exchanges.insert_or_assign(Attempt, Exchange);
    Context.Metrics.OpenStreams.Set(static_cast<double>(Exchanges.size()));
    return Exchange;
  }

  void forget(const backend_exchange &Ended) {
    const auto Found = Exchanges.find(Ended.attempt());
    // A resume may stand there already while the broken exchange was closing.
    if (Found != Exchanges.end() && Found->second.get() == &Ended)
      Exchanges.erase(Found);
    Context.Metrics.OpenStreams.Set(static_cast<double>(Exchanges.size()));
  }

  asio::awaitable<void> cancel(cancel_attempt Order) {
    const cancel_result Result = co_await askToCancel(Context.Links, Context.Limits, Order);
    Cancels.erase(Order.Attempt);
    if (Result != cancel_result::Unconfirmed)
      Context.Outbox.push(cancel_confirmed{Order.Attempt, Result == cancel_result::NeverSeen});
  }

  asio::awaitable<void> list(backend_key Backend) {
    auto Attempts = co_await listAttempts(Context.Links, Context.Limits, Backend);
    // A full ring drops the list: the next look brings a newer one.
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
      if (Code || Context.Connections >= Context.Limits.MaxConnections)
        co_await pauseAccepting();
      if (!Code)
        std::make_shared<caller_session>(Context, std::move(Socket))->start();
    }
  }

  /// Out of connections: the rest waits in the kernel's queue instead of being cut off.
  asio::awaitable<void> pauseAccepting() {
    error_code Ignored;
    asio::steady_timer Timer(Context.Io);
    do {
      Timer.expires_after(AcceptPause);
      co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
    } while (!Stopped && Context.Connections >= Context.Limits.MaxConnections);
  }

  void keepHouse() {
    Housekeeping.expires_after(HousekeepingInterval);
    Housekeeping.async_wait([this](const error_code &Code) {
      if (Code || Stopped)
        return;
      Context.Outbox.flush();
      Context.Links.closeIdle(boot_clock::now());
      Context.Metrics.BodyBytes.Set(static_cast<double>(Context.BodyBytes));
      keepHouse();
    });
  }

  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer Housekeeping;
  std::map<attempt_id, std::shared_ptr<backend_exchange>> Exchanges;
  std::set<attempt_id> Cancels; ///< Being asked for now.
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
  std::visit([this](auto &&Known) { State->on(std::forward<decltype(Known)>(Known)); },
             std::move(Order));
}

void relay::beginDrain() {
  State->Context.Draining = true;
  // A caller that kept its connection would send its next request here for as long as it lasts, and
  // have it refused once this host takes none; without the connection it goes to another host.
  for (timed_socket *Socket : State->Context.IdleCallers)
    Socket->expireAt(boot_clock::now());
}
void relay::beginStop() { State->Context.Stopping = true; }
void relay::stop() { State->stop(); }
std::size_t relay::openCalls() const { return State->Context.Calls.size(); }
std::string relay::dump() const { return State->dump(); }

relay_builder::relay_builder(asio::io_context &Context, bounded_ring<dispatch_event> &Events)
    : Io(Context), Ring(Events), Registry(std::make_shared<prometheus::Registry>()) {}

relay_builder &relay_builder::attemptLists(bounded_ring<attempts_listed> &Target) {
  Lists = &Target;
  return *this;
}

relay_builder &relay_builder::crashNews(bounded_ring<crash_news> &Target) {
  News = &Target;
  return *this;
}

relay_builder &relay_builder::process(process_key Value) {
  Self = std::move(Value);
  return *this;
}

relay_builder &relay_builder::limits(const relay_limits &Value) {
  Limits = Value;
  return *this;
}

relay_builder &relay_builder::metrics(std::shared_ptr<prometheus::Registry> Value) {
  Registry = std::move(Value);
  return *this;
}

relay_builder &relay_builder::interface(call_interface Hooks) {
  Interface = std::move(Hooks);
  return *this;
}

relay_builder &relay_builder::onCallEnd(std::function<void(const call_record &)> Hook) {
  AtCallEnd = std::move(Hook);
  return *this;
}

std::unique_ptr<relay> relay_builder::build() {
  auto State = std::make_unique<relay::state>(Io, Self, Limits, Registry, Ring);
  State->Context.Interface = Interface;
  State->Context.AtCallEnd = AtCallEnd;
  State->Lists = Lists;
  if (News != nullptr) {
    // A full ring drops it: the same request is seen at the next crash.
    State->Context.Crashes.onCrash([To = News](crash_report Crash) { To->push(std::move(Crash)); });
    State->Context.AtSuspectCleared = [To = News](suspect_cleared Cleared) { To->push(Cleared); };
  }
  return std::unique_ptr<relay>(new relay(std::move(State)));
}

} // namespace pollenstall
