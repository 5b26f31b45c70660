/** @file load_digest_func.h Packing a load report and its age into a load_digest. */
#ifndef POLLENSTALL_MEMBERSHIP_LOAD_DIGEST_FUNC_H
#define POLLENSTALL_MEMBERSHIP_LOAD_DIGEST_FUNC_H

#include "membership/membership_message_type.h"

#include <cstdint>

namespace pollenstall {

/// Standing and age that travel with a load report.
struct digest_state {
  mono_duration Age{}; ///< Since the backend server was heard; saturates at 819 s.
  bool Leaving{false};
  bool Lost{false};
};

/// @return Value in a 5-bit exponent and an 11-bit mantissa; negative ones become 0.
std::uint16_t packAmount(std::int64_t Value);
/// @return The amount, rounded down by less than 0.1 per cent.
std::int64_t unpackAmount(std::uint16_t Packed);

/// @return The short hash under which a backend server's digests travel.
std::uint32_t digestId(const backend_key &Key);
/// @return The digest of a report.
load_digest packLoad(const backend_key &Key, const backend_load &Load, const digest_state &State);
/// @return Age and standing in a digest.
digest_state stateOf(const load_digest &Digest);
/// @return The report in a digest; Sequence is the one nearest to Known with the digest's low half.
backend_load unpackLoad(const load_digest &Digest, std::uint64_t Known);

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_LOAD_DIGEST_FUNC_H
