/** @file work_share.h Public header of work_share: entries report their work in flight to each
 * other. */
#ifndef POLLENSTALL_WORK_SHARE_WORK_SHARE_H
#define POLLENSTALL_WORK_SHARE_WORK_SHARE_H

#include "work_share/work_share_base.h" // IWYU pragma: export
#include "work_share/work_share_type.h" // IWYU pragma: export

#endif // POLLENSTALL_WORK_SHARE_WORK_SHARE_H
