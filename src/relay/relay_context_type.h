/** @file relay_context_type.h What all sessions and exchanges of the relay thread share. */
#ifndef POLLENSTALL_RELAY_RELAY_CONTEXT_TYPE_H
#define POLLENSTALL_RELAY_RELAY_CONTEXT_TYPE_H

#include "relay/backend_links_base.h"
#include "relay/call_interface_type.h"
#include "relay/call_record_type.h"
#include "relay/crash_watch_base.h"
#include "relay/event_outbox_base.h"
#include "relay/relay_metrics_base.h"
#include "relay/relay_type.h"
#include "relay/relayed_call_base.h"
#include "scheduling/scheduling.h"
#include "suspect/suspect.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace pollenstall {

/// Owned by the relay; used in its thread only.
struct relay_context {
  relay_context(boost::asio::io_context &Context, process_key Process, const relay_limits &Bounds,
                relay_metrics &Counters, bounded_ring<dispatch_event> &Events, std::uint64_t Seed)
      : Io(Context), Self(std::move(Process)), Limits(Bounds), Sweeper(Context),
        Links(Sweeper, Limits), Crashes(Context, Links), Metrics(Counters), Outbox(Events),
        Random(Seed) {}

  boost::asio::io_context &Io;
  const process_key Self;
  relay_limits Limits; ///< A declaration may set those of callers anew.
  socket_sweeper Sweeper;
  backend_links Links;
  crash_watch Crashes;
  relay_metrics &Metrics;
  event_outbox<dispatch_event> Outbox;
  random_source Random;
  call_interface Interface;     ///< Not set: the chat/completions interface.
  declaration_view Declaration; ///< Null where new requests are refused.
  mono_time DeclaredUntil{};    ///< New requests are refused past it.
  bool DeclarationLags{false};  ///< A newer declaration is on its way.
  token_estimator Tokens;
  std::map<request_number, std::shared_ptr<relayed_call>> Calls; ///< Without a final answer.
  request_number LastRequest;
  std::size_t BodyBytes{0}; ///< Held in request bodies, or promised to bodies being read.
  std::set<timed_socket *> IdleCallers; ///< Wait for the next request's first byte.
  std::size_t Connections{0};           ///< Callers'.
  bool Stopping{false};                 ///< New requests are refused for good.
  bool Ended{false};                    ///< Every coroutine is to end.
  bool Draining{false};                 ///< Connections end with the answer that is under way.
  std::function<void(const call_record &)> AtCallEnd;
  std::shared_ptr<const suspect_list> Suspects{std::make_shared<const suspect_list>()};
  std::function<void(suspect_cleared)> AtSuspectCleared; ///< Not set where nobody is told.

  /// @return Whether a declaration is in force now.
  [[nodiscard]] bool isReady() const {
    return Declaration != nullptr && boot_clock::now() < DeclaredUntil;
  }
  /// Tells the decision thread once that the caller is gone.
  void noteCallerGone(relayed_call &Call) {
    if (Call.CallerGone)
      return;
    Call.CallerGone = true;
    Outbox.push(caller_left{Call.Facts.Id});
  }
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RELAY_CONTEXT_TYPE_H
