/** @file backend_process_base.h The fake backend server as a child process of a test. */
#ifndef POLLENSTALL_SUPPORT_BACKEND_PROCESS_BASE_H
#define POLLENSTALL_SUPPORT_BACKEND_PROCESS_BASE_H

#include "support/child_process_base.h"
#include "support/http_client_base.h"

#include <boost/json.hpp>

#include <memory>
#include <string>

namespace pollenstall {

/// Runs pollenstall-fake-backend on a free port; it is ready once constructed.
class backend_process {
public:
  /// @param Toml Settings without listen.address; TOML requires top-level keys first.
  explicit backend_process(const std::string &Toml);

  [[nodiscard]] const std::string &address() const { return Address; }
  [[nodiscard]] child_process &process() { return *Child; }
  [[nodiscard]] http_client client() const { return http_client(Address); }
  /// @return The JSON object of GET /stats.
  [[nodiscard]] boost::json::object stats() const;
  /// @return An integer counter of the stats; -1 if it is absent.
  [[nodiscard]] std::int64_t stat(const std::string &Name) const;
  /// @return Number of starts of work with this Idempotency-Key.
  [[nodiscard]] std::int64_t startsByKey(const std::string &Key) const;
  /// Enables faults. @return Whether the server accepted them.
  [[nodiscard]] bool faults(const std::string &Json) const;

private:
  std::unique_ptr<child_process> Child;
  std::string Address;
};

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_BACKEND_PROCESS_BASE_H
