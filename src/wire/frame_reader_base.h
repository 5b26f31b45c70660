/** @file frame_reader_base.h Splits a TCP byte stream into frames of bounded length. */
#ifndef POLLENSTALL_WIRE_FRAME_READER_BASE_H
#define POLLENSTALL_WIRE_FRAME_READER_BASE_H

#include "core/core.h"
#include "wire/wire_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The message prefixed by its length (4 bytes, little-endian).
std::string encodeFrame(std::string_view Message);

/**
 * Buffers bytes read from a connection and returns complete frames. A length over the limit is an
 * error as soon as it is received. The caller must then close the connection, because the start of
 * the next frame is unknown.
 */
class frame_reader {
public:
  explicit frame_reader(std::size_t Limit = MaxFrameBytes) : MaxBytes(Limit) {}

  /// Appends received bytes, in the order of the stream.
  void append(std::string_view Bytes) { Buffer.append(Bytes); }

  /// @return The message of the next complete frame, nothing if more bytes are needed, or an error.
  result<std::optional<std::string>, wire_error> next();

private:
  std::size_t MaxBytes;
  std::string Buffer;
  std::size_t ConsumedBytes{0}; ///< Bytes at the start of Buffer that were already returned.
};

} // namespace pollenstall

#endif // POLLENSTALL_WIRE_FRAME_READER_BASE_H
