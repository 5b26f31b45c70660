/** @file order_service_base.h The gossip thread and the order duty of a control host. */
#ifndef POLLENSTALL_CONTROL_ORDER_SERVICE_BASE_H
#define POLLENSTALL_CONTROL_ORDER_SERVICE_BASE_H

#include "control_core_base.h"
#include "control_settings_type.h"
#include "order_link/order_link.h"

#include <memory>
#include <optional>
#include <string>

namespace pollenstall {

/// @return The placements of a declaration with the labels of their groups; nothing where the text
/// cannot be read.
std::optional<std::vector<placement>> placementsOf(const std::string &Declaration);

/// Nothing runs where the settings name no gossip address.
class order_service {
public:
  /// Binds the gossip address. @return What failed.
  std::optional<std::string> open(const control_settings &Settings);
  /// @param Core Outlives this service.
  void start(const control_settings &Settings, control_core &Core);

  /// @return Null where no orders are sent.
  [[nodiscard]] std::shared_ptr<order_status_view> board() const { return Board; }
  [[nodiscard]] std::string address() const { return Gossip->address().str(); }

private:
  std::shared_ptr<order_status_view> Board;
  std::unique_ptr<gossip_service> Gossip;
  std::unique_ptr<order_executor> Duty; ///< Takes from Gossip, so it ends before it.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_ORDER_SERVICE_BASE_H
