/** @file orphan.h Public header of orphan: attempts whose owner is gone. */
#ifndef POLLENSTALL_ORPHAN_ORPHAN_H
#define POLLENSTALL_ORPHAN_ORPHAN_H

#include "orphan/orphan_patrol_base.h" // IWYU pragma: export

#endif // POLLENSTALL_ORPHAN_ORPHAN_H
