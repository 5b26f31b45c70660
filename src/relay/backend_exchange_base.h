/** @file backend_exchange_base.h One attempt on one connection to a backend server. */
#ifndef POLLENSTALL_RELAY_BACKEND_EXCHANGE_BASE_H
#define POLLENSTALL_RELAY_BACKEND_EXCHANGE_BASE_H

#include "message_feed/message_feed.h"
#include "relay/answer_end_func.h"
#include "relay/event_scanner_base.h"
#include "relay/memory_holds_base.h"
#include "relay/relay_context_type.h"
#include "relay/usage_func.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// The result of an exchange, as reported to the decision thread.
struct exchange_end {
  std::optional<attempt_failure> Failure; ///< Empty if the answer is complete.
  engine_usage Usage;
};

/**
 * Sends a request, checks the answer and relays it, all in one coroutine: no other thread is
 * involved between reading an event and writing it to the caller.
 *
 * It reads from the backend server only after the caller has accepted the previous bytes, so that a
 * slow caller does not fill memory here.
 */
class backend_exchange : public std::enable_shared_from_this<backend_exchange> {
public:
  /// Upper bound on how long an exchange outlives the request's deadline; the decision thread
  /// normally ends it earlier.
  static constexpr std::chrono::seconds DeadlineGrace{5};

  /// Called once at the end, for abandoned exchanges too.
  using end_hook = std::function<void(const backend_exchange &)>;

  backend_exchange(relay_context &SharedContext, std::shared_ptr<relayed_call> CallState,
                   start_attempt AttemptOrder, end_hook EndHook)
      : Context(SharedContext), Call(std::move(CallState)), Order(std::move(AttemptOrder)),
        OnEnd(std::move(EndHook)),
        Feed(Context.Limits.HeaderBytes, bodyOfAnswerTo(Call->Request.Method)),
        FeedMemory(SharedContext.Answers) {}

  /// Sends the full request.
  void start();
  /// Requests the events after the last one that the caller has received.
  void resume();
  /// Closes the connection. No more bytes of the answer are relayed and no event is reported.
  void abandon();
  /// Closes the connection if the request has become blocked and its answer has not begun.
  void giveUpIfBlocked();
  /// Fails the attempt, since no request has used the memory that engines hold for it.
  void giveUpUnusedHolds();
  /// Fails the attempt if it has not been sent and one of its servers may get no new request.
  void giveUpIfEvacuated();
  /// Returns whether the attempt was sent, has not ended and uses a server that is evacuated.
  [[nodiscard]] bool runsInEvacuatedDomain() const;
  [[nodiscard]] const attempt_id &attempt() const { return Order.Attempt; }

private:
  static answer_body bodyOfAnswerTo(std::string_view Method) {
    return Method == "HEAD" ? answer_body::None : answer_body::AsStated;
  }

  enum class exchange_mode : std::uint8_t { Start, Resume };

  boost::asio::awaitable<void> run(exchange_mode Mode);
  boost::asio::awaitable<exchange_end> perform(exchange_mode Mode);
  /// Returns whether the request should still be sent. An engine cannot tell that no caller waits
  /// for the answer, and would work for nobody.
  bool isStillWanted();
  boost::asio::awaitable<std::optional<attempt_failure>> send(exchange_mode Mode);
  boost::asio::awaitable<std::optional<attempt_failure>> readHead();
  boost::asio::awaitable<exchange_end> relayEvents();
  boost::asio::awaitable<exchange_end> relayOpenEvents();
  boost::asio::awaitable<bool> forwardEvents(std::string_view Ready, std::uint64_t Events);
  boost::asio::awaitable<exchange_end> relayWholeAnswer();
  bool feedAvailable();
  /// Counts the part of the answer that waits for its rest. Returns whether the memory that all
  /// answers share has room for it.
  bool fitsMemory();
  /// Returns whether the unfinished event is too large, or too large for the memory.
  bool isEventTooLong();
  /// Reports to the decision thread if the server sends nothing from now on.
  void watchSilence();
  mono_duration reportSilence();
  /// Returns how long a working server may send nothing in the middle of its answer.
  [[nodiscard]] mono_duration silenceLimit() const;
  /// Returns whether this attempt may still answer the caller; another one may have begun to.
  [[nodiscard]] bool mayRelay() const { return Call->mayRelay(Order.Attempt.Ordinal, Before); }
  /// Ends this attempt without a report: the decision thread learns of the one that answers.
  exchange_end yieldToOther();
  /// Makes this attempt the one that answers the caller.
  void takeCaller();
  void beginRelaying();
  void endRelaying();
  [[nodiscard]] bool isBufferedAnswer();
  boost::asio::awaitable<bool> startAnswer(answer_framing Framing, std::string_view First);
  /// Reports the attempt as silent while the peer that carries it does not reach the server.
  boost::asio::awaitable<void> checkPath();
  [[nodiscard]] bool isCarried() const { return Connection && !Connection->carrier().empty(); }
  boost::asio::awaitable<bool> readMore();
  boost::asio::awaitable<void> returnConnection();

