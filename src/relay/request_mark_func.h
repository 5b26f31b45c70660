/** @file request_mark_func.h What makes two requests the same. */
#ifndef POLLENSTALL_RELAY_REQUEST_MARK_FUNC_H
#define POLLENSTALL_RELAY_REQUEST_MARK_FUNC_H

#include "relay/relayed_call_base.h"
#include "suspect/suspect.h"

#include <optional>

namespace pollenstall {

/// @return The hash of all but the body, and of the body's length; cheap for any body.
std::uint64_t requestShape(const relayed_call &Call);

/// Hashes the body.
request_fingerprint requestMark(const relayed_call &Call, const held_body &Body);

/// @return The mark where the list has a request of this shape, and nothing otherwise: then the
/// body is not looked at. Nothing, too, where the body is held no more.
std::optional<request_fingerprint> markIfSuspected(const suspect_list &List,
                                                   const relayed_call &Call);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_REQUEST_MARK_FUNC_H
