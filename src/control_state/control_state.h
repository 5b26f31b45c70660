/** @file control_state.h Public header of control_state: the state machine of the control log. */
#ifndef POLLENSTALL_CONTROL_STATE_CONTROL_STATE_H
#define POLLENSTALL_CONTROL_STATE_CONTROL_STATE_H

#include "control_state/control_state_base.h"    // IWYU pragma: export
#include "control_state/control_state_type.h"    // IWYU pragma: export
#include "control_state/evacuation_table_base.h" // IWYU pragma: export
#include "control_state/in_force_tracker_base.h" // IWYU pragma: export

#endif // POLLENSTALL_CONTROL_STATE_CONTROL_STATE_H
