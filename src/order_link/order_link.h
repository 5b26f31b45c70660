/** @file order_link.h Public header of order_link: the duty that sends orders to engines by HTTP.
 */
#ifndef POLLENSTALL_ORDER_LINK_ORDER_LINK_H
#define POLLENSTALL_ORDER_LINK_ORDER_LINK_H

#include "order_link/engine_call_func.h" // IWYU pragma: export
#include "order_link/order_duty_base.h"  // IWYU pragma: export
#include "order_link/order_link_type.h"  // IWYU pragma: export

#endif // POLLENSTALL_ORDER_LINK_ORDER_LINK_H
