/** @file order_service_base.h The gossip thread and the order executor of a control host. */
#ifndef POLLENSTALL_CONTROL_ORDER_SERVICE_BASE_H
#define POLLENSTALL_CONTROL_ORDER_SERVICE_BASE_H

#include "control_core_base.h"
#include "control_settings_type.h"
#include "order_link/order_link.h"

#include <memory>
#include <optional>
#include <string>

namespace pollenstall {

/// @return The placements of a declaration with the labels of their groups; nothing if the text
/// cannot be parsed.
std::optional<std::vector<placement>> placementsOf(const std::string &Declaration);

/// Runs gossip and the order executor. Does nothing if the settings have no gossip address.
class order_service {
public:
  /// Binds the gossip address. @return The error, or nothing on success.
  std::optional<std::string> open(const control_settings &Settings);
  /// Starts both threads. @param Core Must outlive this service.
  void start(const control_settings &Settings, control_core &Core);

  /// @return Null if no orders are sent.
  [[nodiscard]] std::shared_ptr<order_status_view> statusView() const { return OrderStatusView; }
  [[nodiscard]] std::string address() const { return Gossip->address().str(); }

private:
  std::shared_ptr<order_status_view> OrderStatusView;
  std::unique_ptr<gossip_service> Gossip;
  std::unique_ptr<order_executor> OrderExecutor; ///< Uses Gossip, so it is destroyed first.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_ORDER_SERVICE_BASE_H
