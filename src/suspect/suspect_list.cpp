/** @file suspect_list.cpp Look-ups by shape, then by mark. */
#include "suspect/suspect_list_base.h"

#include <charconv>
#include <string_view>

namespace pollenstall {

std::string toText(const request_mark &Mark) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned BitsPerDigit = 4;
  std::string Text(sizeof(Mark.High) * 2, '0');
  std::uint64_t Left = Mark.High;
  for (std::size_t At = Text.size(); At-- > 0; Left >>= BitsPerDigit)
    Text[At] = Digits[Left & (Digits.size() - 1)];
  return Text;
}

std::optional<std::uint64_t> markFromText(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  std::uint64_t High = 0;
  const auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), High, Hexadecimal);
  const bool Whole = Read.ec == std::errc{} && Read.ptr == Text.data() + Text.size();
  return Whole && Text.size() == 2 * sizeof(High) ? std::optional(High) : std::nullopt;
}

suspect_list::suspect_list(const std::vector<told_suspect> &Told, mono_time Now) {
  for (const told_suspect &One : Told)
    ByShape.emplace(One.Mark.Shape, item{One.Mark, Now + One.BlockedFor});
}

const suspect_list::item *suspect_list::find(const request_mark &Mark) const {
  const auto [First, End] = ByShape.equal_range(Mark.Shape);
  for (auto At = First; At != End; ++At)
    if (At->second.Mark == Mark)
      return &At->second;
  return nullptr;
}

std::optional<mono_time> suspect_list::blockedUntil(const request_mark &Mark, mono_time Now) const {
  const item *Found = find(Mark);
  if (Found == nullptr || Found->Until <= Now)
    return std::nullopt;
  return Found->Until;
}

} // namespace pollenstall
