/** @file order_gate_base.h Orders to load, unload and change role, with or without a fence. */
#ifndef POLLENSTALL_FAKE_BACKEND_ORDER_GATE_BASE_H
#define POLLENSTALL_FAKE_BACKEND_ORDER_GATE_BASE_H

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// What an engine does about the fencing number of an order.
enum class order_checking : std::uint8_t { None, Unfenced, Fenced };

/// One order as it came.
struct engine_order {
  std::int64_t Fence{0};
  std::string Order; ///< load, unload or role.
  std::string Model;
  std::string Version;
  std::string Role;
};

/// Why an order was not executed.
enum class order_refusal : std::uint8_t { NotSupported, OldFence, Invalid };

/// The engine's declared state. The fence lives in memory only, as an engine's own does.
class order_gate {
public:
  order_gate(order_checking OrderChecking, std::vector<std::string> LoadedModels)
      : Checking(OrderChecking), Models(std::move(LoadedModels)) {}

  result<done, order_refusal> execute(const engine_order &Order);

  [[nodiscard]] std::int64_t fence() const { return Fence; }
  [[nodiscard]] const std::vector<std::string> &models() const { return Models; }
  [[nodiscard]] const std::string &role() const { return Role; }
  [[nodiscard]] const std::vector<engine_order> &executed() const { return Executed; }

private:
  order_checking Checking;
  std::vector<std::string> Models;
  std::string Role{"serve"};
  std::int64_t Fence{0};
  std::vector<engine_order> Executed;
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ORDER_GATE_BASE_H
