/** @file order.h Public header of order: plans the orders that engines need and decides when a
 * leader may send them. */
#ifndef POLLENSTALL_ORDER_ORDER_H
#define POLLENSTALL_ORDER_ORDER_H

#include "order/leader_order_gate_base.h" // IWYU pragma: export
#include "order/load_budget_base.h"       // IWYU pragma: export
#include "order/order_planner_base.h"     // IWYU pragma: export
#include "order/order_type.h"             // IWYU pragma: export

#endif // POLLENSTALL_ORDER_ORDER_H
