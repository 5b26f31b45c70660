/** @file number_func.h Numbers from text. */
#ifndef POLLENSTALL_CORE_NUMBER_FUNC_H
#define POLLENSTALL_CORE_NUMBER_FUNC_H

#include <charconv>
#include <optional>
#include <string_view>

namespace pollenstall {

/// @return The decimal number that the whole text is; nothing where it is none, or out of range.
template <typename Number> std::optional<Number> parseNumber(std::string_view Text) {
  Number Value{};
  const char *Last = Text.data() + Text.size();
  const auto [End, Error] = std::from_chars(Text.data(), Last, Value);
  if (Error != std::errc{} || End != Last)
    return std::nullopt;
  return Value;
}

} // namespace pollenstall

#endif // POLLENSTALL_CORE_NUMBER_FUNC_H
