/** @file fleet_queue.h Public header of the order of waiting requests over all entries. */
#ifndef POLLENSTALL_FLEET_QUEUE_FLEET_QUEUE_H
#define POLLENSTALL_FLEET_QUEUE_FLEET_QUEUE_H

#include "fleet_queue/account_shares_base.h" // IWYU pragma: export
#include "fleet_queue/admission_func.h"      // IWYU pragma: export
#include "fleet_queue/fleet_queue_type.h"    // IWYU pragma: export
#include "fleet_queue/peer_waiting_base.h"   // IWYU pragma: export
#include "fleet_queue/queue_rank_func.h"     // IWYU pragma: export
#include "fleet_queue/slot_turnover_base.h"  // IWYU pragma: export
#include "fleet_queue/spare_slots_func.h"    // IWYU pragma: export

#endif // POLLENSTALL_FLEET_QUEUE_FLEET_QUEUE_H
