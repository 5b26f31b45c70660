/** @file backend_exchange_base.h One attempt on one connection to a backend server. */
#ifndef POLLENSTALL_RELAY_BACKEND_EXCHANGE_BASE_H
#define POLLENSTALL_RELAY_BACKEND_EXCHANGE_BASE_H

#include "relay/event_scanner_base.h"
#include "relay/memory_holds_base.h"
#include "relay/message_feed_base.h"
#include "relay/relay_context_type.h"
#include "relay/usage_func.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// How an exchange ended, as far as the decision thread must know.
struct exchange_end {
  std::optional<attempt_failure> Failure; ///< Nothing where the answer is whole.
  engine_usage Usage;
};

/**
 * Sends a request, checks the answer and relays it, all in one coroutine: nothing is handed to
 * another thread between reading an event and writing it to the caller.
 *
 * It reads from the backend server only after the caller has taken the last bytes, so that a slow
 * caller fills no memory here.
 */
class backend_exchange : public std::enable_shared_from_this<backend_exchange> {
public:
  /// An exchange outlives the request's deadline by this at most; the decision thread ends it
  /// before.
  static constexpr std::chrono::seconds DeadlineGrace{5};

  /// Called once at the end, also of an exchange that was abandoned.
  using end_hook = std::function<void(const backend_exchange &)>;

  backend_exchange(relay_context &Shared, std::shared_ptr<relayed_call> For, start_attempt Wanted,
                   end_hook AtEnd)
      : Context(Shared), Call(std::move(For)), Order(std::move(Wanted)), Ended(std::move(AtEnd)) {
    Feed.emplace(Shared.Limits.HeaderBytes);
  }

  /// Sends the request from its start.
  void start();
  /// Asks for the events behind the last one that the caller has.
  void resume();
  /// Closes the connection; no byte of the answer passes any more, and no event is told.
  void abandon();
  [[nodiscard]] const attempt_id &attempt() const { return Order.Attempt; }

private:
  enum class errand : std::uint8_t { Start, Resume };

  boost::asio::awaitable<void> run(errand Errand);
  boost::asio::awaitable<exchange_end> perform(errand Errand);
  /// @return Whether anybody waits for the answer at this very moment. An engine cannot tell, and
  /// would work for nobody.
  bool isStillWanted();
  boost::asio::awaitable<std::optional<attempt_failure>> send(errand Errand);
  boost::asio::awaitable<std::optional<attempt_failure>> readHead();
  boost::asio::awaitable<exchange_end> relayEvents();
  boost::asio::awaitable<exchange_end> relayOpenEvents();
  boost::asio::awaitable<bool> passEvents(std::string_view Ready, std::uint64_t Events);
  boost::asio::awaitable<exchange_end> relayWhole();
  bool feedReady();
  void watchSilence();
  [[nodiscard]] bool heldUntilWhole();
  boost::asio::awaitable<bool> startAnswer(answer_framing Framing, std::string_view First);
  boost::asio::awaitable<bool> readMore();
  boost::asio::awaitable<void> returnLink();

  std::optional<attempt_failure> judgeHead(errand Errand);
  std::optional<attempt_failure> judgeHeadedAnswer();
  [[nodiscard]] bool namesOtherAttempt();
  [[nodiscard]] bool isEventStream();
  [[nodiscard]] bool isErrorStatus(unsigned Status) const;
  [[nodiscard]] answer_head answerHead(answer_framing Framing);
  [[nodiscard]] std::optional<answer_framing> framingOfWhole();
  void noteRelayed(std::uint64_t Events, std::size_t Bytes);
  void flushProgress();
  void noteProvedNotRun(const exchange_end &End);
  void noteForSuspects(const exchange_end &End);
  /// @return Whether the request was found to crash servers since it was admitted.
  [[nodiscard]] bool isBlocked() const;
  void report(const exchange_end &End);

  relay_context &Context;
  std::shared_ptr<memory_holds> Holds; ///< Null where none is needed.
  std::shared_ptr<relayed_call> Call;
  start_attempt Order;
  end_hook Ended;
  backend_link Link;
  std::optional<message_feed<false>> Feed; ///< Made anew behind an interim answer.
  event_scanner Scanner;
  std::uint64_t UnreportedEvents{0};
  bool Answering{false};
  bool Abandoned{false};
  bool Sent{false};        ///< The first byte went out.
  bool SentAll{false};     ///< So did the last one.
  backend_address AtFault; ///< Named by the server as the cause of a refusal.
  bool Unframed{false};    ///< The answer ends with its connection.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_BACKEND_EXCHANGE_BASE_H
