/** @file text_difference_func.h Computes and applies differences. */
#ifndef POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_FUNC_H
#define POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_FUNC_H

#include "text_difference/text_difference_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The steps from Old to New. Time and memory grow with the length of both texts.
text_difference computeDifference(std::string_view Old, std::string_view New);

/// @return The new text; nothing if Old is not the text that the difference was computed from, a
/// step reaches beyond its end, the result exceeds MaxBytes or has the wrong hash.
std::optional<std::string> applyDifference(std::string_view Old, const text_difference &Difference,
                                           std::size_t MaxBytes);

/// @return The approximate size of the encoded difference in bytes.
std::size_t estimateEncodedBytes(const text_difference &Difference);

} // namespace pollenstall

#endif // POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_FUNC_H
