/** @file packed_text_type.h A compressed text. */
#ifndef POLLENSTALL_PACKED_TEXT_PACKED_TEXT_TYPE_H
#define POLLENSTALL_PACKED_TEXT_PACKED_TEXT_TYPE_H

#include <cstdint>
#include <string>

namespace pollenstall {

/// A text in the zlib format (RFC 1950). Declarations repeat the same words in every route.
struct packed_text {
  std::uint32_t UncompressedSize{0}; ///< Size of the text in bytes.
  std::string Compressed;

  bool operator==(const packed_text &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_PACKED_TEXT_PACKED_TEXT_TYPE_H
