/** @file engine_order_executor.cpp Executes orders. */
#include "fake_backend/engine_order_executor_base.h"

#include <algorithm>

namespace pollenstall {

result<done, order_refusal> engine_order_executor::execute(const engine_order &Order) {
  if (Support == order_support::None)
    return order_refusal::NotSupported;
  if (Support == order_support::Fenced && Order.Fence < Fence)
    return order_refusal::StaleFence;
  const std::string ListedName =
      Order.Version.empty() ? Order.Model : Order.Model + "@" + Order.Version;
  const auto Loaded = std::find(Models.begin(), Models.end(), ListedName);
  if (Order.Command == "load") {
    if (Loaded == Models.end())
      Models.push_back(ListedName);
  } else if (Order.Command == "unload") {
    if (Loaded != Models.end())
      Models.erase(Loaded);
  } else if (Order.Command == "role") {
    Role = Order.Role;
  } else {
    return order_refusal::Invalid;
  }
  Fence = std::max(Fence, Order.Fence);
  Executed.push_back(Order);
  return done{};
}

} // namespace pollenstall
