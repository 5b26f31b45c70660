/** @file hold_watch.h Public header of hold_watch: how long engines may hold memory for an attempt.
 */
#ifndef POLLENSTALL_HOLD_WATCH_HOLD_WATCH_H
#define POLLENSTALL_HOLD_WATCH_HOLD_WATCH_H

#include "hold_watch/hold_watch_base.h" // IWYU pragma: export
#include "hold_watch/hold_watch_type.h" // IWYU pragma: export

#endif // POLLENSTALL_HOLD_WATCH_HOLD_WATCH_H
