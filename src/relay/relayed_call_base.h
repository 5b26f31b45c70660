/** @file relayed_call_base.h The state of one request between its caller and the backend servers.
 */
#ifndef POLLENSTALL_RELAY_RELAYED_CALL_BASE_H
#define POLLENSTALL_RELAY_RELAYED_CALL_BASE_H

#include "relay/answer_end_type.h"
#include "relay/async_signal_base.h"
#include "relay/call_plan_func.h"
#include "relay/caller_connection_base.h"
#include "relay/event_gaps_base.h"
#include "relay/header_filter_func.h"
#include "relay/request_body_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// How much of the answer has been sent to the caller.
enum class answer_stage : std::uint8_t {
  None,     ///< Nothing; an error answer is still possible.
  NoStream, ///< The head, and perhaps a part, of an answer that is not an event stream.
  Stream,   ///< The head and some events.
  Ended,    ///< The complete answer.
};

/// What is known of the attempt that last sent bytes to the caller.
enum class answerer_state : std::uint8_t {
  Ended,   ///< There is none, or its exchange has ended.
  Running, ///< It sends, or may be writing to the caller right now.
  Silent,  ///< Its server has sent nothing for longer than a working one does.
};

/// How much of the answer the caller has received.
struct relayed_part {
  std::uint32_t RelayedBy{0}; ///< Ordinal of the attempt that sent it; 0: nothing was received.
  std::uint64_t LastEvent{0}; ///< Id of the last event.

  bool operator==(const relayed_part &) const = default;
};

/// The request as sent to backend servers, the same for each attempt.
struct forwarded_request {
  std::string Method;
  std::string Target;
  std::string Host; ///< The caller's own Host header; plain services may use it to select a site.
  std::vector<header_line> Headers;
  std::string TraceParent;
  std::shared_ptr<const request_body> Body; ///< Null once no attempt can need it any more.
};

/// The state of a request shared by its session and its exchanges, which all run in the relay
/// thread.
class relayed_call {
public:
  relayed_call(boost::asio::io_context &Io, checked_call Plan,
               std::shared_ptr<caller_connection> Connection)
      : Facts(std::move(Plan.Facts)), Kind(Plan.Kind), PromptBytes(Plan.PromptBytes),
        SharedParts(std::move(Plan.SharedParts)), Caller(std::move(Connection)), Changed(Io) {}

  /// Returns what the caller has received so far.
  [[nodiscard]] relayed_part relayedPart() const { return {RelayedBy, LastEvent}; }
  /// Returns whether an attempt of this ordinal may still relay answer bytes to the caller. A mix
  /// of two attempts' answers would look complete but be neither answer.
  /// @param Before What the caller had received when the attempt was sent: an earlier attempt that
  /// goes on meanwhile keeps the caller.
  [[nodiscard]] bool mayRelay(std::uint32_t Ordinal, const relayed_part &Before) const {
    const bool Continues = canContinueStream() && Facts.Resumable && Ordinal > RelayedBy &&
                           Answerer != answerer_state::Running;
    const bool MayBegin = Before == relayedPart() && (RelayedBy == 0 || Continues);
    return !Finish && !CallerGone && (RelayedBy == Ordinal || MayBegin);
  }
  /// Returns whether the caller has events after which another attempt can continue the stream.
  [[nodiscard]] bool canContinueStream() const {
    return HeaderRouted && Stage == answer_stage::Stream;
  }
  /// Returns whether the result has been decided and no exchange writes to the caller any more.
  [[nodiscard]] bool isFinished() const { return Finish && RelayingAttempts == 0; }
  /// Returns whether an attempt was sent that may have run.
  [[nodiscard]] bool mayHaveRun() const { return SentAttempts > 0; }

  request_facts Facts;
  bool HeaderRouted{false}; ///< A call of a declared route, handled by relay_context::Interface.
  std::string SendName;     ///< The caller's own name for this send of a header-routed call.
  service_kind Kind;
  byte_count PromptBytes;
  std::vector<std::string>
      SharedParts;       ///< Names of the prompt's parts that other requests may share.
  std::string RequestId; ///< The request id sent to the caller.
  forwarded_request Request;
  std::shared_ptr<caller_connection> Caller;
  async_signal Changed;

  answer_stage Stage{answer_stage::None};
  std::uint32_t RelayedBy{0}; ///< Ordinal of the attempt whose bytes were sent to the caller.
  answerer_state Answerer{answerer_state::Ended}; ///< Of the attempt RelayedBy.
  std::uint64_t LastEvent{0};                     ///< Id of the last event sent to the caller.
  std::uint32_t OpenAttempts{0};                  ///< Exchanges that have not ended.
  std::uint32_t RelayingAttempts{0};              ///< Exchanges that may write to the caller.
  bool CallerGone{false};                         ///< The caller disconnected or stopped reading.
  std::uint32_t SentAttempts{0}; ///< Attempts whose first byte was sent and that may have run.
  std::optional<finish_request> Finish;
  std::optional<attempt_id> LastAttempt; ///< For the log.
  std::optional<backend_key> LastBackend;
  std::string LastPeer; ///< Entry that carried the last connection; empty if it was direct.
  std::optional<mono_duration> LastConnect; ///< How long the last connection took to be made.
  std::optional<mono_time> LastSent; ///< When the first byte of the last sent attempt was sent.
  std::optional<answer_progress> LastAnswer; ///< Of the last attempt whose answer began.
  event_gaps Gaps;
  std::optional<mono_time> FirstByte; ///< When the first byte of the answer was sent to the caller.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RELAYED_CALL_BASE_H
