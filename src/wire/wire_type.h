/** @file wire_type.h Errors and limits of messages between the system's processes. */
#ifndef POLLENSTALL_WIRE_WIRE_TYPE_H
#define POLLENSTALL_WIRE_WIRE_TYPE_H

#include <cstddef>
#include <cstdint>

namespace pollenstall {

/// Reason to reject received bytes. The receiver counts it and drops the bytes.
enum class wire_error : std::uint8_t {
  TooLarge,     ///< Over the receiver's limit; rejected before any allocation.
  Truncated,    ///< Ends inside a value.
  OtherFleet,   ///< Names another fleet, or has a wrong magic number.
  OtherVersion, ///< A protocol version that this process does not support.
  OtherKind,    ///< A kind of message that the receiver does not expect.
  Malformed,    ///< A value is out of range, or bytes follow the last value.
};

constexpr std::uint16_t WireVersion = 1;
constexpr std::size_t MaxFrameBytes = 32U << 20U; ///< Largest TCP frame; fits a snapshot.

} // namespace pollenstall

#endif // POLLENSTALL_WIRE_WIRE_TYPE_H
