/** @file relayed_call_base.h One request between its caller and the backend servers. */
#ifndef POLLENSTALL_RELAY_RELAYED_CALL_BASE_H
#define POLLENSTALL_RELAY_RELAYED_CALL_BASE_H

#include "relay/async_signal_base.h"
#include "relay/call_plan_func.h"
#include "relay/caller_connection_base.h"
#include "relay/event_gaps_base.h"
#include "relay/header_filter_func.h"
#include "relay/held_body_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// How much of the answer the caller has.
enum class answer_stage : std::uint8_t {
  None,   ///< Nothing; an error answer is still possible.
  Whole,  ///< The head and perhaps part of an answer of known length.
  Stream, ///< The head and some events.
  Ended,  ///< All of it.
};

/// What a request looks like to a backend server, the same for each attempt.
struct forwarded_request {
  std::string Method;
  std::string Target;
  std::string Host; ///< The caller's own Host header; plain services may tell sites apart by it.
  std::vector<header_line> Headers;
  std::string TraceParent;
  std::shared_ptr<const held_body> Body; ///< Null once no attempt can need it any more.
};

/// The one state of a request that session and exchange share; both run in the relay thread.
class relayed_call {
public:
  relayed_call(boost::asio::io_context &Io, planned_call Planned,
               std::shared_ptr<caller_connection> From)
      : Facts(std::move(Planned.Facts)), Kind(Planned.Kind), PromptBytes(Planned.PromptBytes),
        Caller(std::move(From)), Changed(Io) {}

  /// @return Whether an attempt of this ordinal may still pass answer bytes to the caller. An
  /// answer put together from two attempts would look whole and be neither's.
  [[nodiscard]] bool mayRelay(std::uint32_t Ordinal) const {
    const bool GoesOn = goesOn() && Facts.Resumable && Ordinal > RelayedBy;
    return !Finish && !CallerGone && (RelayedBy == 0 || RelayedBy == Ordinal || GoesOn);
  }
  /// @return Whether the caller has events that another attempt can go on behind.
  [[nodiscard]] bool goesOn() const { return Headed && Stage == answer_stage::Stream; }
  /// @return Whether the end has been decided and nobody writes to the caller any more.
  [[nodiscard]] bool concluded() const { return Finish && !Relaying; }
  /// @return Whether bytes of an attempt went out that has not been proved not to have run.
  [[nodiscard]] bool mayHaveRun() const { return SentAttempts > 0; }

  request_facts Facts;
  bool Headed{false};   ///< A call of a declared route, by way of relay_context::Interface.
  std::string SendName; ///< Of a headed call: the caller's own name for this send.
  service_kind Kind;
  byte_count PromptBytes;
  std::string RequestId; ///< As the caller is told it.
  forwarded_request Request;
  std::shared_ptr<caller_connection> Caller;
  async_signal Changed;

  answer_stage Stage{answer_stage::None};
  std::uint32_t RelayedBy{0};    ///< Ordinal of the attempt whose bytes the caller has.
  std::uint64_t LastEvent{0};    ///< Id of the last event that the caller has.
  bool Relaying{false};          ///< An exchange is writing to the caller.
  bool CallerGone{false};        ///< The caller hung up or takes nothing.
  std::uint32_t SentAttempts{0}; ///< Attempts whose first byte went out and that may have run.
  std::optional<finish_request> Finish;
  std::optional<attempt_id> LastAttempt; ///< For the log.
  std::optional<backend_key> LastBackend;
  std::optional<mono_time> LastSent; ///< When the first byte of the last attempt sent went out.
  event_gaps Gaps;
  std::optional<mono_time> FirstByte; ///< When the caller got the first byte of the answer.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RELAYED_CALL_BASE_H
