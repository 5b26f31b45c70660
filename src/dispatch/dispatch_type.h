/** @file dispatch_type.h Events into and actions out of the life of a request at one entry. */
#ifndef POLLENSTALL_DISPATCH_DISPATCH_TYPE_H
#define POLLENSTALL_DISPATCH_DISPATCH_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pollenstall {

/// What is known of a request when its body has been read and its account checked.
struct request_facts {
  request_number Id;
  client_account_name Account;
  service_name Service;
  model_name Model;                                         ///< Empty for a plain service.
  std::vector<std::pair<std::string, std::string>> Headers; ///< Those that selectors mention.
  tokens Prompt;                                            ///< Estimated.
  tokens AnswerLimit;                                       ///< What max_tokens allows.
  bool Idempotent{true};                                    ///< False: at most one run.
  std::string IdempotencyKey;                               ///< Empty where the caller gave none.
  std::vector<std::uint64_t> PrefixHashes; ///< One for each leading chunk of the prompt.
  mono_time Arrived;
  mono_time Deadline; ///< The final answer is given by then.

  // Of calls whose route is declared with its own rules; the defaults stand for none.
  std::vector<std::pair<service_name, std::uint32_t>> Services; ///< With their weights.
  bool Resumable{false};               ///< A broken stream goes on behind its last event elsewhere.
  std::uint32_t MaxAttempts{0};        ///< 0: as the declaration's limits say.
  std::uint32_t Urgency{0};            ///< Declared priority; 0 is the most urgent.
  std::chrono::milliseconds Target{0}; ///< To the first event; 0 where none is declared.
  std::chrono::milliseconds LongestGap{0}; ///< Between events; 0 where none is declared.
  tokens AnswerHint;                       ///< The caller's estimate; 0 where it gave none.
  bool Continues{false}; ///< The caller has a part of the answer, from a send that broke off.
};

/// The final outcome of a request, as the caller is told.
enum class final_outcome : std::uint8_t {
  Complete, ///< The whole answer was relayed.
  NotRun,   ///< Proved: no backend server started it.
  Unknown,  ///< It may have run, in part or whole.
};

/// Why a request did not complete.
enum class failure_reason : std::uint8_t {
  None,
  QueueFull,          ///< A bound on waiting requests is reached.
  AccountLimit,       ///< The account's own bound is reached.
  DeadlineUnmeetable, ///< Refused early: it could not finish in time.
  DeadlineExceeded,   ///< Time ran out.
  NoBackend,          ///< No server of the selected groups can take it.
  TooLargeForFleet,   ///< No engine has the memory.
  NotReady,           ///< No declaration in force here, or the lease ran out.
  ClaimUnavailable,   ///< The claim on its key could not be made durable.
  AlreadyRunning,     ///< Another entry holds the claim; standing unknown.
  AlreadyComplete,    ///< An earlier send with this key finished.
  BackendFailed,      ///< The backend server broke off or gave an error.
  RetriesExhausted,   ///< Attempts or the retry budget are used up.
  CallerLeft,         ///< The caller hung up.
  ShuttingDown,       ///< This entry is stopping.
};

/// How an attempt ended short of a whole answer.
enum class attempt_failure : std::uint8_t {
  NotConnected, ///< No connection, so no byte was sent: proved not run.
  Declined,     ///< The backend server said that it did not start: proved not run.
  BrokenUnsent, ///< The connection broke before any byte of the request was written.
  BrokenSent,   ///< Broke after the first byte of the request was written, before an answer.
  BrokenMidway, ///< Broke after part of the answer had been relayed to the caller.
  ErrorAnswer,  ///< A whole answer with a 5xx status; the work may have been done.
  BadAnswer,    ///< Not valid HTTP, or an answer for another attempt.
  TimedOut,     ///< No answer within the attempt's time.
  NotWanted,    ///< Not sent: its caller had left, or its time was over. No fault of the server's.
};

/// @return Whether no byte of the request was written.
constexpr bool leftUnsent(attempt_failure Failure) {
  return Failure == attempt_failure::NotConnected || Failure == attempt_failure::BrokenUnsent ||
         Failure == attempt_failure::NotWanted;
}

/// @return Whether this end proves that the backend server did not start.
constexpr bool provesNotRun(attempt_failure Failure) {
  return leftUnsent(Failure) || Failure == attempt_failure::Declined;
}

