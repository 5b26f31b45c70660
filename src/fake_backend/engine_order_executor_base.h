/** @file engine_order_executor_base.h Executes load, unload and role orders, with or without
 * fencing. */
#ifndef POLLENSTALL_FAKE_BACKEND_ENGINE_ORDER_EXECUTOR_BASE_H
#define POLLENSTALL_FAKE_BACKEND_ENGINE_ORDER_EXECUTOR_BASE_H

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// Whether an engine supports orders and checks their fencing token.
enum class order_support : std::uint8_t { None, Unfenced, Fenced };

/// One order as received.
struct engine_order {
  std::int64_t Fence{0};
  std::string Command; ///< load, unload or role.
  std::string Model;
  std::string Version;
  std::string Role;
};

/// The reason why an order was not executed.
enum class order_refusal : std::uint8_t { NotSupported, StaleFence, Invalid };

/// Loaded models, role and fencing token of an engine. The token is kept in memory only, as real
/// engines do.
class engine_order_executor {
public:
  engine_order_executor(order_support OrderSupport, std::vector<std::string> LoadedModels)
      : Support(OrderSupport), Models(std::move(LoadedModels)) {}

  /// Executes an order and records it. @return The reason if the order was refused.
  result<done, order_refusal> execute(const engine_order &Order);

  [[nodiscard]] std::int64_t fence() const { return Fence; }
  [[nodiscard]] const std::vector<std::string> &models() const { return Models; }
  [[nodiscard]] const std::string &role() const { return Role; }
  [[nodiscard]] const std::vector<engine_order> &executed() const { return Executed; }

private:
  order_support Support;
  std::vector<std::string> Models;
  std::string Role{"serve"};
  std::int64_t Fence{0};
  std::vector<engine_order> Executed;
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ENGINE_ORDER_EXECUTOR_BASE_H
