/** @file frame_reader_base.h Cuts a TCP byte stream into frames of a bounded length. */
#ifndef POLLENSTALL_WIRE_FRAME_READER_BASE_H
#define POLLENSTALL_WIRE_FRAME_READER_BASE_H

#include "core/core.h"
#include "wire/wire_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The message behind its length (4 bytes, little-endian).
std::string frameOf(std::string_view Message);

/**
 * Collects what was read from a connection and hands out whole frames.
 * A length over the limit is an error at once: the connection is to be closed, since no later byte
 * of it can be trusted to start a frame.
 */
class frame_reader {
public:
  explicit frame_reader(std::size_t Limit = MaxFrameBytes) : MaxBytes(Limit) {}

  /// Takes bytes in the order they were received.
  void append(std::string_view Bytes) { Buffer.append(Bytes); }

  /// @return The next whole frame's message, nothing where more bytes are needed, or an error.
  result<std::optional<std::string>, wire_error> next();

private:
  std::size_t MaxBytes;
  std::string Buffer;
  std::size_t Read{0}; ///< Bytes at the start of Buffer that were handed out.
};

} // namespace pollenstall

#endif // POLLENSTALL_WIRE_FRAME_READER_BASE_H