/// What the holders of claims say of a key.
enum class claim_verdict : std::uint8_t {
  Granted,     ///< Durable on a quorum: this request may run.
  Running,     ///< Claimed by another send, whose end is not known.
  Complete,    ///< An earlier send completed.
  Unavailable, ///< No quorum answered in time; nothing may run.
};

/// What a claim is turned into at the end.
enum class claim_standing : std::uint8_t {
  Running,  ///< Granted and not settled.
  Complete, ///< Ran and its answer was whole.
  Unknown,  ///< May have run.
  Released, ///< Proved not run: the key is free again.
};

// ---- events -------------------------------------------------------------------------------------

struct request_arrived {
  request_facts Facts;
};
struct caller_left {
  request_number Request;
};
/// The first byte of the attempt is about to be handed to the kernel.
struct attempt_sending {
  attempt_id Attempt;
};
/// The first token, or the head of a plain answer, was relayed.
struct attempt_answering {
  attempt_id Attempt;
};
/// Further tokens were relayed.
struct attempt_advanced {
  attempt_id Attempt;
  std::uint64_t Events{0}; ///< Token events relayed since the last such report.
};
struct attempt_completed {
  attempt_id Attempt;
  std::optional<tokens> PromptTokens; ///< As the engine counted, where it said so.
  std::optional<tokens> AnswerTokens;
  std::optional<tokens> CachedTokens; ///< Of the prompt, found in the prefix cache.
};
struct attempt_failed {
  attempt_id Attempt;
  attempt_failure Failure{attempt_failure::NotConnected};
  backend_address AtFault{}; ///< Where the server named another one as the cause.
};
/// The backend server confirmed that the attempt holds nothing any more.
struct cancel_confirmed {
  attempt_id Attempt;
  bool NeverSeen{false}; ///< It does not know the attempt; the start may still be under way to it.
};
struct claim_answered {
  request_number Request;
  claim_verdict Verdict{claim_verdict::Unavailable};
};

using dispatch_event =
    std::variant<request_arrived, caller_left, attempt_sending, attempt_answering, attempt_advanced,
                 attempt_completed, attempt_failed, cancel_confirmed, claim_answered>;

// ---- actions ------------------------------------------------------------------------------------

/// Make a claim on the key durable before anything is sent.
struct acquire_claim {
  request_number Request;
  std::string Key; ///< Account and idempotency key, joined so that accounts cannot collide.
  mono_time AnswerBy;
  std::chrono::milliseconds Lifetime{0}; ///< From now; past the deadline and callers' resends.
};
/**
 * Record how the claimed work ended; sent until the control log has it or this entry is gone.
 * Released may overtake its own acquire_claim: the log then refuses the acquire when it arrives.
 */
struct settle_claim {
  request_number Request;
  std::string Key;
  claim_standing Standing{claim_standing::Unknown};
  std::chrono::milliseconds Lifetime{0}; ///< As in the request's acquire_claim.
};
/// Memory to be set aside at a backend server before an attempt is sent, and given back behind it.
struct memory_hold {
  backend_key Backend;
  tokens Amount;
};
/**
 * Start an attempt. The relay passes on answer bytes of the newest attempt only; where bytes of an
 * older one have reached the caller it starts nothing and reports NotWanted.
 */
struct start_attempt {
  attempt_id Attempt;
  backend_key Backend;
  std::uint32_t Priority{0}; ///< Lower runs first.
  mono_time AnswerBy;        ///< A first byte later is slow; the dispatcher watches this itself.
  bool MayRetry{false};      ///< The body must be kept until the answer begins.
  std::vector<backend_key> Helpers{}; ///< Read parts of the prompt.
  std::vector<memory_hold> Holds{};   ///< At helpers, for what the first engine has no room for.
  mono_duration Expected{};           ///< To the first event, for the log.
  std::string Instance{};             ///< The server's name for its life, where it has one.
};
/// Reconnect to the same server and go on at the exact event that was relayed last.
struct resume_attempt {
  attempt_id Attempt;
  backend_key Backend;
};
/**
 * Close the attempt's connection and ask the server to end it; repeated until cancel_confirmed.
 * For a server that holds no memory (a plain service) the relay confirms once it is closed.
 */
struct cancel_attempt {
  attempt_id Attempt;
  backend_key Backend;
};
/**
 * Tell the caller the end. For Complete with reason None the relay has already sent the answer;
 * for Complete with AlreadyComplete it sends none of it, only the standing: the work behind the key
 * was done by an earlier send, and this send ran nothing.
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
