/** @file simulated_link.h Simulated time, and a host's link that its connections share. */
#ifndef POLLENSTALL_TESTS_CONTROL_SIMULATED_LINK_H
#define POLLENSTALL_TESTS_CONTROL_SIMULATED_LINK_H

#include "core/core.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace pollenstall {

/// Runs callbacks in the order of simulated time.
class simulated_clock {
public:
  void at(mono_time When, std::function<void()> Action) {
    Waiting.emplace(When, std::move(Action));
  }
  void after(mono_duration Span, std::function<void()> Action) {
    at(Time + Span, std::move(Action));
  }
  /// Runs all callbacks that are due until End.
  void runUntil(mono_time End);
  [[nodiscard]] mono_time now() const { return Time; }

private:
  std::multimap<mono_time, std::function<void()>> Waiting;
  mono_time Time{std::chrono::seconds(1000)};
};

/// Rates of links in bytes per second, and the network between two hosts.
struct link_rates {
  double Sender{0};
  double Receiver{0}; ///< Default for a connection without its own rate.
  mono_duration Delay{0};
  /// Limit on a connection's bytes in flight, so that connections take turns on the link.
  std::size_t Window{64U << 10U};
};

/// The outgoing link of one host.
class simulated_link {
public:
  using callback = std::function<void()>;

  simulated_link(simulated_clock &SharedClock, const link_rates &LinkRates)
      : Clock(SharedClock), Rates(LinkRates) {}

  /// Sends bytes. @param Arrived Called each time bytes arrive. @param Completed Called when all
  /// have arrived.
  void send(std::uint64_t Connection, std::size_t Bytes, std::function<void(std::size_t)> Arrived,
            callback Completed);
  /// Sets the rate of the receiving host's link in bytes per second.
  void setReceiver(std::uint64_t Connection, double Rate) { Connections[Connection].Rate = Rate; }
  /// Drops the bytes that have not been sent.
  void close(std::uint64_t Connection) { Connections.erase(Connection); }
  [[nodiscard]] std::uint64_t bytesSent() const { return Sent; }

private:
  struct message {
    std::size_t Remaining{0};
    std::function<void(std::size_t)> Arrived;
    callback Completed;
  };
  struct connection {
    std::deque<message> Messages;
    bool InFlight{false};
    mono_time ReceiverFree{};
    double Rate{0};
  };

  void serve();
  void arrived(std::uint64_t Id, std::size_t Bytes);

  simulated_clock &Clock;
  link_rates Rates;
  std::map<std::uint64_t, connection> Connections;
  std::deque<std::uint64_t> SendQueue;
  bool Busy{false};
  std::uint64_t Sent{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONTROL_SIMULATED_LINK_H
