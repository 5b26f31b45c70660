/** @file dispatch_type.h Events that the dispatcher handles and actions that it requests. */
#ifndef POLLENSTALL_DISPATCH_DISPATCH_TYPE_H
#define POLLENSTALL_DISPATCH_DISPATCH_TYPE_H

#include "core/core.h"
#include "rate_limit/rate_limit_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pollenstall {

/// Properties of a request that are known once its body is read and its account is checked.
struct request_facts {
  request_number Id;
  client_account_name Account;
  service_name Service;
  model_name Model;                                         ///< Empty for a plain service.
  std::vector<std::pair<std::string, std::string>> Headers; ///< Headers that selectors refer to.
  tokens Prompt;                                            ///< Estimated length of the prompt.
  tokens AnswerLimit;                                       ///< The request's max_tokens.
  bool Idempotent{true};                                    ///< False: the work runs at most once.
  std::string IdempotencyKey;                               ///< Empty if the caller sent none.
  std::vector<std::uint64_t> PrefixHashes; ///< One for each leading chunk of the prompt.
  mono_time Arrived;
  mono_time Deadline; ///< The caller gets its final answer by this time.

  // Set by the request's declared route, but AnswerHint and Continues by the caller. The defaults
  // mean that nothing is declared.
  std::vector<std::pair<service_name, std::uint32_t>> Services; ///< With their weights.
  bool Resumable{false};        ///< Another server may continue a broken stream.
  std::uint32_t MaxAttempts{0}; ///< Declared by the route; 0: the limits of the declaration apply.
  std::uint32_t Urgency{0};     ///< Declared priority; 0 is the most urgent.
  std::chrono::milliseconds Target{0}; ///< Declared limit of the time to the first event; 0: none.
  std::chrono::milliseconds Patience{0};   ///< The caller leaves after it without an event; 0: no.
  std::chrono::milliseconds TimeLimit{0};  ///< Of the route; 0 if none is declared.
  std::chrono::milliseconds LongestGap{0}; ///< Declared limit between two events; 0: none.
  tokens AnswerHint;                       ///< The caller's estimate; 0 if it sent none.
  bool Continues{false}; ///< The caller has part of the answer from an earlier, broken request.
};

/// The final outcome of a request, as it is reported to the caller.
enum class final_outcome : std::uint8_t {
  Complete, ///< The whole answer was relayed.
  NotRun,   ///< It is proved that no backend server started the work.
  Unknown,  ///< The work may have run, completely or in part.
};

/// Why a request did not complete.
enum class failure_reason : std::uint8_t {
  None,
  QueueFull,          ///< The limit on queued requests is reached.
  AccountLimit,       ///< The client account's limit is reached.
  DeadlineUnmeetable, ///< Refused early because the request could not finish in time.
  DeadlineExceeded,   ///< The deadline passed.
  NoBackend,          ///< No backend server of the selected groups can run the request.
  TooLargeForFleet,   ///< No engine has enough memory.
  NotReady,           ///< This entry has no declaration in force, or its lease expired.
  ClaimUnavailable,   ///< The claim on the key could not be made durable.
  AlreadyRunning,     ///< Another request holds the claim, and its outcome is unknown.
  AlreadyComplete,    ///< An earlier request with this key completed.
  BackendFailed,      ///< The backend server broke the connection or returned an error.
  RetriesExhausted,   ///< The attempts or the retry budget are used up.
  CallerLeft,         ///< The caller closed its connection.
  ShuttingDown,       ///< This entry is stopping.
};

/// Why an attempt ended without a complete answer.
enum class attempt_failure : std::uint8_t {
  NotConnected, ///< The connection failed and no byte was sent, which proves that nothing ran.
  Declined,     ///< The backend server stated that it did not start the work.
  BrokenUnsent, ///< The connection broke before any byte of the request was written.
  BrokenSent,   ///< The connection broke after the first request byte, before an answer.
  BrokenMidway, ///< The connection broke after part of the answer was relayed to the caller.
  ErrorAnswer,  ///< A complete answer with a 5xx status; the work may have been done.
  BadAnswer,    ///< The answer is not valid HTTP or belongs to another attempt.
  TimedOut,     ///< No answer arrived within the attempt's timeout.
  /// The entry that carried the connection ended, fell silent or lost its own path. This is not the
  /// server's fault; the work may have been done.
  PathBroken,
  NotWanted, ///< Not sent, without fault of the backend server: the caller had left, the deadline
             ///< had passed, the caller had bytes of an older attempt, or the server had asked for
             ///< a pause.
};

/// @return Whether the failure implies that no byte of the request was written.
constexpr bool wasNeverSent(attempt_failure Failure) {
  return Failure == attempt_failure::NotConnected || Failure == attempt_failure::BrokenUnsent ||
         Failure == attempt_failure::NotWanted;
}

/// @return Whether the failure proves that the backend server did not start the work.
constexpr bool provesNotRun(attempt_failure Failure) {
  return wasNeverSent(Failure) || Failure == attempt_failure::Declined;
}

/// The result of a request for a claim on an idempotency key.
enum class claim_status : std::uint8_t {
  Granted,     ///< The claim is durable on a quorum; the request may run.
  Running,     ///< Another request holds the claim, and its outcome is not known.
  Complete,    ///< An earlier request with the key completed.
  Unavailable, ///< No quorum answered in time; the request must not run.
};

/// The state of a claim; a claim is settled in one of the last three.
enum class claim_state : std::uint8_t {
  Running,  ///< Granted and not settled.
  Complete, ///< The work ran and its answer was complete.
  Unknown,  ///< The work may have run.
  Released, ///< The work is proved not to have run; the key is free again.
};

// ---- events -------------------------------------------------------------------------------------

