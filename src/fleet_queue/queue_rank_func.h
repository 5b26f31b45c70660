/** @file queue_rank_func.h The order of waiting requests over all entries. */
#ifndef POLLENSTALL_FLEET_QUEUE_QUEUE_RANK_FUNC_H
#define POLLENSTALL_FLEET_QUEUE_QUEUE_RANK_FUNC_H

#include "fleet_queue/fleet_queue_type.h"

namespace pollenstall {

/// Returns the rank of a request: resumed streams, then requests that can meet their target (within
/// the account's share first, then by urgency, then by the time within which they must start),
/// then late ones (returning callers first, then within the account's share, longest wait first).
queue_rank rankOf(const waiting_request &Request);

/// Returns whether the class contains requests that can't meet their target any more.
bool isLateClass(std::size_t Class);

/// Returns the expected number of requests of others that go before one of this rank. Requests of
/// one class are assumed to be spread evenly over it.
double requestsAhead(const waiting_load &Others, const queue_rank &Rank);

/// Returns the number of requests in all classes.
double waitingTotal(const waiting_load &Load);

/// Adds the counts of another entry or group of entries. Counts saturate.
void addWaiting(waiting_load &Sum, const waiting_load &Added);

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_QUEUE_QUEUE_RANK_FUNC_H
