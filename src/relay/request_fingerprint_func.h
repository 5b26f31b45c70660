/** @file request_fingerprint_func.h Fingerprints that identify identical requests. */
#ifndef POLLENSTALL_RELAY_REQUEST_FINGERPRINT_FUNC_H
#define POLLENSTALL_RELAY_REQUEST_FINGERPRINT_FUNC_H

#include "relay/relayed_call_base.h"
#include "suspect/suspect.h"

#include <optional>
#include <utility>
#include <vector>

namespace pollenstall {

/// Returns the hash of everything except the body, and of the body's length; its cost does not
/// depend on the body.
std::uint64_t requestHeadHash(const relayed_call &Call);

/// Returns the request's fingerprint; hashes the whole body.
request_fingerprint requestFingerprint(const relayed_call &Call, const request_body &Body);

/// Returns the fingerprints of the prompt's parts that other requests may share.
std::vector<request_fingerprint> promptPartFingerprints(const relayed_call &Call);

/// Returns until when the request must be refused, since it or a part of its prompt is blocked, and
/// the fingerprint of that; nothing if it may run.
std::optional<std::pair<request_fingerprint, mono_time>>
findBlock(const suspect_list &List, const relayed_call &Call, mono_time Now);

/// Returns the fingerprint if the list contains it. Hashes the body only if the list has a request
/// with the same head hash. Returns nothing if the body has been released.
std::optional<request_fingerprint> fingerprintIfSuspected(const suspect_list &List,
                                                          const relayed_call &Call);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_REQUEST_FINGERPRINT_FUNC_H
