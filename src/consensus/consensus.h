/** @file consensus.h Public header of consensus: the replicated log as a pure state machine. */
#ifndef POLLENSTALL_CONSENSUS_CONSENSUS_H
#define POLLENSTALL_CONSENSUS_CONSENSUS_H

#include "consensus/consensus_type.h"     // IWYU pragma: export
#include "consensus/member_repair_func.h" // IWYU pragma: export
#include "consensus/member_set_func.h"    // IWYU pragma: export
#include "consensus/replica_base.h"       // IWYU pragma: export

#endif // POLLENSTALL_CONSENSUS_CONSENSUS_H
