/** @file control_link_base.h The entry's connection to whichever control host leads. */
#ifndef POLLENSTALL_CONTROL_LINK_CONTROL_LINK_BASE_H
#define POLLENSTALL_CONTROL_LINK_CONTROL_LINK_BASE_H

#include "control_link/control_link_type.h"
#include "core/core.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// Everything a link is built from.
struct control_link_plan {
  std::vector<std::string> Controls; ///< "IP:port" of every control host's entry listener.
  std::string Fleet;
  process_key Process;
  failure_domain_name Domain;
  std::string WorkAddress; ///< Where other entries tell of their work; may be empty.
  std::chrono::milliseconds RenewEvery{500};    ///< Between two requests for the lease.
  std::chrono::milliseconds AnswerWithin{2000}; ///< A silent control host is given up after this.
  /// A connection that is not open by then is given up: a host without power answers nothing, and
  /// the system's own next try at it comes after a second only.
  std::chrono::milliseconds ConnectWithin{1000};
  std::chrono::milliseconds BackOffMin{50}; ///< Between two attempts to connect.
  std::chrono::milliseconds BackOffMax{200};
  std::size_t RingCapacity{4096};
  std::function<void()> WakeEntry; ///< Called on the link's thread when events wait.
};

/**
 * One thread that finds the leader, keeps the lease and carries claims.
 * The producer of requests and the consumer of events must be one thread each (they may be the
 * same); both rings are bounded.
 */
class control_link {
public:
  control_link(const control_link &) = delete;
  control_link &operator=(const control_link &) = delete;
  /// Ends the thread; ends of claims that were not recorded by then are lost with the process.
  ~control_link();

  /// @return False where the ring is full: treat a claim as Unavailable.
  bool request(control_link_request Request);

  /// Hands every waiting event to Handle. @return How many there were.
  std::size_t drainEvents(const std::function<void(control_link_event &&)> &Handle);

  /// May be called from any thread.
  [[nodiscard]] control_link_counters counters() const;

private:
  friend class control_link_builder;
  class state;
  explicit control_link(std::unique_ptr<state> Started);

  std::unique_ptr<state> State;
};

/// Builds and starts a control link.
class control_link_builder {
public:
  /// @param Controls "IP:port" of every control host's listener for entries.
  control_link_builder(std::vector<std::string> Controls, std::string Fleet);

  control_link_builder &process(process_key Process, failure_domain_name Domain);
  /// Told to other entries.
  control_link_builder &workAddress(std::string Address);
  /// Called on the link's thread when events wait for drainEvents().
  control_link_builder &onEvents(std::function<void()> Wake);
  control_link_builder &renewEvery(std::chrono::milliseconds Interval);
  control_link_builder &answerWithin(std::chrono::milliseconds Limit);
  control_link_builder &connectWithin(std::chrono::milliseconds Limit);
  control_link_builder &backOff(std::chrono::milliseconds Min, std::chrono::milliseconds Max);
  /// Capacity of each ring.
  control_link_builder &ringCapacity(std::size_t Items);

  /// Starts the thread.
  [[nodiscard]] std::unique_ptr<control_link> start();

private:
  control_link_plan Plan;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CONTROL_LINK_BASE_H
