/** @file caller_session_base.h Serves the requests of one caller's connection in sequence. */
#ifndef POLLENSTALL_RELAY_CALLER_SESSION_BASE_H
#define POLLENSTALL_RELAY_CALLER_SESSION_BASE_H

#include "relay/async_signal_base.h"
#include "relay/relay_context_type.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace pollenstall {

/**
 * Reads a request, passes its facts to the decision thread and waits for the end. Meanwhile it
 * watches the caller's connection: if the caller disconnects, the work must stop.
 */
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
  caller_session(relay_context &Shared, boost::asio::ip::tcp::socket Open);
  ~caller_session();
  caller_session(const caller_session &) = delete;
  caller_session &operator=(const caller_session &) = delete;

  /// Serves requests until the connection ends.
  void start();

private:
  /// Whether the connection can serve another request.
  enum class next_step : std::uint8_t { Continue, Close, CloseAfterDrain };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<next_step> serveNextRequest();
  boost::asio::awaitable<next_step> serve(const request_head &Head, mono_time Arrived);
  [[nodiscard]] result<call_plan, call_error> plan(const request_head &Head) const;
  /// Plans the call. Waits while no declaration is in force, or while a newer declaration may allow
  /// what the current one refuses.
  boost::asio::awaitable<result<call_plan, call_error>> planWhenDeclared(const request_head &Head,
                                                                         mono_time Until);
  boost::asio::awaitable<next_step> serveModels(const call_plan &Plan, const request_head &Head);
  boost::asio::awaitable<next_step> serveCall(const call_plan &Plan, const request_head &Head,
                                              mono_time Arrived);
  boost::asio::awaitable<next_step> executeCall(std::shared_ptr<relayed_call> Call, bool KeepAlive);
  boost::asio::awaitable<next_step> conclude(relayed_call &Call, bool KeepAlive);
  boost::asio::awaitable<next_step> refuse(call_error Error, const std::string &Account,
                                           next_step After);
  boost::asio::awaitable<bool> writeError(const call_error &Error, const std::string &RequestId,
                                          bool Close);
  boost::asio::awaitable<void> writeErrorEvent(const call_error &Error);
  boost::asio::awaitable<void> watchCaller(std::shared_ptr<relayed_call> Call);
  boost::asio::awaitable<void> endWatch();

  result<std::shared_ptr<relayed_call>, call_error>
  admit(const call_plan &Plan, const request_head &Head, request_body &&Body, mono_time Arrived);
  [[nodiscard]] std::optional<call_error> suspectError(const relayed_call &Call) const;
  /// Returns the refusal of a request that may take longer than this stopping entry has left.
  [[nodiscard]] std::optional<call_error> stoppingError(const relayed_call &Call) const;
  std::shared_ptr<relayed_call> makeCall(checked_call Planned, const call_plan &Plan,
                                         const request_head &Head,
                                         std::shared_ptr<const request_body> Body);
  void record(const relayed_call &Call, const finish_request &Finish) const;
  [[nodiscard]] length_class lengthClassOf(tokens Prompt) const;

  relay_context &Context;
  std::shared_ptr<caller_connection> Caller;
  std::string SendName; ///< The current request's name from the caller; empty if it has none.
  async_signal WatchEnded;
  bool Watching{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALLER_SESSION_BASE_H
