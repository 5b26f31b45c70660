/** @file order.h Public header of order: which orders engines need, and when a leader may send one.
 */
#ifndef POLLENSTALL_ORDER_ORDER_H
#define POLLENSTALL_ORDER_ORDER_H

#include "order/leader_order_gate_base.h" // IWYU pragma: export
#include "order/load_budget_base.h"       // IWYU pragma: export
#include "order/order_planner_base.h"     // IWYU pragma: export
#include "order/order_type.h"             // IWYU pragma: export

#endif // POLLENSTALL_ORDER_ORDER_H
