/** @file orphan.h Public header of orphan: finds attempts whose owner process has ended. */
#ifndef POLLENSTALL_ORPHAN_ORPHAN_H
#define POLLENSTALL_ORPHAN_ORPHAN_H

#include "orphan/orphan_reaper_base.h" // IWYU pragma: export

#endif // POLLENSTALL_ORPHAN_ORPHAN_H
