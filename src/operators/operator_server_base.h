/** @file operator_server_base.h An HTTP server for operators, with its own threads. */
#ifndef POLLENSTALL_OPERATORS_OPERATOR_SERVER_BASE_H
#define POLLENSTALL_OPERATORS_OPERATOR_SERVER_BASE_H

#include "core/core.h"
#include "operators/operator_type.h"

#include <prometheus/registry.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// A route with its handler. A path that ends with "/" matches as a prefix.
struct operator_route {
  std::string Method;
  std::string Path;
  operator_access Access{operator_access::KeyNeeded};
  operator_handler Handle;
  call_pool Pool{call_pool::Operators};
};

/// Configuration of an operator server.
struct operator_server_plan {
  std::string Address; ///< "IP:port"; with port 0 the kernel chooses the port.
  std::string KeyHash; ///< SHA-256 of the operators' key; if empty, calls that need it get 401.
  std::vector<operator_route> Routes;
  /// Memory for connections and for calls that are received or wait for their answer, in bytes.
  std::size_t CallMemory{64U << 20U};
  std::size_t MaxConnections{0}; ///< 0: half of the process's file limit.
  std::shared_ptr<prometheus::Registry> Registry;
  std::function<void(std::size_t Open)> OnConnectionLimit; ///< Called when connections are refused.
};

/**
 * Serves operators separately from callers. Connections and calls share a memory; if there is too
 * little, the call that has stopped arriving for longest is refused. It limits the size of bodies
 * and headers, the duration of a call and the number of connections. At the connection limit it
 * closes the longest idle connection; if none is idle, it refuses the new one with 503 and
 * Retry-After. Handlers that may block, for example on a quorum, run on separate threads, so that
 * they cannot delay /healthz. If too many such calls are in flight, the answer is 503.
 */
class operator_server {
public:
  operator_server(const operator_server &) = delete;
  operator_server &operator=(const operator_server &) = delete;
  ~operator_server();

  /// @return The listening address, with the actual port.
  [[nodiscard]] std::string address() const;

private:
  friend class operator_server_builder;
  class state;
  explicit operator_server(std::unique_ptr<state> Started);

  std::unique_ptr<state> State;
};

/// Collects routes and starts the server.
class operator_server_builder {
public:
  /// @param Address "IP:port". @param KeyHash SHA-256 of the operators' key in hex.
  operator_server_builder(std::string Address, std::string KeyHash);

  /// Adds a route. The longest matching path wins.
  operator_server_builder &route(std::string Method, std::string Path, operator_access Access,
                                 operator_handler Handler, call_pool Pool = call_pool::Operators);
  /// Adds GET /healthz, which answers 200 while the process responds.
  operator_server_builder &health();
  /// Adds GET /readyz for the platform's load balancer: 200 if Ready() returns true, otherwise 503.
  operator_server_builder &readiness(std::function<bool()> Ready);
  /// Adds GET /metrics in the Prometheus text format.
  operator_server_builder &metrics(std::shared_ptr<prometheus::Registry> Registry);
  /// Adds GET /dump: the state of the process as JSON, without keys and prompts.
  operator_server_builder &dump(std::function<std::string()> Dump);

  /// Sets the memory for connections and calls; a part of that of the process, if it is known.
  /// @param ProcessBytes 0: not known.
  operator_server_builder &processMemory(double ProcessBytes, double Part);
  /// Sets the limit of concurrent connections.
  operator_server_builder &maxConnections(std::size_t Count);
  /// Sets a hook that is called, at most once a second, when connections over the limit are
  /// refused.
  operator_server_builder &onConnectionLimit(std::function<void(std::size_t Open)> Hook);

  /// Binds the address and starts the threads.
  result<std::unique_ptr<operator_server>, operator_server_error> start();

private:
  operator_server_plan Plan;
};

} // namespace pollenstall

#endif // POLLENSTALL_OPERATORS_OPERATOR_SERVER_BASE_H
