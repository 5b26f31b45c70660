/** @file claim_key_func.h The hash under which the control log knows an idempotency key. */
#ifndef POLLENSTALL_CONTROL_LINK_CLAIM_KEY_FUNC_H
#define POLLENSTALL_CONTROL_LINK_CLAIM_KEY_FUNC_H

#include "claim/claim.h"

#include <string_view>

namespace pollenstall {

/// @return The leading 128 bits of SHA-256; a caller cannot find two keys that share them.
claim_key_hash claimKeyHash(std::string_view Key);

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CLAIM_KEY_FUNC_H
