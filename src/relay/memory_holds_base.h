/** @file memory_holds_base.h Holds memory at several engines for one attempt. */
#ifndef POLLENSTALL_RELAY_MEMORY_HOLDS_BASE_H
#define POLLENSTALL_RELAY_MEMORY_HOLDS_BASE_H

#include "hold_watch/hold_watch.h"
#include "relay/relay_context_type.h"
#include "relay/unary_call_func.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace pollenstall {

/**
 * Acquires all holds or none, in the given order: two attempts that use one order of engines cannot
 * deadlock. Each hold has a short lifetime and is renewed while a request uses the memory, or may
 * soon do so; see hold_watch. Thus the holds of a crashed entry last no longer than one lifetime,
 * and a request that an engine executes late does no more harm than that.
 */
class memory_holds : public std::enable_shared_from_this<memory_holds> {
public:
  /// @param NeededCheck Whether the attempt is still to be sent; checked before each engine.
  /// @param UnusedHook Called once if the memory is not used in time; it is to end the attempt.
  memory_holds(relay_context &Shared, const start_attempt &Order, std::function<bool()> NeededCheck,
               std::function<void()> UnusedHook)
      : Context(Shared), Attempt(Order.Attempt), Answerer(Order.Backend), Holds(Order.Holds),
        IsNeeded(std::move(NeededCheck)), OnUnused(std::move(UnusedHook)),
        QuestionLimits(Shared.Limits), Watch(Shared.Limits.Holds, boot_clock::now()) {
    QuestionLimits.CancelTimeout = Shared.Limits.Holds.questionTimeout();
  }

  /// Returns whether all engines hold the memory; otherwise all holds are released.
  boost::asio::awaitable<bool> acquire();
  /// Records that bytes of the answer have arrived: a request uses the memory.
  void recordUse() { Watch.recordBytes(boot_clock::now()); }
  /// Releases the holds and stops renewing them; may be called repeatedly. If a request to an
  /// engine is in flight, the release waits for its answer: a release that arrives before the
  /// request would leave memory held without a user.
  void release();

private:
  enum class on_refusal { Stop, Continue };
  /// Returns whether all engines that were asked confirmed the hold.
  boost::asio::awaitable<bool> requestAll(on_refusal OnRefusal);
  boost::asio::awaitable<bool> requestHold(const memory_hold &Hold, on_refusal OnRefusal) const;
  boost::asio::awaitable<void> renew();
  /// Asks the engines whether a request uses the memory, until the holds are released or were not
  /// used in time.
  boost::asio::awaitable<void> watchUse();
  boost::asio::awaitable<void> askForUse();
  boost::asio::awaitable<std::optional<unary_answer>> askState(backend_key Engine);
  boost::asio::awaitable<void> pause(std::chrono::milliseconds Time);
  void startRelease();
  void reportEnd();
  boost::asio::awaitable<void> sendReleases();

  relay_context &Context;
  const attempt_id Attempt;
  const backend_key Answerer; ///< The engine whose request uses the memory.
  const std::vector<memory_hold> Holds;
  const std::function<bool()> IsNeeded;
  const std::function<void()> OnUnused;
  relay_limits QuestionLimits;
  hold_watch Watch;
  bool MayHold{false};         ///< An engine may hold memory.
  bool RequestInFlight{false}; ///< A request to an engine is in flight.
  bool Released{false};
  hold_end End{hold_end::NotAcquired};
  std::size_t Renewals{0};
  std::size_t Questions{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_MEMORY_HOLDS_BASE_H
