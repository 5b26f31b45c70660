/** @file packed_text_func.h Compresses and decompresses texts. */
#ifndef POLLENSTALL_PACKED_TEXT_PACKED_TEXT_FUNC_H
#define POLLENSTALL_PACKED_TEXT_PACKED_TEXT_FUNC_H

#include "packed_text/packed_text_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// Compresses a text at the fastest level, since the sender has little CPU capacity.
packed_text pack(std::string_view Text);

/// Decompresses a text. Never allocates more than MaxBytes.
/// @return Nothing if the stated size exceeds MaxBytes, the data is truncated or corrupt, or the
/// text does not have the stated size.
std::optional<std::string> unpack(const packed_text &Packed, std::size_t MaxBytes);

} // namespace pollenstall

#endif // POLLENSTALL_PACKED_TEXT_PACKED_TEXT_FUNC_H