struct request_arrived {
  request_facts Facts;
};
struct caller_left {
  request_number Request;
};
/// The relay is about to pass the attempt's first byte to the kernel.
struct attempt_sending {
  attempt_id Attempt;
};
/// The first token, or the header of a plain answer, was relayed to the caller.
struct attempt_answering {
  attempt_id Attempt;
};
/// Further tokens were relayed to the caller.
struct attempt_advanced {
  attempt_id Attempt;
  std::uint64_t Events{0}; ///< Token events relayed since the previous attempt_advanced.
};
struct attempt_completed {
  attempt_id Attempt;
  std::optional<tokens> PromptTokens; ///< Token counts as reported by the engine, if it did.
  std::optional<tokens> AnswerTokens;
  std::optional<tokens> CachedTokens; ///< Prompt tokens found in the prefix cache.
  bool ServerError{false}; ///< The answer has a 5xx status; as the last one, it went to the caller.
};
struct attempt_failed {
  attempt_id Attempt;
  attempt_failure Failure{attempt_failure::NotConnected};
  backend_address AtFault{}; ///< The server at fault, if the backend server blamed another one.
};
/**
 * No bytes of the attempt's answer came for longer than a server that works takes between two
 * events, while other servers send. The attempt is still connected: its server may stand still for
 * a moment or be gone. Repeated while the silence lasts.
 */
struct attempt_silent {
  attempt_id Attempt;
  /// How the attempt has failed if another one answers first: TimedOut, or PathBroken if the
  /// silence is that of the entry that carries the connection.
  attempt_failure Cause{attempt_failure::TimedOut};
};
/// The backend server confirmed that it holds no resources of the attempt.
struct cancel_confirmed {
  attempt_id Attempt;
  bool NeverSeen{false}; ///< The attempt is unknown there; its request may still be in flight.
};
struct claim_answered {
  request_number Request;
  claim_status Status{claim_status::Unavailable};
};

using dispatch_event =
    std::variant<request_arrived, caller_left, attempt_sending, attempt_answering, attempt_advanced,
                 attempt_completed, attempt_failed, attempt_silent, cancel_confirmed,
                 claim_answered>;

// ---- actions ------------------------------------------------------------------------------------

/// Makes a claim on the key durable before the work is sent to a backend server.
struct acquire_claim {
  request_number Request;
  std::string Key;    ///< Account and idempotency key, joined so that accounts cannot collide.
  mono_time AnswerBy; ///< The claim must be answered by this time.
  std::chrono::milliseconds Lifetime{0}; ///< From now; covers the deadline and callers' resends.
};
/**
 * Records how the claimed work ended. Repeated until the control log has stored it or this entry
 * terminates. A Released may overtake its acquire_claim; the log then refuses the acquire_claim
 * when that arrives.
 */
struct settle_claim {
  request_number Request;
  std::string Key;
  claim_state FinalState{claim_state::Unknown};
  std::chrono::milliseconds Lifetime{0}; ///< As in the request's acquire_claim.
};
/// Idle connections to a backend server that an entry keeps if the server declares no limit.
constexpr std::size_t DefaultMaxIdleConnections = 256;

/// Memory to reserve at a backend server before an attempt is sent and to release after it ends.
struct memory_hold {
  backend_key Backend;
  tokens Amount;
};
/**
 * Starts an attempt. The relay forwards answer bytes of the newest attempt only. If bytes of an
 * older attempt have already reached the caller, it does not start this one and reports NotWanted,
 * unless the request is Resumable and the new attempt can continue the event stream.
 */
struct start_attempt {
  attempt_id Attempt;
  backend_key Backend;
  std::uint32_t Priority{0};          ///< Lower values run first.
  mono_time FirstByteBy;              ///< Deadline of the first byte; the dispatcher enforces it.
  bool MayRetry{false};               ///< The relay keeps the body until the answer begins.
  std::vector<backend_key> Helpers{}; ///< Other engines that prefill parts of the prompt.
  std::vector<memory_hold> Holds{}; ///< Memory reserved at helpers because Backend has too little.
  mono_duration ExpectedFirstToken{}; ///< Expected time to the first event, for the log.
  std::string Instance{}; ///< The server's own name of its incarnation; empty if it has none. Set
                          ///< by the entry, not by the dispatcher.
  permit_stamp Permit{};  ///< Set if Backend states a rate limit. The relay then also reports an
                          ///< answer that states none.
  /// Idle connections to Backend that this entry may keep. Set by the entry, not by the dispatcher.
  std::size_t MaxIdleConnections{DefaultMaxIdleConnections};
  mono_duration VisibleAfter{}; ///< Time until the other entries know of the attempt.
};
/// Reconnects to the same backend server and continues after the event that was relayed last.
struct resume_attempt {
  attempt_id Attempt;
  backend_key Backend;
};
/**
 * Closes the attempt's connection and asks the backend server to cancel the attempt. Repeated until
 * cancel_confirmed. For a server that holds no memory (a plain service) the relay itself confirms
 * when the connection is closed.
 */
struct cancel_attempt {
  attempt_id Attempt;
  backend_key Backend;
};
/**
 * Reports the final outcome to the caller. For Complete with reason None the relay has already sent
 * the answer. For Complete with AlreadyComplete it sends the outcome without an answer: an earlier
 * request with the key did the work, and this request ran nothing.
 */
struct finish_request {
  request_number Request;
  final_outcome Outcome{final_outcome::NotRun};
  failure_reason Reason{failure_reason::None};
  std::optional<std::chrono::seconds> RetryAfter;
};

using dispatch_action = std::variant<acquire_claim, settle_claim, start_attempt, resume_attempt,
                                     cancel_attempt, finish_request>;

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_DISPATCH_TYPE_H
