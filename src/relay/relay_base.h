/** @file relay_base.h The data plane of an entry: callers on one side, backend servers on the
 * other.
 */
#ifndef POLLENSTALL_RELAY_RELAY_BASE_H
#define POLLENSTALL_RELAY_RELAY_BASE_H

#include "core/core.h"
#include "relay/call_interface_type.h"
#include "relay/call_record_type.h"
#include "relay/relay_metrics_base.h"
#include "relay/relay_type.h"

#include <boost/asio/io_context.hpp>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pollenstall {

/// Why the relay could not listen.
struct relay_error {
  std::string Text;
};

/**
 * Runs in the one thread that runs its io_context; every method is called there. Events go to the
 * decision thread through a ring, orders come back by handle().
 */
class relay {
public:
  relay(const relay &) = delete;
  relay &operator=(const relay &) = delete;
  ~relay();

  /// Binds the callers' address and starts to accept. @return Where it listens.
  result<std::string, relay_error> listen(std::string_view Address);
  /// Carries out an order of the decision thread.
  void handle(relay_order &&Order);
  /// Ends each caller's connection with its present answer; new requests are still taken.
  void beginDrain();
  /// Refuses new requests from now on; those admitted go on.
  void beginStop();
  /// Closes everything; once the io_context has run out of work this object may go.
  void stop();
  /// @return Requests without a final answer.
  [[nodiscard]] std::size_t openCalls() const;
  /// @return JSON of the state, without keys and prompts.
  [[nodiscard]] std::string dump() const;

private:
  friend class relay_builder;
  class state;
  explicit relay(std::unique_ptr<state> Built);

  std::unique_ptr<state> State;
};

/// Collects the parts of a relay.
class relay_builder {
public:
  /// @param Context Run by one thread. @param Events To the decision thread.
  relay_builder(boost::asio::io_context &Context, bounded_ring<dispatch_event> &Events);

  /// Where answers to list_attempts go; without it they are dropped.
  relay_builder &attemptLists(bounded_ring<attempts_listed> &Target);
  /// Where crashes of backend servers and good ends of suspected requests are told; without it
  /// neither is looked for.
  relay_builder &crashNews(bounded_ring<crash_news> &Target);
  relay_builder &process(process_key Self);
  relay_builder &limits(const relay_limits &Value);
  relay_builder &metrics(std::shared_ptr<prometheus::Registry> Value);
  /// Speaks another protocol than chat/completions.
  relay_builder &interface(call_interface Hooks);
  /// Called at the end of each call, refused ones included.
  relay_builder &onCallEnd(std::function<void(const call_record &)> Hook);

  std::unique_ptr<relay> build();

private:
  boost::asio::io_context &Io;
  bounded_ring<dispatch_event> &Ring;
  bounded_ring<attempts_listed> *Lists{nullptr};
  bounded_ring<crash_news> *News{nullptr};
  process_key Self;
  relay_limits Limits;
  std::shared_ptr<prometheus::Registry> Registry;
  call_interface Interface;
  std::function<void(const call_record &)> AtCallEnd;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RELAY_BASE_H
