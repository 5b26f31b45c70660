/** @file order_duty_base.h The thread that reads engines and sends them orders. */
#ifndef POLLENSTALL_ORDER_LINK_ORDER_DUTY_BASE_H
#define POLLENSTALL_ORDER_LINK_ORDER_DUTY_BASE_H

#include "order_link/order_link_type.h"

#include <atomic>
#include <map>
#include <thread>

namespace pollenstall {

/**
 * Drives planner and gate on a thread of its own, one call to an engine at a time, while this host
 * leads. Knows engines from the membership's events.
 */
class order_duty {
public:
  /// @param Events Ring out of the gossip thread; this duty is its one consumer.
  order_duty(order_duty_options Bounds, order_duty_hooks Asked,
             bounded_ring<membership_event> &Events);
  ~order_duty(); ///< Stops and joins.
  order_duty(const order_duty &) = delete;
  order_duty &operator=(const order_duty &) = delete;

  void start();

private:
  void run();
  void step();
  bool look();
  void learnEngines();
  bool openOffice();
  void readStates();
  void readState(const backend_key &Engine);
  void sendOrders();
  void send(const planned_order &Order);
  void publish();

  order_duty_options Options;
  order_duty_hooks Hooks;
  bounded_ring<membership_event> &Changes;
  order_planner Planner;
  leader_order_gate Gate;
  leader_lease Lease;
  leader_term Office; ///< The planner was told of.
  mono_time Now{};
  std::map<backend_key, engine_state> Engines;
  std::map<backend_key, mono_time> NextRead;

  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_LINK_ORDER_DUTY_BASE_H
