/** @file claim_key_func.h The hash that replaces an idempotency key in the control log. */
#ifndef POLLENSTALL_CONTROL_LINK_CLAIM_KEY_FUNC_H
#define POLLENSTALL_CONTROL_LINK_CLAIM_KEY_FUNC_H

#include "claim/claim.h"

#include <string_view>

namespace pollenstall {

/// @return The first 128 bits of the key's SHA-256. A caller cannot find two keys that collide.
claim_key_hash claimKeyHash(std::string_view Key);

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CLAIM_KEY_FUNC_H
