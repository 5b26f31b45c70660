/** @file packed_text_func.h Packs texts and unpacks them. */
#ifndef POLLENSTALL_PACKED_TEXT_PACKED_TEXT_FUNC_H
#define POLLENSTALL_PACKED_TEXT_PACKED_TEXT_FUNC_H

#include "packed_text/packed_text_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The text, compressed by the fastest level: the sender's processor is small.
packed_text pack(std::string_view Text);

/// @return The text; nothing where it says that it is longer than MostBytes, is cut or changed, or
/// is not as long as it says. Never allocates more than MostBytes.
std::optional<std::string> unpack(const packed_text &Packed, std::size_t MostBytes);

} // namespace pollenstall

#endif // POLLENSTALL_PACKED_TEXT_PACKED_TEXT_FUNC_H
