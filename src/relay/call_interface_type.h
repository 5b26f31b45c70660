/** @file call_interface_type.h Hooks for protocols whose headers carry the request facts that a
 * chat call has in its body. */
#ifndef POLLENSTALL_RELAY_CALL_INTERFACE_TYPE_H
#define POLLENSTALL_RELAY_CALL_INTERFACE_TYPE_H

#include "core/core.h"
#include "hold_watch/hold_watch_type.h"
#include "path/path_type.h"
#include "rate_limit/rate_limit_type.h"
#include "relay/call_error_type.h"
#include "relay/header_filter_func.h"
#include "relay/prompt_facts_type.h"
#include "relay/request_head_type.h"
#include "server_notice/server_notice.h"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/// Facts from the head of a caller's request.
struct head_facts {
  std::string Key;                                   ///< Bearer key; empty if none was sent.
  std::optional<std::chrono::milliseconds> TimeLeft; ///< The caller's remaining timeout.
  model_name Model;
  tokens Prompt;
  tokens AnswerLimit;
  tokens AnswerHint;                       ///< 0 if none was sent.
  std::vector<std::uint64_t> PrefixHashes; ///< One for each leading part of the prompt.
  std::vector<std::string>
      SharedParts;            ///< Names of the prompt's parts that other requests may share.
  std::uint64_t LastEvent{0}; ///< The caller resumes after this event; 0: from the start.
};

/// A helper engine that reads a part of the prompt.
struct helper_engine {
  backend_address Address;
  std::string Hold; ///< Name of the attempt's memory hold at this engine; may be empty.
};

/// A request to an engine to hold memory.
struct hold_request {
  std::string Name; ///< Chosen by the entry, unique.
  tokens Amount;
  std::chrono::milliseconds Ttl{0}; ///< Counts from the arrival of this request at the engine;
                                    ///< repeating the request restarts it.
};

/// A small request to a backend server: method, target and body.
struct backend_call {
  std::string Method;
  std::string Target;
  std::string Body;
};

/// Facts sent to a backend server in addition to the caller's own headers.
struct attempt_facts {
  std::chrono::milliseconds TimeLeft{0};
  std::string
      Instance; ///< Identifies the server's incarnation; another incarnation refuses the request.
  client_account_name Account; ///< Empty if the call needs no client account.
  std::vector<helper_engine> Helpers;
  std::uint64_t LastEvent{
      0}; ///< Last event that the caller has; the server must continue after it. 0: from the start.
  queue_place Place{queue_place::InTurn}; ///< Among the requests that wait at the server.
};

/// Facts from the head of an answer.
struct answer_facts {
  bool NotRun{false};              ///< The server states that it did not start the request.
  bool AnswersOtherRequest{false}; ///< The answer lacks the caller's name for this request.
  backend_address
      AtFault; ///< Another server that prevented the request from running; empty if none is named.
  rate_limit_statement RateLimit; ///< The limit of the server that answers.
  pause_statement Pause;          ///< Asked for by the server that answers.
  bool Leaving{false};            ///< The server that answers accepts no new work.
};

/// Adapter for callers and backend servers that use another protocol. Either all hooks are set or
/// none.
struct call_interface {
  std::function<result<head_facts, call_error>(const request_head &)> ReadHead;
  /// Returns the caller's own name for this send, which answers carry. Also works on a head that
  /// ReadHead rejects.
  std::function<std::string(const request_head &)> SendName;
  /// Returns whether only the system may set this header on requests to a backend server.
  std::function<bool(std::string_view Name)> IsSystemHeader;
  /// Adds the system's own headers to the forwarded ones.
  std::function<void(const attempt_facts &, std::vector<header_line> &)> WriteAttempt;
  std::function<answer_facts(const boost::beast::http::response_header<> &,
                             const std::string &SendName)>
      ReadAnswer;

  std::function<backend_call(const hold_request &)> AcquireHold; ///< Status 200 confirms the hold.
  std::function<backend_call(const std::string &Name)> ReleaseHold;
  /// Asks an engine for a report of its state; not set if engines make none.
  std::function<backend_call()> AskState;
  /// Returns what the body of a report says of the hold with this name.
  std::function<hold_state(std::string_view Report, const std::string &Name)> ReadHold;

  [[nodiscard]] bool isSet() const { return static_cast<bool>(ReadHead); }
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_INTERFACE_TYPE_H
