/** @file load_digest_func.h Packs a load report and its age into a load_digest. */
#ifndef POLLENSTALL_MEMBERSHIP_LOAD_DIGEST_FUNC_H
#define POLLENSTALL_MEMBERSHIP_LOAD_DIGEST_FUNC_H

#include "membership/membership_message_type.h"

#include <cstdint>

namespace pollenstall {

/// Status and age that a digest carries beside the load report.
struct digest_state {
  mono_duration Age{}; ///< Time since the backend server's report; saturates at 819 s.
  bool Leaving{false};
  bool Lost{false};
};

/// @return Value as a 5-bit exponent and an 11-bit mantissa; a negative value becomes 0.
std::uint16_t packAmount(std::int64_t Value);
/// @return The unpacked amount, rounded down by less than 0.1 per cent.
std::int64_t unpackAmount(std::uint16_t Packed);

/// @return The short hash that identifies a backend server in digests.
std::uint32_t digestId(const backend_key &Key);
/// @return The digest of a load report.
load_digest packLoad(const backend_key &Key, const backend_load &Load, const digest_state &State);
/// @return The age and the status in a digest.
digest_state unpackState(const load_digest &Digest);
/// Returns the report in a digest. Its sequence is the number with the digest's low 32 bits that is
/// nearest to ReferenceSequence.
backend_load unpackLoad(const load_digest &Digest, std::uint64_t ReferenceSequence);

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_LOAD_DIGEST_FUNC_H
