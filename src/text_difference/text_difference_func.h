/** @file text_difference_func.h Finds and applies differences. */
#ifndef POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_FUNC_H
#define POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_FUNC_H

#include "text_difference/text_difference_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return What makes New out of Old. Time and memory grow with the length of both.
text_difference computeDifference(std::string_view Old, std::string_view New);

/// @return The new text, or nothing where Old is not the text that was meant, a step reaches beyond
/// it, the result is longer than MostBytes or is not what was meant.
std::optional<std::string> applyDifference(std::string_view Old, const text_difference &Difference,
                                           std::size_t MostBytes);

/// @return About how many bytes a difference takes on its way.
std::size_t estimateEncodedBytes(const text_difference &Difference);

} // namespace pollenstall

#endif // POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_FUNC_H