  std::optional<attempt_failure> checkAnswerHead(exchange_mode Mode);
  std::optional<attempt_failure> checkHeaderRoutedAnswer();
  void reportRateLimit(const rate_limit_statement &Stated);
  /// Obeys and reports what the answer says of its server.
  void noteServer(const pause_statement &Pause, bool Leaving);
  /// Returns whether this server, or one that is to hold memory for the request, has asked for a
  /// pause.
  [[nodiscard]] bool isPaused() const;
  /// Returns whether the check holds for a server that answers, prefills a part or holds memory.
  template <typename Check> [[nodiscard]] bool anyServer(Check &&Holds) const;
  /// Returns whether new requests may go to all servers of this attempt.
  [[nodiscard]] bool serversAllowRequest() const;
  /// Returns whether the attempt must not be sent because of an evacuation, and counts it.
  bool stopsForEvacuation();
  [[nodiscard]] bool namesOtherAttempt();
  [[nodiscard]] bool isEventStream();
  [[nodiscard]] bool isErrorStatus(unsigned Status) const;
  [[nodiscard]] answer_head makeAnswerHead(answer_framing Framing);
  [[nodiscard]] body_framing bodyFraming();
  answer_verdict judgeEnd();
  void recordEnd(const exchange_end &End);
  void noteRelayed(std::uint64_t Events, std::size_t Bytes);
  void flushProgress();
  void uncountIfNotRun(const exchange_end &End);
  void reportForSuspects(const exchange_end &End);
  /// Returns whether the request, admitted earlier, is now blocked because it crashes servers.
  [[nodiscard]] bool isBlocked() const;
  void report(const exchange_end &End);

  relay_context &Context;
  std::shared_ptr<memory_holds> Holds; ///< Null if the attempt needs no memory holds.
  std::shared_ptr<relayed_call> Call;
  start_attempt Order;
  end_hook OnEnd;
  backend_connection Connection;
  answer_feed Feed;
  memory_share FeedMemory;
  mono_duration SilentFor{0}; ///< Since the last bytes, when reportSilence() is called next.
  relayed_part Before;        ///< What the caller had received when this attempt began.
  event_scanner Scanner;
  answer_progress Progress; ///< MessageDone and Connection as of the last judgeEnd().
  std::uint64_t UnreportedEvents{0};
  bool Answering{false};
  bool Abandoned{false};
  bool HoldsUnused{false};
  bool Relaying{false};        ///< Counted in Call->RelayingAttempts.
  bool SilenceReported{false}; ///< The decision thread waits to learn whether the answer goes on.
  bool Sent{false};            ///< The first byte was sent.
  bool Begun{false};           ///< The first byte of the request, or of its resume, was sent.
  backend_address AtFault;     ///< The server that a refusal names as its cause.
  bool ServerError{false};     ///< The answer has a 5xx status.
  /// Set while the path of the request is checked.
  std::optional<boost::asio::steady_timer> PathTimer;
  bool Ended{false};              ///< The result is known.
  bool EndsWithConnection{false}; ///< The end of the connection marks the end of the answer.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_BACKEND_EXCHANGE_BASE_H
