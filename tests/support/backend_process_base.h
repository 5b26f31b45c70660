/** @file backend_process_base.h The stand-in for a backend server, as a process of a test. */
#ifndef POLLENSTALL_SUPPORT_BACKEND_PROCESS_BASE_H
#define POLLENSTALL_SUPPORT_BACKEND_PROCESS_BASE_H

#include "support/child_process_base.h"
#include "support/http_client_base.h"

#include <boost/json.hpp>

#include <memory>
#include <string>

namespace pollenstall {

/// pollenstall-fake-backend on a free port; ready once constructed.
class backend_process {
public:
  /// @param Toml Its settings; top-level keys first, as TOML wants it. Without listen.address.
  explicit backend_process(const std::string &Toml);

  [[nodiscard]] const std::string &address() const { return Address; }
  [[nodiscard]] child_process &process() { return *Child; }
  [[nodiscard]] http_client client() const { return http_client(Address); }
  /// @return The object of GET /stats.
  [[nodiscard]] boost::json::object stats() const;
  /// @return One whole number of the stats; -1 where there is none.
  [[nodiscard]] std::int64_t stat(const std::string &Name) const;
  /// @return How often work with this Idempotency-Key was started.
  [[nodiscard]] std::int64_t startsByKey(const std::string &Key) const;
  /// Switches faults on. @return Whether they were taken.
  [[nodiscard]] bool faults(const std::string &Json) const;

private:
  std::unique_ptr<child_process> Child;
  std::string Address;
};

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_BACKEND_PROCESS_BASE_H
