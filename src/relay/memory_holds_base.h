/** @file memory_holds_base.h Memory that is set aside at several engines for one attempt. */
#ifndef POLLENSTALL_RELAY_MEMORY_HOLDS_BASE_H
#define POLLENSTALL_RELAY_MEMORY_HOLDS_BASE_H

#include "relay/relay_context_type.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace pollenstall {

/**
 * All or nothing, in the order given: two attempts that take theirs in one order of engines cannot
 * wait for each other. Each hold is short and asked for again while the attempt runs: of an entry
 * that dies nothing is left behind for longer than one hold, and an order that an engine carries
 * out late does no more harm.
 */
class memory_holds : public std::enable_shared_from_this<memory_holds> {
public:
  /// @param Needed Whether the attempt is still to be sent; asked before each engine.
  memory_holds(relay_context &Shared, const attempt_id &For, std::vector<memory_hold> Wanted,
               std::function<bool()> Needed)
      : Context(Shared), Attempt(For), Holds(std::move(Wanted)), IsNeeded(std::move(Needed)) {}

  /// @return Whether all of them are held; otherwise none is kept.
  boost::asio::awaitable<bool> take();
  /// Gives them back and renews them no more; may be called again. Where an engine is being asked
  /// just now, its answer is waited for: a release that arrives first leaves memory held that
  /// nobody uses.
  void release();

private:
  enum class on_refusal { Stop, GoOn };
  /// @return Whether all engines that were asked hold it.
  boost::asio::awaitable<bool> askAll(on_refusal Then);
  boost::asio::awaitable<bool> ask(const memory_hold &Hold) const;
  boost::asio::awaitable<void> renew();
  void startEnd();
  boost::asio::awaitable<void> end();

  relay_context &Context;
  const attempt_id Attempt;
  const std::vector<memory_hold> Holds;
  const std::function<bool()> IsNeeded;
  bool Asked{false};  ///< An engine may hold some.
  bool Asking{false}; ///< An engine's answer is waited for.
  bool Released{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_MEMORY_HOLDS_BASE_H
