/** @file order_gate.cpp Execution of orders. */
#include "fake_backend/order_gate_base.h"

#include <algorithm>

namespace pollenstall {

result<done, order_refusal> order_gate::execute(const engine_order &Order) {
  if (Checking == order_checking::None)
    return order_refusal::NotSupported;
  if (Checking == order_checking::Fenced && Order.Fence < Fence)
    return order_refusal::OldFence;
  const std::string Listed =
      Order.Version.empty() ? Order.Model : Order.Model + "@" + Order.Version;
  const auto Held = std::find(Models.begin(), Models.end(), Listed);
  if (Order.Order == "load") {
    if (Held == Models.end())
      Models.push_back(Listed);
  } else if (Order.Order == "unload") {
    if (Held != Models.end())
      Models.erase(Held);
  } else if (Order.Order == "role") {
    Role = Order.Role;
  } else {
    return order_refusal::Invalid;
  }
  Fence = std::max(Fence, Order.Fence);
  Executed.push_back(Order);
  return done{};
}

} // namespace pollenstall
