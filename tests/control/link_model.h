/** @file link_model.h Virtual time, and the link of one host that its connections share. */
#ifndef POLLENSTALL_TESTS_CONTROL_LINK_MODEL_H
#define POLLENSTALL_TESTS_CONTROL_LINK_MODEL_H

#include "core/core.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace pollenstall {

/// What happens at which moment.
class agenda {
public:
  void at(mono_time When, std::function<void()> What) { Waiting.emplace(When, std::move(What)); }
  void after(mono_duration Span, std::function<void()> What) { at(Time + Span, std::move(What)); }
  /// Carries out all that is due until then.
  void runUntil(mono_time End);
  [[nodiscard]] mono_time now() const { return Time; }

private:
  std::multimap<mono_time, std::function<void()>> Waiting;
  mono_time Time{std::chrono::seconds(1000)};
};

/// Rates of links in bytes a second, and what stands between two hosts.
struct link_rates {
  double Sender{0};
  double Receiver{0}; ///< Where none is said for a connection.
  mono_duration Delay{0};
  /// Of one connection: no more is on its way, so that many connections share the link in turns.
  std::size_t Window{64U << 10U};
};

/// The way out of one host.
class link_model {
public:
  using hook = std::function<void()>;

  link_model(agenda &Order, const link_rates &Given) : Agenda(Order), Rates(Given) {}

  /// @param Arrived Each time bytes come. @param Whole When all of them have.
  void send(std::uint64_t Connection, std::size_t Bytes, std::function<void(std::size_t)> Arrived,
            hook Whole);
  /// The link of the host at the other end, in bytes a second.
  void setReceiver(std::uint64_t Connection, double Rate) { Connections[Connection].Rate = Rate; }
  /// What has not left by then never does.
  void close(std::uint64_t Connection) { Connections.erase(Connection); }
  [[nodiscard]] std::uint64_t bytesSent() const { return Sent; }

private:
  struct message {
    std::size_t Left{0};
    std::function<void(std::size_t)> Arrived;
    hook Whole;
  };
  struct connection {
    std::deque<message> Messages;
    bool OnItsWay{false};
    mono_time ReceiverFree{};
    double Rate{0};
  };

  void serve();
  void arrived(std::uint64_t Number, std::size_t Bytes);

  agenda &Agenda;
  link_rates Rates;
  std::map<std::uint64_t, connection> Connections;
  std::deque<std::uint64_t> Turns;
  bool Busy{false};
  std::uint64_t Sent{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONTROL_LINK_MODEL_H
