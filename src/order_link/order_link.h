/** @file order_link.h Public header of order_link: sends orders to engines over HTTP. */
#ifndef POLLENSTALL_ORDER_LINK_ORDER_LINK_H
#define POLLENSTALL_ORDER_LINK_ORDER_LINK_H

#include "order_link/engine_call_func.h"    // IWYU pragma: export
#include "order_link/order_executor_base.h" // IWYU pragma: export
#include "order_link/order_link_type.h"     // IWYU pragma: export

#endif // POLLENSTALL_ORDER_LINK_ORDER_LINK_H
