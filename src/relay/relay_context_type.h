/** @file relay_context_type.h State shared by all sessions and exchanges of the relay thread. */
#ifndef POLLENSTALL_RELAY_RELAY_CONTEXT_TYPE_H
#define POLLENSTALL_RELAY_RELAY_CONTEXT_TYPE_H

#include "intake/intake.h"
#include "path/path.h"
#include "rate_limit/rate_limit_type.h"
#include "relay/backend_connection_pool_base.h"
#include "relay/call_durations_base.h"
#include "relay/call_interface_type.h"
#include "relay/call_record_type.h"
#include "relay/crash_detector_base.h"
#include "relay/event_outbox_base.h"
#include "relay/memory_account_type.h"
#include "relay/relay_metrics_base.h"
#include "relay/relay_type.h"
#include "relay/relayed_call_base.h"
#include "relay/tunnel_server_base.h"
#include "scheduling/scheduling.h"
#include "server_notice/server_notice.h"
#include "suspect/suspect.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace pollenstall {

/// Owned by the relay and used only in its thread.
struct relay_context {
  relay_context(boost::asio::io_context &Context, process_key Process, const relay_limits &Bounds,
                relay_metrics &Counters, bounded_ring<dispatch_event> &Events, std::uint64_t Seed)
      : Io(Context), Self(std::move(Process)), Limits(Bounds), Sweeper(Context),
        Pool(Sweeper, Limits), Intake(Limits.BodyMemory), Answers(Limits.AnswerMemory),
        Tunnels(Sweeper, Limits, Pool.connector(), Pauses), Crashes(Context, Pool),
        Metrics(Counters), Outbox(Events), Random(Seed) {
    Tunnels.onlyWhile([this](const backend_key &Server) { return !isEvacuated(Server); });
  }

  boost::asio::io_context &Io;
  const process_key Self;
  relay_limits Limits; ///< A declaration may replace the limits for callers.
  socket_sweeper Sweeper;
  backend_connection_pool Pool;
  intake_account Intake;  ///< Of callers: their connections, heads and bodies.
  memory_account Answers; ///< Parts of answers that wait for their rest.
  pause_table Pauses;     ///< Asked for by answers that this thread has read.
  tunnel_server Tunnels;
  crash_detector Crashes;
  relay_metrics &Metrics;
  event_outbox<dispatch_event> Outbox;
  random_source Random;
  call_interface Interface;     ///< Not set: the chat/completions interface is used.
  declaration_view Declaration; ///< Null while new requests are refused.
  mono_time DeclaredUntil{};    ///< New requests are refused after this time.
  bool DeclarationStale{false}; ///< A newer declaration has not arrived yet.
  token_estimator Tokens;
  std::map<request_number, std::shared_ptr<relayed_call>> Calls; ///< Calls without a final answer.
  request_number LastRequest;
  server_activity Activity;             ///< Of the servers that answer calls of this entry.
  std::set<timed_socket *> IdleCallers; ///< Waiting for the first byte of the next request.
  std::size_t Connections{0};           ///< Callers' connections.
  call_durations Durations;
  std::optional<mono_time> WorkEndsAt; ///< While stopping: all requests are ended then.
  bool Stopping{false};                ///< New requests are refused permanently.
  bool Ended{false};                   ///< All coroutines must end.
  bool Draining{false};                ///< Connections close after their current answer.
  /// Null before the first list of evacuated failure domains.
  std::shared_ptr<const server_evacuations> Evacuations;
  std::function<void(const call_record &)> AtCallEnd;
  std::function<void(const broken_answer &)> AtAnswerBroken; ///< Not set if it is not logged.
  std::function<void(const hold_record &)> AtHoldsEnded;     ///< Not set if it is not logged.
  std::shared_ptr<const suspect_list> Suspects{std::make_shared<const suspect_list>()};
  std::function<void(suspect_cleared)> AtSuspectCleared; ///< Not set if the result is not needed.
  std::function<void(rate_limit_answer)> AtRateLimit;    ///< Not set if limits are not needed.
  std::function<void(server_notice)> AtServerNotice;     ///< Not set if notices are not needed.

  /// Returns whether a declaration is in force now.
  [[nodiscard]] bool isReady() const {
    return Declaration != nullptr && boot_clock::now() < DeclaredUntil;
  }
  /// Returns whether the server's failure domain is out of service.
  [[nodiscard]] bool isEvacuated(const backend_key &Server) const {
    return Evacuations && Evacuations->isOut(Server);
  }
  /// Returns whether a new request may be sent to the server. The lease is checked too: after a
  /// freeze of the process this thread may run before a newer list has arrived.
  [[nodiscard]] bool allowsNewRequest(const backend_key &Server) const {
    return !Evacuations || Evacuations->allowsNewRequest(Server, boot_clock::now() < DeclaredUntil);
  }
  /// Reports to the decision thread once that the caller has disconnected.
  void noteCallerGone(relayed_call &Call) {
    if (Call.CallerGone)
      return;
    Call.CallerGone = true;
    Outbox.push(caller_left{Call.Facts.Id});
  }
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RELAY_CONTEXT_TYPE_H
