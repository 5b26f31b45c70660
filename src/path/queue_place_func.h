/** @file queue_place_func.h Place of requests among those that wait at a backend server. */
#ifndef POLLENSTALL_PATH_QUEUE_PLACE_FUNC_H
#define POLLENSTALL_PATH_QUEUE_PLACE_FUNC_H

#include "path/path_type.h"

namespace pollenstall {

/**
 * Returns the place of a request that was carried by a peer.
 *
 * While slots are scarce, many entries choose a slot that becomes free, and a direct connection is
 * made first. If a carried request is sent before the other entries can know that its slot is
 * taken, it always arrives behind theirs. Half of these requests go ahead: if all did, they would
 * always be before the others.
 * @param Connect How long its connection took.
 * @param VisibleAfter Time from a placement until the other entries know of it.
 */
constexpr queue_place carriedQueuePlace(mono_duration Connect, mono_duration VisibleAfter,
                                        request_number Request) {
  const bool IsOvertaken = Connect < VisibleAfter;
  return IsOvertaken && Request.value() % 2 == 0 ? queue_place::Ahead : queue_place::InTurn;
}

} // namespace pollenstall

#endif // POLLENSTALL_PATH_QUEUE_PLACE_FUNC_H
