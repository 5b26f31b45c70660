/** @file relay_harness_base.h Runs a relay in this process between a caller and scripted servers.
 */
#ifndef POLLENSTALL_TESTS_RELAY_RELAY_HARNESS_BASE_H
#define POLLENSTALL_TESTS_RELAY_RELAY_HARNESS_BASE_H

#include "relay/relay.h"
#include "support/scripted_server_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pollenstall {

/// Returns the head of a chunked event stream.
std::string streamHead();

/// A relay with one declared route; the test replaces the decision thread.
class relay_harness {
public:
  /// @param Adjust Changes the builder before the relay is built.
  explicit relay_harness(retry_mode Repeat = retry_mode::Resume, const relay_limits &Limits = {},
                         const std::function<void(relay_builder &)> &Adjust = {});
  ~relay_harness();
  relay_harness(const relay_harness &) = delete;
  relay_harness &operator=(const relay_harness &) = delete;

  /// Sends a request without waiting for it to reach the decision thread.
  void send(const std::string &Body, const std::string &MoreHeaders = {},
            const std::string &Path = "/a/b");
  /// Sends a request and waits until it reaches the decision thread; answer() then waits for the
  /// end of its connection.
  void call(const std::string &Body, const std::string &MoreHeaders = {});
  /// Opens a connection without sending anything.
  void connect();
  /// Starts the drain of the host, see relay::beginDrain().
  void drain();
  /// Closes the caller's connection without waiting for an answer.
  void hangUp();
  [[nodiscard]] std::string answer();

  /// Removes or restores the declaration.
  void setDeclared(bool Declared);
  /// Informs the relay that a newer declaration exists that it does not have yet.
  void setDeclarationStale();
  /// Puts another declaration in force, with a route for this prefix.
  void declareRoute(const std::string &PathPrefix);

  /// Waits for the next event of a type; events of other types are dropped.
  template <typename Event> Event next() {
    while (true) {
      dispatch_event Received = nextEvent();
      if (auto *Match = std::get_if<Event>(&Received))
        return *Match;
    }
  }
  /// Waits for the next event of any type.
  dispatch_event next() { return nextEvent(); }
  /// Waits until the present attempt has ended. @return How it failed; nothing if it completed.
  std::optional<attempt_failed> nextAttemptEnd();
  void order(relay_order Order);
  /// Orders an attempt of the latest call.
  void start(const scripted_server &Server, std::uint32_t Ordinal = 1, bool MayRetry = true,
             std::vector<memory_hold> Holds = {});
  void start(const backend_key &Backend);
  /// Abandons an attempt of the latest call, as the decision thread does once another one answers.
  void cancel(const scripted_server &Server, std::uint32_t Ordinal);
  /// Waits for the relay's next crash update.
  crash_update nextCrashUpdate();
  [[nodiscard]] bool hasCrashUpdate();
  /// Closes the caller's connection and orders an attempt while the relay's thread is busy, so that
  /// both are pending when it continues.
  void hangUpAndStart(const scripted_server &Server);
  /// Binds the address at which other entries ask for tunnels.
  void listenForTunnels(const std::string &TunnelAddress);
  /// Stops the relay and its connections.
  void stop();
  /// Returns after the relay thread has done all pending work that needs no further network input.
  void settle();
  void finish(final_outcome Outcome, failure_reason Reason);
  /// Waits for the end of the present attempt and ends the request by it.
  /// @return Whether the attempt completed.
  bool finishAfterAttempt();

  /// Returns the records of ended calls; call settle() first.
  [[nodiscard]] const std::vector<call_record> &records() const { return Records; }

  std::string Method{"POST"};   ///< Of the requests that follow.
  request_facts Facts;          ///< Facts of the latest call.
  mono_duration VisibleAfter{}; ///< Time until other entries know of an attempt.

private:
  friend class relay_pause;

  dispatch_event nextEvent();
  [[nodiscard]] start_attempt startOrder(const backend_key &Backend, std::uint32_t Ordinal) const;
  void drainCrashUpdates();

  declaration_view Declaration;
  boost::asio::io_context Io{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  bounded_ring<dispatch_event> Ring;
  std::vector<dispatch_event> Pending;
  bounded_ring<crash_update> CrashUpdateRing;
  std::vector<crash_update> CrashUpdates;
  std::vector<call_record> Records; ///< Filled by the relay's thread.
  std::unique_ptr<relay> Relay;
  std::string Address;
  std::thread Thread;
  boost::asio::io_context CallerIo;
  std::unique_ptr<boost::asio::ip::tcp::socket> Caller;
};

/// Keeps the relay's thread from doing anything, as in a frozen process whose kernel accepts
/// connections.
class relay_pause {
public:
  explicit relay_pause(relay_harness &Relay);
  ~relay_pause();
  relay_pause(const relay_pause &) = delete;
  relay_pause &operator=(const relay_pause &) = delete;

private:
  std::promise<void> End;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_RELAY_RELAY_HARNESS_BASE_H
