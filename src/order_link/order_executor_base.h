/** @file order_executor_base.h Thread that reads the state of engines and sends them orders. */
#ifndef POLLENSTALL_ORDER_LINK_ORDER_EXECUTOR_BASE_H
#define POLLENSTALL_ORDER_LINK_ORDER_EXECUTOR_BASE_H

#include "order_link/order_link_type.h"

#include <atomic>
#include <map>
#include <thread>

namespace pollenstall {

/**
 * Runs the planner and the gate on its own thread while this host leads, with one call to an engine
 * at a time. Learns of engines from membership events.
 */
class order_executor {
public:
  /// @param MembershipEvents Ring of the gossip thread's events; the executor is its only consumer.
  order_executor(order_executor_options ExecutorOptions, order_executor_callbacks ExecutorCallbacks,
                 bounded_ring<membership_event> &MembershipEvents);
  ~order_executor(); ///< Stops the thread and joins it.
  order_executor(const order_executor &) = delete;
  order_executor &operator=(const order_executor &) = delete;

  void start();

private:
  void run();
  void step();
  bool refreshLease();
  void updateEngines();
  bool enterTerm();
  void readStates();
  void readState(const backend_key &Engine);
  void sendOrders();
  void send(const planned_order &Order);
  void publish();

  order_executor_options Options;
  order_executor_callbacks Callbacks;
  bounded_ring<membership_event> &Events;
  order_planner Planner;
  leader_order_gate Gate;
  leader_lease Lease;
  leader_term PlannerTerm; ///< Term for which the planner was initialised.
  mono_time Now{};
  std::map<backend_key, engine_state> Engines;
  std::map<backend_key, mono_time> NextRead;

  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_LINK_ORDER_EXECUTOR_BASE_H
