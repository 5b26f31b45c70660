/** @file work_exchange.h Public header of work_exchange: the protocol by which entries report their
 * work to each other. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_EXCHANGE_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_EXCHANGE_H

#include "work_exchange/work_exchange_type.h"    // IWYU pragma: export
#include "work_exchange/work_report_size_func.h" // IWYU pragma: export
#include "work_exchange/work_view_base.h"        // IWYU pragma: export

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_EXCHANGE_H
