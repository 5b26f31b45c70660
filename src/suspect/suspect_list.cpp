/** @file suspect_list.cpp Lookups by HeadHash, then by fingerprint. */
#include "suspect/suspect_list_base.h"

#include <charconv>
#include <string_view>

namespace pollenstall {

std::string toText(const request_fingerprint &Fingerprint) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned BitsPerDigit = 4;
  std::string Text(sizeof(Fingerprint.High) * 2, '0');
  std::uint64_t Bits = Fingerprint.High;
  for (std::size_t Index = Text.size(); Index-- > 0; Bits >>= BitsPerDigit)
    Text[Index] = Digits[Bits & (Digits.size() - 1)];
  return Text;
}

std::optional<std::uint64_t> parseFingerprint(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  std::uint64_t High = 0;
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), High, Hexadecimal);
  const bool IsHex = Parsed.ec == std::errc{} && Parsed.ptr == Text.data() + Text.size();
  return IsHex && Text.size() == 2 * sizeof(High) ? std::optional(High) : std::nullopt;
}

suspect_list::suspect_list(const std::vector<published_suspect> &Published, mono_time Now) {
  for (const published_suspect &Suspect : Published)
    ByHeadHash.emplace(Suspect.Fingerprint.HeadHash,
                       listed_request{Suspect.Fingerprint, Now + Suspect.BlockedFor});
}

const suspect_list::listed_request *
suspect_list::find(const request_fingerprint &Fingerprint) const {
  const auto [First, End] = ByHeadHash.equal_range(Fingerprint.HeadHash);
  for (auto Position = First; Position != End; ++Position)
    if (Position->second.Fingerprint == Fingerprint)
      return &Position->second;
  return nullptr;
}

std::optional<mono_time> suspect_list::blockedUntil(const request_fingerprint &Fingerprint,
                                                    mono_time Now) const {
  const listed_request *Found = find(Fingerprint);
  if (Found == nullptr || Found->BlockEnd <= Now)
    return std::nullopt;
  return Found->BlockEnd;
}

} // namespace pollenstall
