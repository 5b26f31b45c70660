/** @file number_func.h Parses numbers. */
#ifndef POLLENSTALL_CORE_NUMBER_FUNC_H
#define POLLENSTALL_CORE_NUMBER_FUNC_H

#include <charconv>
#include <optional>
#include <string_view>

namespace pollenstall {

/// Parses the whole text as a decimal number.
/// @return Nothing if the text is not a number or does not fit into Number.
template <typename Number> std::optional<Number> parseNumber(std::string_view Text) {
  Number Value{};
  const char *TextEnd = Text.data() + Text.size();
  const auto [NumberEnd, Error] = std::from_chars(Text.data(), TextEnd, Value);
  if (Error != std::errc{} || NumberEnd != TextEnd)
    return std::nullopt;
  return Value;
}

} // namespace pollenstall

#endif // POLLENSTALL_CORE_NUMBER_FUNC_H
