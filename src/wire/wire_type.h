/** @file wire_type.h Errors and limits of messages between the system's own processes. */
#ifndef POLLENSTALL_WIRE_WIRE_TYPE_H
#define POLLENSTALL_WIRE_WIRE_TYPE_H

#include <cstddef>
#include <cstdint>

namespace pollenstall {

/// Why bytes are not a message of ours; the receiver counts it and drops the bytes.
enum class wire_error : std::uint8_t {
  TooLarge,     ///< Over the receiver's limit; refused before anything is allocated.
  Truncated,    ///< Ends inside a value.
  OtherFleet,   ///< Names another fleet, or is not an envelope of ours.
  OtherVersion, ///< A version of the protocol that this process does not speak.
  OtherKind,    ///< A kind of message that is not expected here.
  Malformed,    ///< A value is out of range, or bytes are left over.
};

constexpr std::uint16_t WireVersion = 1;
constexpr std::size_t MaxFrameBytes = 32U << 20U; ///< Largest TCP frame: a snapshot fits.

} // namespace pollenstall

#endif // POLLENSTALL_WIRE_WIRE_TYPE_H
