/** @file operator_server_base.h A small HTTP server on a thread of its own, for operators. */
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

/// A path, or a path prefix where it ends with "/".
struct operator_route {
  std::string Method;
  std::string Path;
  operator_access Access{operator_access::KeyNeeded};
  operator_handler Handle;
  call_lane Lane{call_lane::Operators};
};

/// Everything an operator server is built from.
struct operator_server_plan {
  std::string Address; ///< "IP:port"; port 0 takes one from the kernel.
  std::string KeyHash; ///< SHA-256 of the operators' key; empty refuses every call that needs it.
  std::vector<operator_route> Routes;
  std::size_t MaxConnections{0}; ///< 0: half of the process's file limit.
  std::shared_ptr<prometheus::Registry> Registry;
  std::function<void(std::size_t Open)> OnCrowded; ///< Callers were turned away.
};

/**
 * Serves operators apart from callers: bounded bodies and headers, a time limit for each call, and
 * a bound on connections. At the bound the connection that has been idle for longest gives way;
 * where none is idle a caller is told to come back. Handlers behind the key run on threads of their
 * own, so that calls that wait (for a quorum, say) cannot hold up /healthz; past a bound of such
 * calls the answer is 503.
 */
class operator_server {
public:
  operator_server(const operator_server &) = delete;
  operator_server &operator=(const operator_server &) = delete;
  ~operator_server();

  /// @return Where it listens, with the port that the kernel gave.
  [[nodiscard]] std::string address() const;

private:
  friend class operator_server_builder;
  class state;
  explicit operator_server(std::unique_ptr<state> Started);

  std::unique_ptr<state> State;
};

/// Collects routes, then starts the server.
class operator_server_builder {
public:
  /// @param Address "IP:port". @param KeyHash SHA-256 of the operators' key, hex.
  operator_server_builder(std::string Address, std::string KeyHash);

  /// Adds a route; the longest matching path wins.
  operator_server_builder &route(std::string Method, std::string Path, operator_access Access,
                                 operator_handler Handler, call_lane Lane = call_lane::Operators);
  /// GET /healthz: 200 while the process answers.
  operator_server_builder &health();
  /// GET /readyz: 200 where Ready() holds, otherwise 503, for the platform's balancer.
  operator_server_builder &readiness(std::function<bool()> Ready);
  /// GET /metrics in Prometheus' text format.
  operator_server_builder &metrics(std::shared_ptr<prometheus::Registry> Registry);
  /// GET /dump: the process's state as JSON, without keys and prompts.
  operator_server_builder &dump(std::function<std::string()> Dump);

  /// Connections at once.
  operator_server_builder &maxConnections(std::size_t Count);
  /// Called, at most once a second, after callers were turned away for want of connections.
  operator_server_builder &onCrowded(std::function<void(std::size_t Open)> Hook);

  /// Binds and starts the threads.
  result<std::unique_ptr<operator_server>, operator_server_error> start();

private:
  operator_server_plan Plan;
};

} // namespace pollenstall

#endif // POLLENSTALL_OPERATORS_OPERATOR_SERVER_BASE_H
