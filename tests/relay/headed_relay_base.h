/** @file headed_relay_base.h A relay in this process between a caller and servers that follow a
 * script.
 */
#ifndef POLLENSTALL_TESTS_RELAY_HEADED_RELAY_BASE_H
#define POLLENSTALL_TESTS_RELAY_HEADED_RELAY_BASE_H

#include "relay/relay.h"
#include "support/scripted_server_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pollenstall {

/// @return The head of an event stream, chunked.
std::string streamHead();

/// The relay with one declared route, and the test in place of the decision thread.
class headed_relay {
public:
  explicit headed_relay(retry_mode Repeat = retry_mode::Resume, const relay_limits &Limits = {});
  ~headed_relay();
  headed_relay(const headed_relay &) = delete;
  headed_relay &operator=(const headed_relay &) = delete;

  /// Sends a request that is refused before it arrives at the decision.
  void send(const std::string &Body, const std::string &MoreHeaders = {},
            const std::string &Path = "/a/b");
  /// Sends a request in the background; answer() waits for the end of its connection.
  void call(const std::string &Body, const std::string &MoreHeaders = {});
  /// Opens a connection on which nothing is sent.
  void connect();
  /// The host is to stop soon: see relay::beginDrain().
  void drain();
  /// Closes the caller's connection without waiting for an answer.
  void hangUp();
  [[nodiscard]] std::string answer();

  /// Takes the declaration away, or gives it back.
  void setDeclared(bool Declared);
  /// The entry knows that there is a newer declaration, and does not have it yet.
  void setLagging();
  /// Puts another declaration in force, whose route has this prefix.
  void declareRoute(const std::string &PathPrefix);

  /// Waits for the next event of a kind; others are dropped.
  template <typename Event> Event next() {
    while (true) {
      dispatch_event Any = nextEvent();
      if (auto *Known = std::get_if<Event>(&Any))
        return *Known;
    }
  }
  void order(relay_order Order);
  /// Orders an attempt of the call that arrived last.
  void start(const scripted_server &Server, std::uint32_t Ordinal = 1, bool MayRetry = true,
             std::vector<memory_hold> Holds = {});
  void start(const backend_key &Backend);
  /// Waits for what the relay tells of crashes.
  crash_news nextNews();
  [[nodiscard]] bool hasNews();
  /// The caller closes and an attempt is ordered while the relay's thread is busy with another
  /// task: both wait for it when it goes on.
  void hangUpAndStart(const scripted_server &Server);
  /// Ends the relay and its connections.
  void stop();
  /// Returns once what was ordered has been begun, as far as it needs no peer's answer.
  void settle();
  void finish(final_outcome Outcome, failure_reason Reason);

  /// @return What was recorded of ended calls; after settle().
  [[nodiscard]] const std::vector<call_record> &records() const { return Records; }

  request_facts Facts; ///< Of the call that arrived last.

private:
  dispatch_event nextEvent();
  [[nodiscard]] start_attempt startOrder(const backend_key &Backend, std::uint32_t Ordinal) const;
  void drainNews();

  declaration_view Declaration;
  boost::asio::io_context Io{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  bounded_ring<dispatch_event> Ring;
  std::vector<dispatch_event> Pending;
  bounded_ring<crash_news> NewsRing;
  std::vector<crash_news> News;
  std::vector<call_record> Records; ///< Filled by the relay's thread.
  std::unique_ptr<relay> Relay;
  std::string Address;
  std::thread Thread;
  boost::asio::io_context CallerIo;
  std::unique_ptr<boost::asio::ip::tcp::socket> Caller;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_RELAY_HEADED_RELAY_BASE_H
