/** @file call_interface_type.h Hooks for callers and backend servers whose heads say what the body
 * of a chat call would. */
#ifndef POLLENSTALL_RELAY_CALL_INTERFACE_TYPE_H
#define POLLENSTALL_RELAY_CALL_INTERFACE_TYPE_H

#include "core/core.h"
#include "relay/call_error_type.h"
#include "relay/header_filter_func.h"
#include "relay/request_head_type.h"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/// What the head of a caller's request says.
struct head_facts {
  std::string Key;                                   ///< Bearer key; empty where none was sent.
  std::optional<std::chrono::milliseconds> TimeLeft; ///< How long the caller waits.
  model_name Model;
  tokens Prompt;
  tokens AnswerLimit;
  tokens AnswerHint;                       ///< 0 where none was sent.
  std::vector<std::uint64_t> PrefixHashes; ///< One for each part that the prompt begins with.
  std::uint64_t LastEvent{0}; ///< The caller goes on behind this event; 0: from the start.
};

/// An engine that reads a part of a prompt.
struct helper_facts {
  backend_address Address;
  std::string Hold; ///< Name of the memory that is set aside there for this attempt; may be empty.
};

/// Memory that an engine is asked to set aside.
struct hold_facts {
  std::string Name; ///< Chosen here, unique.
  tokens Amount;
  std::chrono::milliseconds Lasts{0}; ///< From the call's arrival; asking again starts it anew.
};

/// A small call of a backend server: method, target and body.
struct backend_call {
  std::string Method;
  std::string Target;
  std::string Body;
};

/// What a backend server is told beside the caller's own headers.
struct attempt_facts {
  std::chrono::milliseconds TimeLeft{0};
  std::string Instance;        ///< The server's name for its life; another life refuses.
  client_account_name Account; ///< Empty where the caller needs none.
  std::vector<helper_facts> Helpers;
  std::uint64_t LastEvent{0}; ///< 0: from the start.
};

/// What the head of an answer says.
struct answer_facts {
  bool NotRun{false};    ///< The server says that it did not start.
  bool OtherSend{false}; ///< It belongs to another send.
  backend_address
      AtFault; ///< Another server because of which nothing ran; empty where none is named.
};

/// How callers and backend servers of another protocol are spoken to. All hooks are set, or none.
struct call_interface {
  std::function<result<head_facts, call_error>(const request_head &)> ReadHead;
  /// The caller's own name for this send, which answers carry; also of a head that can't be read.
  std::function<std::string(const request_head &)> SendName;
  /// Whether only the system may set this header towards a backend server.
  std::function<bool(std::string_view Name)> IsSystemHeader;
  /// Adds the system's own headers to those that are passed on.
  std::function<void(const attempt_facts &, std::vector<header_line> &)> WriteAttempt;
  std::function<answer_facts(const boost::beast::http::response_header<> &,
                             const std::string &SendName)>
      ReadAnswer;

  std::function<backend_call(const hold_facts &)> TakeHold; ///< Answered by 200 where it is held.
  std::function<backend_call(const std::string &Name)> EndHold;

  [[nodiscard]] bool isSet() const { return static_cast<bool>(ReadHead); }
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_INTERFACE_TYPE_H
