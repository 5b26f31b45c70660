/** @file control_link_base.h The entry's connection to the leading control host. */
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

/// Addresses, identity, timeouts and callbacks of a control link.
struct control_link_options {
  std::vector<std::string> ControlAddresses; ///< "IP:port" of every control host's entry listener.
  std::string Fleet;
  process_key Process;
  failure_domain_name Domain;
  std::string WorkAddress; ///< "IP:port" at which this entry receives the work reports of other
                           ///< entries; may be empty.
  std::chrono::milliseconds LeaseRenewInterval{500}; ///< Between two renewals of the lease.
  std::chrono::milliseconds AnswerTimeout{
      2000}; ///< A connection that is idle for longer is closed.
  /// A connection attempt that takes longer is abandoned: a host without power sends no answer, and
  /// the kernel retries a SYN only after one second.
  std::chrono::milliseconds ConnectionTimeout{1000};
  std::chrono::milliseconds BackOffMin{50}; ///< Between two connection attempts.
  std::chrono::milliseconds BackOffMax{200};
  std::size_t RingCapacity{4096};
  std::function<void()> NotifyEntry; ///< Called on the link's thread when events are pending.
};

/**
 * Runs one thread that finds the leader, renews the lease and sends claims.
 * Only one thread may produce requests and only one may consume events; it may be the same thread.
 * Both rings are bounded.
 */
class control_link {
public:
  control_link(const control_link &) = delete;
  control_link &operator=(const control_link &) = delete;
  /// Stops the thread. Claim outcomes that are not recorded by then are lost.
  ~control_link();

  /// @return False if the ring is full; the caller treats a claim as Unavailable.
  bool request(control_link_request Request);

  /// Passes each pending event to Handle. @return The number of events.
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
  /// @param ControlAddresses "IP:port" of every control host's listener for entries.
  control_link_builder(std::vector<std::string> ControlAddresses, std::string Fleet);

  control_link_builder &process(process_key Process, failure_domain_name Domain);
  /// Sets WorkAddress, which the leader passes on to the other entries.
  control_link_builder &workAddress(std::string Address);
  /// Sets a callback that runs on the link's thread when events are ready for drainEvents().
  control_link_builder &onEvents(std::function<void()> Wake);
  control_link_builder &renewInterval(std::chrono::milliseconds Interval);
  control_link_builder &answerTimeout(std::chrono::milliseconds Limit);
  control_link_builder &connectTimeout(std::chrono::milliseconds Limit);
  control_link_builder &backOff(std::chrono::milliseconds Min, std::chrono::milliseconds Max);
  /// Capacity of each ring.
  control_link_builder &ringCapacity(std::size_t Items);

  /// Starts the thread.
  [[nodiscard]] std::unique_ptr<control_link> start();

private:
  control_link_options Options;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CONTROL_LINK_BASE_H
